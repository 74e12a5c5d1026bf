//! Detection of a log service that has come back from an older copy.

use std::fmt;

use fescuetide_base::LogEra;

/// What the era in a response means for a position in the log that was read before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraVerdict {
    /// The position is valid.
    Unchanged,
    /// The log has come back from an older copy. Records before the position may be others.
    Restored {
        /// The era before, `None` if it was not known.
        before: Option<LogEra>,
        /// The era now.
        after: LogEra,
    },
    /// The era cannot be compared with the one before, so the log may have come back from a copy.
    Doubtful(EraDefect),
}

/// Why an era cannot be compared with the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraDefect {
    /// The response has no era, and earlier ones had.
    Missing,
    /// The era is not a number.
    Malformed,
    /// The era is lower than the highest one before.
    Fallen(LogEra),
}

impl fmt::Display for EraDefect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing => f.write_str("the era is missing"),
            Self::Malformed => f.write_str("the era is not a number"),
            Self::Fallen(era) => write!(f, "the era has fallen to {era}"),
        }
    }
}

/// The era of a response, as far as it could be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EraReading {
    Known(LogEra),
    Missing,
    Malformed,
}

/// Compares the eras in the responses to one reader or writer of the log.
///
/// A log service without eras never changes them.
///
/// ```
/// use fescuetide_base::LogEra;
/// use fescuetide_fleet::{EraTracker, EraVerdict};
///
/// let mut tracker = EraTracker::default();
/// assert_eq!(tracker.note(Some("4")), EraVerdict::Unchanged);
/// let (before, after) = (Some(LogEra::new(4)), LogEra::new(5));
/// assert_eq!(tracker.note(Some("5")), EraVerdict::Restored { before, after });
/// assert_eq!(tracker.note(Some("5")), EraVerdict::Unchanged);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct EraTracker {
    highest: Option<LogEra>,
    /// The previous reading.
    last: Option<EraReading>,
}

impl EraTracker {
    /// Compares the era field of a response with those before.
    pub fn note(&mut self, field: Option<&str>) -> EraVerdict {
        let reading = match field.map(|text| text.trim().parse()) {
            Some(Ok(era)) => EraReading::Known(era),
            Some(Err(_)) => EraReading::Malformed,
            None => EraReading::Missing,
        };
        let last = self.last.replace(reading);
        if last == Some(reading) {
            return EraVerdict::Unchanged;
        }
        let highest = self.highest;
        match reading {
            EraReading::Known(after) if highest.is_none_or(|before| after > before) => {
                self.highest = Some(after);
                match last {
                    None => EraVerdict::Unchanged,
                    Some(_) => EraVerdict::Restored {
                        before: highest,
                        after,
                    },
                }
            }
            EraReading::Known(era) if highest == Some(era) => EraVerdict::Unchanged,
            EraReading::Known(era) => EraVerdict::Doubtful(EraDefect::Fallen(era)),
            EraReading::Malformed => EraVerdict::Doubtful(EraDefect::Malformed),
            EraReading::Missing if last.is_none() => EraVerdict::Unchanged,
            EraReading::Missing => EraVerdict::Doubtful(EraDefect::Missing),
        }
    }
}
