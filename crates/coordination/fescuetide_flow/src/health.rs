//! Upstream health, derived from the outcomes of attempts.

use fescuetide_base::ClockMillis;
use fescuetide_base::VmName;
use fescuetide_limits::BreakerSettings;
use fescuetide_limits::CircuitBreaker;
use indexmap::IndexMap;

/// Weight of the latest outcome in the exponential moving average.
const OUTCOME_WEIGHT: f64 = 0.12;

/// An upstream is avoided while its failure rate exceeds the mean of its pool by more than this.
const FAILURE_MARGIN: f64 = 0.25;

/// Failure rate and circuit breaker state of each upstream.
///
/// Detects upstreams that pass their health checks but fail some of their requests. The failure rate is compared with
/// the mean of the pool, so that errors returned by every upstream exclude none of them. A failure to connect opens the
/// circuit breaker immediately.
#[derive(Debug)]
pub(crate) struct OutcomeTable {
    breaker: CircuitBreaker,
    failures: IndexMap<VmName, f64>,
}

impl OutcomeTable {
    pub(crate) fn new(settings: BreakerSettings) -> Self {
        Self {
            breaker: CircuitBreaker::new(settings),
            failures: IndexMap::new(),
        }
    }

    /// Records an attempt that ended with a complete, successful response.
    pub(crate) fn note_success(&mut self, vm: &VmName) {
        self.breaker.note_success(vm);
        self.note(vm, 0.0);
    }

    /// Records an attempt that ended with an error response or an incomplete one. Does not affect the circuit breaker.
    pub(crate) fn note_failure(&mut self, vm: &VmName) {
        self.note(vm, 1.0);
    }

    /// Records that an upstream is unreachable or unresponsive.
    pub(crate) fn note_unreachable(&mut self, vm: &VmName, now: ClockMillis) {
        self.breaker.note_failure(vm, now);
    }

    fn note(&mut self, vm: &VmName, value: f64) {
        if let Some(mean) = self.failures.get_mut(vm) {
            *mean += (value - *mean) * OUTCOME_WEIGHT;
            return;
        }
        self.failures.insert(vm.clone(), value * OUTCOME_WEIGHT);
    }

    /// Drops the state of an upstream that left or restarted.
    pub(crate) fn remove(&mut self, vm: &VmName) {
        // A success resets the circuit breaker.
        self.breaker.note_success(vm);
        self.failures.swap_remove(vm);
    }

    /// Whether the circuit breaker allows requests to the upstream.
    pub(crate) fn is_reachable(&self, vm: &VmName, now: ClockMillis) -> bool {
        self.breaker.allows(vm, now)
    }

    /// The moving average of the upstream's failure rate.
    pub(crate) fn failure_rate(&self, vm: &VmName) -> f64 {
        self.failures.get(vm).copied().unwrap_or(0.0)
    }

    /// Whether the upstream's failure rate is well above `pool_rate`, the mean of its pool.
    pub(crate) fn is_failing(&self, vm: &VmName, pool_rate: f64) -> bool {
        self.failure_rate(vm) > pool_rate + FAILURE_MARGIN
    }
}
