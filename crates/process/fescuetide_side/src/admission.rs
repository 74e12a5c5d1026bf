//! Thread-safe admission control of attempts under the load limit.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use fescuetide_base::ClockMillis;
use fescuetide_base::LoadCount;
use fescuetide_base::SpanMillis;
use fescuetide_limits::AdmitError;
use fescuetide_limits::LoadBound;
use fescuetide_limits::LoadLimiter;
use fescuetide_wire::frame::AdmissionRule;
use fescuetide_wire::frame::RefusalReason;

/// Retry delay for refused attempts: about two load report intervals.
const RETRY_AFTER_MS: u64 = 1_000;

/// The reason why an attempt was not admitted, with hints for the router.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmitRefusal {
    pub(crate) reason: RefusalReason,
    /// Load of the upstream at the time of the refusal.
    pub(crate) load: LoadCount,
    pub(crate) retry_after: SpanMillis,
}

impl AdmitRefusal {
    pub(crate) fn new(reason: RefusalReason, load: LoadCount) -> Self {
        Self {
            reason,
            load,
            retry_after: SpanMillis::new(RETRY_AFTER_MS),
        }
    }
}

/// Tracks the load of the upstream and decides on admission.
#[derive(Debug)]
pub(crate) struct AdmissionGate {
    gate: Mutex<LoadLimiter>,
    /// Whether the VM list marks the VM as leaving. Unlike a drain, this can be reverted.
    listed_leaving: AtomicBool,
}

impl AdmissionGate {
    pub(crate) fn new(bound: LoadBound) -> Self {
        Self {
            gate: Mutex::new(LoadLimiter::new(bound)),
            listed_leaving: AtomicBool::new(false),
        }
    }

    /// Admits one attempt or returns the refusal. An admitted attempt counts as load until [`release`](Self::release).
    ///
    /// `suspect` tells whether an upstream crashed while running an earlier attempt at the request. At most one suspect
    /// is admitted at a time.
    pub(crate) fn admit(&self, rule: AdmissionRule, suspect: bool) -> Result<(), AdmitRefusal> {
        let mut gate = self.lock();
        if self.listed_leaving.load(Ordering::Acquire) {
            return Err(AdmitRefusal::new(RefusalReason::Leaving, gate.load()));
        }
        let admitted = if suspect {
            gate.admit_suspect(rule.into())
        } else {
            gate.admit(rule.into())
        };
        admitted.map_err(|error| match error {
            AdmitError::OverBound(load) => AdmitRefusal::new(RefusalReason::OverBound, load),
            AdmitError::Suspect(load) => AdmitRefusal::new(RefusalReason::Suspect, load),
            AdmitError::Draining => AdmitRefusal::new(RefusalReason::Leaving, gate.load()),
        })
    }

    /// Removes one admitted attempt from the load.
    pub(crate) fn release(&self, suspect: bool) {
        let mut gate = self.lock();
        if suspect {
            gate.release_suspect();
        } else {
            gate.release();
        }
    }

    /// Returns the number of admitted attempts that have not ended.
    pub(crate) fn load(&self) -> LoadCount {
        self.lock().load()
    }

    /// Returns the mean load of the pool, from which the load limit is derived.
    pub(crate) fn mean(&self) -> f64 {
        self.lock().mean()
    }

    /// Updates the mean load of the pool.
    pub(crate) fn set_mean(&self, mean: f64, now: ClockMillis) {
        self.lock().set_mean(mean, now);
    }

    /// Refuses all new work from now on. Returns `false` if it was already refused.
    pub(crate) fn start_drain(&self) -> bool {
        self.lock().drain()
    }

    /// Returns whether new work is refused, because of a drain or because the VM list marks the VM as leaving.
    pub(crate) fn refuses_new_work(&self) -> bool {
        self.listed_leaving.load(Ordering::Acquire) || self.lock().is_draining()
    }

    /// Sets whether the VM list marks the VM as leaving. Returns whether the value changed.
    pub(crate) fn set_listed_leaving(&self, leaving: bool) -> bool {
        self.listed_leaving.swap(leaving, Ordering::AcqRel) != leaving
    }

    fn lock(&self) -> MutexGuard<'_, LoadLimiter> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
