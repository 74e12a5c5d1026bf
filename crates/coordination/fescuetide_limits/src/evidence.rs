//! What routers tell each other about suspects.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use fescuetide_base::SpanMillis;

use crate::CrashFingerprint;
use crate::EndSet;

/// Number of crashes of a request, one after the other.
///
/// A run that crashes its upstream has a count of one more than what its router knew when the run started. Upstreams that
/// go down together are therefore one crash, however many routers had the request running there, and no clocks are
/// compared. Counts from different routers are merged by taking the larger one, as with logical clocks (Leslie Lamport,
/// "Time, Clocks, and the Ordering of Events in a Distributed System", 1978).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashCount(u32);

impl CrashCount {
    /// Creates a count.
    pub const fn new(count: u32) -> Self {
        Self(count)
    }

    /// Returns the number of crashes.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns the count of a crash of a run that started when `self` crashes were known.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for CrashCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for CrashCount {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// What one router knows about a request that was running on upstreams that crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashEvidence {
    /// Identifies the request.
    pub fingerprint: CrashFingerprint,
    /// The crashes so far.
    pub crashes: CrashCount,
    /// How many of the crashes do not count, because the request completed after them.
    pub cleared: CrashCount,
    /// The upstreams that ended under the request, if the router tells them apart.
    pub ends: EndSet,
    /// Remaining time for which the evidence is kept.
    pub left: SpanMillis,
}

impl CrashEvidence {
    /// Number of crashes that count: those one after the other, or upstreams that ended, if these are more.
    pub fn counting_crashes(&self) -> u32 {
        let crashes = self.crashes.get().saturating_sub(self.cleared.get());
        crashes.max(self.ends.len() as u32)
    }
}
