//! Admission of attempts within the load bound, shared between threads.

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

/// When a refused router should come back: about the time of two load reports.
const RETRY_AFTER_MS: u64 = 1_000;

/// A refusal of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmitRefusal {
    pub(crate) reason: RefusalReason,
    /// The load at the time of the refusal.
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

/// Counts the load and decides on admission.
#[derive(Debug)]
pub(crate) struct AdmissionGate {
    gate: Mutex<LoadLimiter>,
    /// Whether the VM list shows the VM as leaving. Unlike a drain, this can be taken back.
    listed_leaving: AtomicBool,
}

impl AdmissionGate {
    pub(crate) fn new(bound: LoadBound) -> Self {
        Self {
            gate: Mutex::new(LoadLimiter::new(bound)),
            listed_leaving: AtomicBool::new(false),
        }
    }

    /// Admits one attempt or says why not. An admitted attempt is counted until [`release`](Self::release).
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
            AdmitError::Leaving => AdmitRefusal::new(RefusalReason::Leaving, gate.load()),
        })
    }

    /// Ends the count of one admitted attempt.
    pub(crate) fn release(&self, suspect: bool) {
        let mut gate = self.lock();
        if suspect {
            gate.release_suspect();
        } else {
            gate.release();
        }
    }

    /// Outstanding attempts.
    pub(crate) fn load(&self) -> LoadCount {
        self.lock().load()
    }

    /// The mean load of the pool that the cap is derived from.
    pub(crate) fn mean(&self) -> f64 {
        self.lock().mean()
    }

    /// Learns the mean load of the pool.
    pub(crate) fn set_mean(&self, mean: f64, now: ClockMillis) {
        self.lock().set_mean(mean, now);
    }

    /// Refuses all new work from now on. Returns whether it did not before.
    pub(crate) fn leave(&self) -> bool {
        self.lock().leave()
    }

    /// Whether new work is refused.
    pub(crate) fn is_leaving(&self) -> bool {
        self.listed_leaving.load(Ordering::Acquire) || self.lock().is_leaving()
    }

    /// Notes whether the VM list shows the VM as leaving. Returns whether this is new.
    pub(crate) fn set_listed_leaving(&self, leaving: bool) -> bool {
        self.listed_leaving.swap(leaving, Ordering::AcqRel) != leaving
    }

    fn lock(&self) -> MutexGuard<'_, LoadLimiter> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
