//! Crash evidence that the log lacks.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use indexmap::IndexMap;

use crate::CrashCount;
use crate::CrashEvidence;
use crate::CrashFingerprint;
use crate::EndSet;

/// Interval between checks. Reports reach the log within a few seconds, so evidence that is missing for longer was lost.
const CHECK_INTERVAL: SpanMillis = SpanMillis::new(10_000);

/// Maximum number of requests whose reports are remembered. The oldest is dropped first, and is reported once more.
const LOGGED_LIMIT: usize = 4_096;

/// The counts of a request's reports in the log.
#[derive(Clone, Copy, Debug, Default)]
struct LoggedCounts {
    crashes: CrashCount,
    cleared: CrashCount,
    ends: EndSet,
}

/// Finds evidence that is known but not in the log, so that it is written there by whoever knows it.
///
/// Normally the gateway that finds a crash reports it. The report is missing if the log was away, or lost it, and that
/// gateway has ended since.
///
/// ```
/// use fescuetide_base::prelude::*;
/// use fescuetide_limits::prelude::*;
///
/// let mut backlog = ReportBacklog::new(SpanMillis::new(0), ClockMillis::new(0));
/// let evidence = CrashEvidence {
///     fingerprint: CrashFingerprint::of_parts(&[b"body"]),
///     crashes: CrashCount::new(3),
///     cleared: CrashCount::new(0),
///     ends: EndSet::default(),
///     left: SpanMillis::new(600_000),
/// };
/// let later = ClockMillis::new(10_000);
/// assert_eq!(backlog.take_missing(|| vec![evidence], later), [evidence]);
/// backlog.note_logged(&evidence);
/// assert_eq!(backlog.take_missing(|| vec![evidence], later + later.since(ClockMillis::new(0))), []);
/// ```
#[derive(Clone, Debug)]
pub struct ReportBacklog {
    logged: IndexMap<CrashFingerprint, LoggedCounts>,
    next_check_at: ClockMillis,
}

impl ReportBacklog {
    /// Creates an empty backlog. `offset` differs between gateways, so that one of them writes and the others find the
    /// report in the log.
    pub fn new(offset: SpanMillis, now: ClockMillis) -> Self {
        Self {
            logged: IndexMap::new(),
            next_check_at: now + SpanMillis::new(offset.as_millis() % CHECK_INTERVAL.as_millis()),
        }
    }

    /// Records evidence that was read from the log.
    pub fn note_logged(&mut self, evidence: &CrashEvidence) {
        if self.logged.len() >= LOGGED_LIMIT && !self.logged.contains_key(&evidence.fingerprint) {
            self.logged.shift_remove_index(0);
        }
        let counts = self.logged.entry(evidence.fingerprint).or_default();
        counts.crashes = counts.crashes.max(evidence.crashes);
        counts.cleared = counts.cleared.max(evidence.cleared);
        counts.ends.merge(&evidence.ends);
    }

    /// Forgets what is in the log, since it may have lost records. What it still has is read again.
    pub fn forget_logged(&mut self) {
        self.logged.clear();
    }

    /// Returns the evidence of `known` that the log lacks, if a check is due.
    pub fn take_missing(
        &mut self,
        known: impl FnOnce() -> Vec<CrashEvidence>,
        now: ClockMillis,
    ) -> Vec<CrashEvidence> {
        if now < self.next_check_at {
            return Vec::new();
        }
        self.next_check_at = now + CHECK_INTERVAL;
        let mut missing = known();
        missing.retain(|evidence| self.is_missing(evidence));
        missing
    }

    fn is_missing(&self, evidence: &CrashEvidence) -> bool {
        let logged = self.logged.get(&evidence.fingerprint);
        let mut logged = logged.copied().unwrap_or_default();
        let lacks_ends = logged.ends.merge(&evidence.ends);
        lacks_ends || evidence.crashes > logged.crashes || evidence.cleared > logged.cleared
    }
}
