//! A claim on its way through the registrar, and the ledger that decides it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_claims::ClaimEntry;
use fescuetide_claims::ClaimLedger;
use fescuetide_claims::ClaimWindow;
use fescuetide_claims::KeyStatus;
use fescuetide_wire::claim::ClaimReply;
use fescuetide_wire::claim::ClaimWire;

/// When a caller should come back while the log cannot be used.
const RETRY_AFTER_MS: u64 = 1_000;

/// Takes the answer to a claim.
pub(crate) type ReplySlot = Box<dyn FnOnce(ClaimReply) + Send>;

/// A claim to append.
pub(crate) struct ClaimJob {
    pub(crate) claim: ClaimEntry,
    /// When the caller gives up.
    pub(crate) due: ClockMillis,
    pub(crate) reply: ReplySlot,
}

/// The ledger of a partition, shared by its worker and the registrar.
#[derive(Clone)]
pub(crate) struct SharedLedger {
    ledger: Arc<Mutex<ClaimLedger>>,
    /// Whether the ledger has been read up to the end of the log once.
    is_started: Arc<AtomicBool>,
}

impl SharedLedger {
    pub(crate) fn new(window: ClaimWindow) -> Self {
        Self {
            ledger: Arc::new(Mutex::new(ClaimLedger::new(window))),
            is_started: Arc::default(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, ClaimLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn note_started(&self) {
        self.is_started.store(true, Ordering::Release);
    }

    pub(crate) fn is_started(&self) -> bool {
        self.is_started.load(Ordering::Acquire)
    }

    /// Answers from what was read before. A claim that is known stays useful without the log: its side process may hold
    /// the response.
    pub(crate) fn answer_without_log(&self, claim: &ClaimEntry, now: ClockMillis) -> ClaimReply {
        let ledger = self.lock();
        match ledger.look_up(&claim.key, now) {
            KeyStatus::Held(found) if found.id != claim.id => ClaimReply::Held {
                claim: Box::new(ClaimWire::from(found.clone())),
                caught_up: false,
            },
            KeyStatus::Unknown => ClaimReply::Unknown,
            KeyStatus::Held(_) => unavailable(false),
            KeyStatus::Free => unavailable(self.is_started()),
        }
    }
}

/// The answer while the log cannot be used; `is_free` says whether the key is known to have no claim.
pub(crate) fn unavailable(is_free: bool) -> ClaimReply {
    ClaimReply::Unavailable {
        retry_after: SpanMillis::new(RETRY_AFTER_MS),
        is_free,
    }
}
