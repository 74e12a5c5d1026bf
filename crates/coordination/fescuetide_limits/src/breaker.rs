//! The breaker that holds back failing upstreams.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use indexmap::IndexMap;

/// Settings of a breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakerSettings {
    /// How long an upstream is held back after its first failure. Each further failure doubles it.
    pub first_hold: SpanMillis,
    /// The longest hold.
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

/// Holds back upstreams that failed, with exponential back-off, so that a flapping VM gets little work.
#[derive(Clone, Debug, Default)]
pub struct VmBreaker {
    settings: BreakerSettings,
    holds: IndexMap<VmName, HoldState>,
}

impl VmBreaker {
    /// Creates a breaker that holds nothing back.
    pub fn new(settings: BreakerSettings) -> Self {
        Self {
            settings,
            holds: IndexMap::new(),
        }
    }

    /// Notes a failure to reach or use an upstream.
    pub fn note_failure(&mut self, vm: &VmName, now: ClockMillis) {
        let settings = self.settings;
        let hold = self.holds.entry(vm.clone()).or_insert(HoldState {
            failures: 0,
            until: now,
        });
        // Failures of attempts that were under way before the hold began count as one.
        if hold.failures > 0 && now < hold.until {
            return;
        }
        let span = settings.first_hold.as_millis() << hold.failures.min(16);
        let span = span.min(settings.longest_hold.as_millis());
        hold.failures += 1;
        hold.until = now + SpanMillis::new(span);
    }

    /// Notes a success, which ends the hold.
    pub fn note_success(&mut self, vm: &VmName) {
        self.holds.swap_remove(vm);
    }

    /// Whether the upstream may get work.
    pub fn allows(&self, vm: &VmName, now: ClockMillis) -> bool {
        self.holds.get(vm).is_none_or(|hold| now >= hold.until)
    }

    /// How many upstreams are held back at `now`.
    pub fn held_count(&self, now: ClockMillis) -> usize {
        self.holds.values().filter(|hold| now < hold.until).count()
    }
}
