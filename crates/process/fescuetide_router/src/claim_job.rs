//! Claims queued at the registrar, and the ledger that decides them.

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
use fescuetide_claims::ClaimStatus;
use fescuetide_claims::ClaimWindow;
use fescuetide_wire::claim::ClaimReply;
use fescuetide_wire::claim::ClaimWire;

/// Retry delay for callers while the log is unavailable.
const RETRY_AFTER_MS: u64 = 1_000;

/// Callback that receives the reply to a claim.
pub(crate) type ReplyCallback = Box<dyn FnOnce(ClaimReply) + Send>;

/// A claim waiting to be appended to the log.
pub(crate) struct ClaimJob {
    pub(crate) claim: ClaimEntry,
    /// Time at which the caller stops waiting.
    pub(crate) due: ClockMillis,
    pub(crate) reply: ReplyCallback,
}

/// The claim ledger of one partition, shared between its worker and the registrar.
#[derive(Clone)]
pub(crate) struct SharedLedger {
    ledger: Arc<Mutex<ClaimLedger>>,
    /// Whether the ledger has caught up with the end of the log at least once.
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

    pub(crate) fn mark_started(&self) {
        self.is_started.store(true, Ordering::Release);
    }

    pub(crate) fn is_started(&self) -> bool {
        self.is_started.load(Ordering::Acquire)
    }

    /// Replies from the ledger as last read, without accessing the log. A known claim is still useful, since its side
    /// process may hold the response.
    pub(crate) fn answer_without_log(&self, claim: &ClaimEntry, now: ClockMillis) -> ClaimReply {
        let ledger = self.lock();
        match ledger.look_up(&claim.key, now) {
            ClaimStatus::Held(found) if found.id != claim.id => ClaimReply::Held {
                claim: Box::new(ClaimWire::from(found.clone())),
                caught_up: false,
            },
            ClaimStatus::Unknown => ClaimReply::Unknown,
            // The ledger has this claim, but may be behind the log: a later claim may have superseded it.
            ClaimStatus::Held(_) => unavailable(false),
            ClaimStatus::Free => unavailable(self.is_started()),
        }
    }
}

/// Builds the reply for an unavailable log. `is_free` tells whether the key is known to have no claim.
pub(crate) fn unavailable(is_free: bool) -> ClaimReply {
    ClaimReply::Unavailable {
        retry_after: SpanMillis::new(RETRY_AFTER_MS),
        is_free,
    }
}
