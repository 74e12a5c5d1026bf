//! Admission at one upstream.

use fescuetide_base::ClockMillis;
use fescuetide_base::LoadCount;
use fescuetide_base::SpanMillis;

use crate::LoadBound;

/// How long a mean counts after a later one was learned: a mean is up to two report intervals (500 ms) and one exchange
/// interval (500 ms) old when it is learned.
const MEAN_WINDOW: SpanMillis = SpanMillis::new(1_500);

/// When an attempt may be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitRule {
    /// While the load stays within the cap that the upstream knows.
    OwnCap,
    /// While the load before admission is at most this.
    AtMost(LoadCount),
}

/// Why an attempt was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitError {
    /// The load bound would be exceeded at this load.
    OverBound(LoadCount),
    /// The attempt is a suspect, and another one is here at this load.
    Suspect(LoadCount),
    /// The upstream takes no new work.
    Leaving,
}

/// Counts the load of one upstream and decides on admission.
///
/// The mean that an upstream knows is old. A mean that is too low only costs a walk over further candidates, whose
/// loads give a fresh mean (see [`CandidateWalk`](crate::CandidateWalk)); a mean that is too high breaks the bound. The
/// gate therefore uses the lowest mean of the last 1.5 s, and expects a mean that fell in this time to fall as much again.
#[derive(Clone, Debug, Default)]
pub struct LoadGate {
    bound: LoadBound,
    load: u32,
    means: Vec<(ClockMillis, f64)>,
    has_suspect: bool,
    leaving: bool,
}

impl LoadGate {
    /// Creates a gate without load that knows no mean.
    pub fn new(bound: LoadBound) -> Self {
        Self {
            bound,
            ..Self::default()
        }
    }

    /// Admits one attempt or says why not. An admitted attempt is counted until [`release`](Self::release).
    ///
    /// # Errors
    ///
    /// Fails when the rule does not allow it or the upstream is leaving.
    pub fn admit(&mut self, rule: AdmitRule) -> Result<(), AdmitError> {
        if self.leaving {
            return Err(AdmitError::Leaving);
        }
        let load = self.load();
        let admitted = match rule {
            AdmitRule::OwnCap => self.bound.admits(load, self.mean()),
            AdmitRule::AtMost(limit) => load <= limit,
        };
        if !admitted {
            return Err(AdmitError::OverBound(load));
        }
        self.load += 1;
        Ok(())
    }

    /// Admits a suspect like [`admit`](Self::admit), but only one at a time.
    ///
    /// # Errors
    ///
    /// Fails when another suspect is here, and like `admit`.
    pub fn admit_suspect(&mut self, rule: AdmitRule) -> Result<(), AdmitError> {
        if self.has_suspect && !self.leaving {
            return Err(AdmitError::Suspect(self.load()));
        }
        self.admit(rule)?;
        self.has_suspect = true;
        Ok(())
    }

    /// Ends the count of one admitted attempt.
    pub fn release(&mut self) {
        self.load = self.load.saturating_sub(1);
    }

    /// Ends the count of the admitted suspect.
    pub fn release_suspect(&mut self) {
        self.has_suspect = false;
        self.release();
    }

    /// Outstanding attempts.
    pub fn load(&self) -> LoadCount {
        LoadCount::new(self.load)
    }

    /// The mean that the cap is derived from: the lowest of those learned lately, less their fall, 0 when none was.
    pub fn mean(&self) -> f64 {
        let (Some((_, first)), Some((_, last))) = (self.means.first(), self.means.last()) else {
            return 0.0;
        };
        let lowest = self
            .means
            .iter()
            .map(|(_, mean)| *mean)
            .fold(*last, f64::min);
        let fall = (first - last).max(0.0);
        (lowest - fall).max(0.0)
    }

    /// Learns the mean load of the pool.
    pub fn set_mean(&mut self, mean: f64, now: ClockMillis) {
        self.means.retain(|(at, _)| now.since(*at) < MEAN_WINDOW);
        self.means.push((now, mean));
    }

    /// Refuses all new work from now on. Returns whether it did not before.
    pub fn leave(&mut self) -> bool {
        let first = !self.leaving;
        self.leaving = true;
        first
    }

    /// Whether new work is refused.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }
}
