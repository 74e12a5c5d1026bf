//! Circuit breaker for failing upstreams.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use indexmap::IndexMap;

/// Settings of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakerSettings {
    /// Back-off after the first failure of an upstream. Doubles with each further failure.
    pub first_hold: SpanMillis,
    /// Upper limit of the back-off.
    pub longest_hold: SpanMillis,
}

impl Default for BreakerSettings {
    fn default() -> Self {
        Self {
            first_hold: SpanMillis::new(500),
            longest_hold: SpanMillis::new(30_000),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct HoldState {
    failures: u32,
    until: ClockMillis,
}

/// Excludes failed upstreams from selection with exponential back-off, so that a flapping VM receives little work.
#[derive(Clone, Debug, Default)]
pub struct VmBreaker {
    settings: BreakerSettings,
    holds: IndexMap<VmName, HoldState>,
}

impl VmBreaker {
    /// Creates a breaker that allows every upstream.
    pub fn new(settings: BreakerSettings) -> Self {
        Self {
            settings,
            holds: IndexMap::new(),
        }
    }

    /// Records a failure to reach or use an upstream.
    pub fn note_failure(&mut self, vm: &VmName, now: ClockMillis) {
        let settings = self.settings;
        let hold = self.holds.entry(vm.clone()).or_insert(HoldState {
            failures: 0,
            until: now,
        });
        // Attempts that were in flight when the back-off began do not extend it.
        if hold.failures > 0 && now < hold.until {
            return;
        }
        let span = settings.first_hold.as_millis() << hold.failures.min(16);
        let span = span.min(settings.longest_hold.as_millis());
        hold.failures += 1;
        hold.until = now + SpanMillis::new(span);
    }

    /// Records a success, which resets the breaker for this upstream.
    pub fn note_success(&mut self, vm: &VmName) {
        self.holds.swap_remove(vm);
    }

    /// Returns whether requests may be sent to the upstream.
    pub fn allows(&self, vm: &VmName, now: ClockMillis) -> bool {
        self.holds.get(vm).is_none_or(|hold| now >= hold.until)
    }

    /// Returns the number of upstreams in back-off at `now`.
    pub fn held_count(&self, now: ClockMillis) -> usize {
        self.holds.values().filter(|hold| now < hold.until).count()
    }
}
