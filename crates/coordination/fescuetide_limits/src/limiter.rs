//! Admission control of a single upstream.

use fescuetide_base::ClockMillis;
use fescuetide_base::LoadCount;
use fescuetide_base::SpanMillis;

use crate::LoadBound;

/// Window over which the cap uses the lowest received mean. It equals the maximum age of a mean when it is received:
/// two load reports of the upstream and one exchange of sums between routers, each 500 ms apart by default.
const MEAN_WINDOW: SpanMillis = SpanMillis::new(1_500);

/// Condition under which an attempt is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitRule {
    /// The load after admission is within the cap computed by the upstream itself.
    OwnCap,
    /// The load before admission is at most this value.
    AtMost(LoadCount),
}

/// Why an attempt was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitError {
    /// Admission at the current load would exceed the load bound.
    OverBound(LoadCount),
    /// The request is a suspect, and another suspect already runs on the upstream, which has this load.
    Suspect(LoadCount),
    /// The upstream is draining and accepts no new work.
    Draining,
}

/// Tracks the load of one upstream and decides on admission.
///
/// The mean known to an upstream is stale. A mean that is too low only makes requests try further candidates, whose
/// loads yield a fresh mean (see [`CandidateSelector`](crate::CandidateSelector)); a mean that is too high violates the
/// bound. The cap is therefore derived from the lowest mean of the last 1.5 s, and a mean that decreased during this
/// time is assumed to decrease by the same amount again.
#[derive(Clone, Debug, Default)]
pub struct LoadLimiter {
    bound: LoadBound,
    load: u32,
    means: Vec<(ClockMillis, f64)>,
    has_suspect: bool,
    draining: bool,
}

impl LoadLimiter {
    /// Creates an instance with no load and no known mean.
    pub fn new(bound: LoadBound) -> Self {
        Self {
            bound,
            ..Self::default()
        }
    }

    /// Admits one attempt, which counts towards the load until [`release`](Self::release).
    ///
    /// # Errors
    ///
    /// Returns an error if `rule` does not hold or the upstream is draining.
    pub fn admit(&mut self, rule: AdmitRule) -> Result<(), AdmitError> {
        if self.draining {
            return Err(AdmitError::Draining);
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

    /// Admits an attempt of a suspect request like [`admit`](Self::admit), but only one at a time.
    ///
    /// # Errors
    ///
    /// Returns an error if another suspect is running, or if [`admit`](Self::admit) would.
    pub fn admit_suspect(&mut self, rule: AdmitRule) -> Result<(), AdmitError> {
        if self.has_suspect && !self.draining {
            return Err(AdmitError::Suspect(self.load()));
        }
        self.admit(rule)?;
        self.has_suspect = true;
        Ok(())
    }

    /// Removes one admitted attempt from the load.
    pub fn release(&mut self) {
        self.load = self.load.saturating_sub(1);
    }

    /// Removes the admitted suspect from the load.
    pub fn release_suspect(&mut self) {
        self.has_suspect = false;
        self.release();
    }

    /// Returns the number of admitted attempts that have not been released.
    pub fn load(&self) -> LoadCount {
        LoadCount::new(self.load)
    }

    /// Returns the mean that the cap is derived from: the lowest recent mean minus the recent decrease, or 0 if no mean
    /// is known.
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

    /// Records the mean load of the pool as reported at `now`.
    pub fn set_mean(&mut self, mean: f64, now: ClockMillis) {
        self.means.retain(|(at, _)| now.since(*at) < MEAN_WINDOW);
        self.means.push((now, mean));
    }

    /// Starts draining: refuses all new work from now on. Returns whether the upstream was not draining yet.
    pub fn drain(&mut self) -> bool {
        let first = !self.draining;
        self.draining = true;
        first
    }

    /// Returns whether the upstream is draining.
    pub fn is_draining(&self) -> bool {
        self.draining
    }
}
