//! Circuit breaker for failing upstreams.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use indexmap::IndexMap;

/// Settings of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakerSettings {
    /// Back-off after the first failure of an upstream. Doubles with each further failure.
    pub initial_backoff: SpanMillis,
    /// Upper limit of the back-off.
    pub max_backoff: SpanMillis,
}

impl Default for BreakerSettings {
    fn default() -> Self {
        Self {
            initial_backoff: SpanMillis::new(500),
            max_backoff: SpanMillis::new(30_000),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct BackoffState {
    failures: u32,
    until: ClockMillis,
}

/// Excludes failed upstreams from selection with exponential back-off, so that a flapping VM receives little work.
#[derive(Clone, Debug, Default)]
pub struct CircuitBreaker {
    settings: BreakerSettings,
    backoffs: IndexMap<VmName, BackoffState>,
}

impl CircuitBreaker {
    /// Creates a breaker that allows every upstream.
    pub fn new(settings: BreakerSettings) -> Self {
        Self {
            settings,
            backoffs: IndexMap::new(),
        }
    }

    /// Records a failure to reach or use an upstream.
    pub fn note_failure(&mut self, vm: &VmName, now: ClockMillis) {
        let settings = self.settings;
        let backoff = self.backoffs.entry(vm.clone()).or_insert(BackoffState {
            failures: 0,
            until: now,
        });
        // Attempts that were in flight when the back-off began do not extend it.
        if backoff.failures > 0 && now < backoff.until {
            return;
        }
        let span = settings.initial_backoff.as_millis() << backoff.failures.min(16);
        let span = span.min(settings.max_backoff.as_millis());
        backoff.failures += 1;
        backoff.until = now + SpanMillis::new(span);
    }

    /// Records a success, which resets the breaker for this upstream.
    pub fn note_success(&mut self, vm: &VmName) {
        self.backoffs.swap_remove(vm);
    }

    /// Returns whether requests may be sent to the upstream.
    pub fn allows(&self, vm: &VmName, now: ClockMillis) -> bool {
        self.backoffs
            .get(vm)
            .is_none_or(|backoff| now >= backoff.until)
    }

    /// Returns the number of upstreams in back-off at `now`.
    pub fn open_count(&self, now: ClockMillis) -> usize {
        self.backoffs
            .values()
            .filter(|backoff| now < backoff.until)
            .count()
    }
}
