//! Which upstreams are held back because of how their attempts ended.

use fescuetide_base::ClockMillis;
use fescuetide_base::VmName;
use fescuetide_limits::BreakerSettings;
use fescuetide_limits::CircuitBreaker;
use indexmap::IndexMap;

/// The weight of the newest outcome in the mean.
const OUTCOME_WEIGHT: f64 = 0.12;

/// An upstream is avoided while its share of failures exceeds that of its pool by this much.
const FAILURE_MARGIN: f64 = 0.25;

/// Outcomes of attempts by upstream.
///
/// Answers the load pattern of an upstream that passes its health checks and fails part of its requests: its share of
/// failures is compared with that of the whole pool, so that errors which every upstream gives hold none back. Failures
/// to connect open the breaker at once.
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

    /// Notes an attempt that ended with a whole, successful response.
    pub(crate) fn note_success(&mut self, vm: &VmName) {
        self.breaker.note_success(vm);
        self.note(vm, 0.0);
    }

    /// Notes an attempt that the upstream answered with a failure or did not answer whole.
    pub(crate) fn note_failure(&mut self, vm: &VmName) {
        self.note(vm, 1.0);
    }

    /// Notes that an upstream could not be reached or is silent.
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

    /// Forgets an upstream, since it left or began a new life.
    pub(crate) fn forget(&mut self, vm: &VmName) {
        self.breaker.note_success(vm);
        self.failures.swap_remove(vm);
    }

    /// Whether an upstream may be reached.
    pub(crate) fn is_reachable(&self, vm: &VmName, now: ClockMillis) -> bool {
        self.breaker.allows(vm, now)
    }

    /// The upstream's recent share of failures.
    pub(crate) fn failure_share(&self, vm: &VmName) -> f64 {
        self.failures.get(vm).copied().unwrap_or(0.0)
    }

    /// Whether an upstream fails much more often than its pool does.
    pub(crate) fn is_failing(&self, vm: &VmName, pool_share: f64) -> bool {
        self.failure_share(vm) > pool_share + FAILURE_MARGIN
    }
}
