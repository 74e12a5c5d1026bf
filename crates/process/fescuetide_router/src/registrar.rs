//! The registrar: appends the claims of its partitions to the log and reads them back.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;

use crossbeam::channel;
use crossbeam::channel::Sender;
use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_claims::ClaimEntry;
use fescuetide_claims::ClaimLedger;
use fescuetide_claims::ClaimPartition;
use fescuetide_claims::ClaimWindow;
use fescuetide_claims::KeyStanding;
use fescuetide_net::ControlMeter;
use fescuetide_net::LogClient;
use fescuetide_wire::claim::ClaimReply;
use fescuetide_wire::claim::ClaimWire;
use indexmap::IndexMap;

use crate::RouterSettings;
use crate::partition::PartitionWorker;

/// Longest time of a call of the log.
const CALL_TIMEOUT_MS: u64 = 3_000;

/// Calls of the log that a claim takes: catch up, append, read back.
const CALLS_PER_CLAIM: u64 = 3;

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

#[derive(Debug, Default)]
struct HealthState {
    failing: bool,
    last_span: SpanMillis,
    next_call: u64,
    running: IndexMap<u64, ClockMillis>,
}

/// What calls of the log took lately, so that a claim that cannot be made in time is refused at once.
#[derive(Debug, Default)]
pub(crate) struct LogHealth {
    state: Mutex<HealthState>,
}

impl LogHealth {
    /// Runs a call and notes its time and result.
    pub(crate) fn observe<T, E>(&self, call: impl FnOnce() -> Result<T, E>) -> Result<T, E> {
        let start = ClockMillis::now();
        let id = {
            let mut state = self.lock();
            state.next_call += 1;
            let id = state.next_call;
            state.running.insert(id, start);
            id
        };
        let result = call();
        let mut state = self.lock();
        state.running.swap_remove(&id);
        state.failing = result.is_err();
        state.last_span = ClockMillis::now().since(start);
        result
    }

    /// The time that a call takes now, `None` while calls fail.
    pub(crate) fn expected(&self, now: ClockMillis) -> Option<SpanMillis> {
        let state = self.lock();
        if state.failing {
            return None;
        }
        let mut span = state.last_span;
        for start in state.running.values() {
            span = span.max(now.since(*start));
        }
        Some(span)
    }

    fn lock(&self) -> MutexGuard<'_, HealthState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Clone)]
struct PartitionSlot {
    jobs: Sender<ClaimJob>,
    ledger: Arc<Mutex<ClaimLedger>>,
}

/// The registrar of one router. Each partition that it is asked about has its own thread, since calls of the log block.
pub(crate) struct Registrar {
    window: ClaimWindow,
    log: LogClient,
    gap: SpanMillis,
    health: Arc<LogHealth>,
    slots: Mutex<IndexMap<ClaimPartition, PartitionSlot>>,
}

impl Registrar {
    pub(crate) fn new(settings: &RouterSettings) -> Self {
        let timeout = SpanMillis::new(CALL_TIMEOUT_MS);
        // Claims are part of serving requests and do not count as control traffic.
        let meter = ControlMeter::default();
        Self {
            window: settings.claim_window(),
            log: LogClient::new(settings.log_url.clone(), timeout, meter),
            gap: SpanMillis::new(settings.claim_gap_ms),
            health: Arc::default(),
            slots: Mutex::default(),
        }
    }

    /// Takes a claim; the answer follows through its reply slot. Does not block.
    pub(crate) fn submit(&self, job: ClaimJob) {
        let now = ClockMillis::now();
        let Some(slot) = self.slot(ClaimPartition::of(&job.claim.key)) else {
            (job.reply)(unavailable());
            return;
        };
        let left = job.due.since(now).as_millis();
        let in_time = self
            .health
            .expected(now)
            .is_some_and(|span| span.as_millis() * CALLS_PER_CLAIM < left);
        if !in_time {
            let ledger = lock_ledger(&slot.ledger);
            (job.reply)(answer_without_log(&ledger, &job.claim, now));
            return;
        }
        // The worker lives as long as its sender.
        let _ = slot.jobs.send(job);
    }

    /// The partition's worker, started when it is asked for the first time.
    fn slot(&self, partition: ClaimPartition) -> Option<PartitionSlot> {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(slot) = slots.get(&partition) {
            return Some(slot.clone());
        }
        let (jobs, receiver) = channel::unbounded();
        let ledger = Arc::new(Mutex::new(ClaimLedger::new(self.window)));
        let worker = PartitionWorker::new(
            partition,
            self.log.clone(),
            Arc::clone(&self.health),
            Arc::clone(&ledger),
            self.gap,
            self.window,
        );
        let spawned = thread::Builder::new()
            .name(format!("router-{partition}"))
            .spawn(move || worker.run(&receiver));
        if let Err(error) = spawned {
            tracing::warn!(%partition, %error, "no thread for the partition");
            return None;
        }
        let slot = PartitionSlot { jobs, ledger };
        slots.insert(partition, slot.clone());
        Some(slot)
    }
}

pub(crate) fn lock_ledger(ledger: &Mutex<ClaimLedger>) -> MutexGuard<'_, ClaimLedger> {
    ledger.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn unavailable() -> ClaimReply {
    ClaimReply::Unavailable {
        retry_after: SpanMillis::new(RETRY_AFTER_MS),
    }
}

/// Answers from what was read before. A claim that is known stays useful without the log: its side process may hold the
/// response.
pub(crate) fn answer_without_log(
    ledger: &ClaimLedger,
    claim: &ClaimEntry,
    now: ClockMillis,
) -> ClaimReply {
    match ledger.look_up(&claim.key, now) {
        KeyStanding::Held(found) if found.id != claim.id => ClaimReply::Held {
            claim: Box::new(ClaimWire::from(found.clone())),
            caught_up: false,
        },
        KeyStanding::Unknown => ClaimReply::Unknown,
        KeyStanding::Held(_) | KeyStanding::Free => unavailable(),
    }
}
