//! Admission of attempts within the load bound.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use fescuetide_base::LoadCount;
use fescuetide_limits::LoadBound;
use fescuetide_wire::frame::AdmissionRule;
use fescuetide_wire::frame::RefusalReason;

#[derive(Debug, Default)]
struct GateState {
    load: u32,
    mean: f64,
    leaving: bool,
}

/// Counts the load and decides on admission.
#[derive(Debug, Default)]
pub(crate) struct AdmissionGate {
    state: Mutex<GateState>,
}

impl AdmissionGate {
    /// Admits one attempt or says why not. An admitted attempt is counted until [`release`](Self::release).
    pub(crate) fn admit(&self, rule: AdmissionRule, bound: LoadBound) -> Result<(), RefusalReason> {
        let mut state = self.lock();
        if state.leaving {
            return Err(RefusalReason::Leaving);
        }
        let load = LoadCount::new(state.load);
        let admitted = match rule {
            AdmissionRule::OwnCap => bound.admits(load, state.mean),
            AdmissionRule::AtMost(limit) => load <= limit,
        };
        if !admitted {
            return Err(RefusalReason::OverBound);
        }
        state.load += 1;
        Ok(())
    }

    /// Ends the count of one admitted attempt.
    pub(crate) fn release(&self) {
        let mut state = self.lock();
        state.load = state.load.saturating_sub(1);
    }

    /// Outstanding attempts.
    pub(crate) fn load(&self) -> LoadCount {
        LoadCount::new(self.lock().load)
    }

    /// The mean load of the pool as last learned.
    pub(crate) fn mean(&self) -> f64 {
        self.lock().mean
    }

    /// Learns the mean load of the pool.
    pub(crate) fn set_mean(&self, mean: f64) {
        self.lock().mean = mean;
    }

    /// Refuses all new work from now on. Returns whether it did not before.
    pub(crate) fn leave(&self) -> bool {
        let mut state = self.lock();
        let first = !state.leaving;
        state.leaving = true;
        first
    }

    /// Whether new work is refused.
    pub(crate) fn is_leaving(&self) -> bool {
        self.lock().leaving
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
