//! The registrar: appends the claims of its partitions to the log and reads them back.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use crossbeam::channel;
use crossbeam::channel::Sender;
use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_claims::ClaimEntry;
use fescuetide_claims::ClaimLedger;
use fescuetide_claims::ClaimPartition;
use fescuetide_claims::ClaimWindow;
use fescuetide_claims::KeyStanding;
use fescuetide_claims::rank_registrars;
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
    ledger: SharedLedger,
}

/// The ledger of a partition, shared by its worker and the registrar.
#[derive(Clone)]
pub(crate) struct SharedLedger {
    ledger: Arc<Mutex<ClaimLedger>>,
    /// Whether the ledger has been read up to the end of the log once.
    is_started: Arc<AtomicBool>,
}

impl SharedLedger {
    fn new(window: ClaimWindow) -> Self {
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
            KeyStanding::Held(found) if found.id != claim.id => ClaimReply::Held {
                claim: Box::new(ClaimWire::from(found.clone())),
                caught_up: false,
            },
            KeyStanding::Unknown => ClaimReply::Unknown,
            KeyStanding::Held(_) | KeyStanding::Free => unavailable(self.is_started()),
        }
    }
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
            (job.reply)(unavailable(false));
            return;
        };
        let left = job.due.since(now).as_millis();
        let in_time = self
            .health
            .expected(now)
            .is_some_and(|span| span.as_millis() * CALLS_PER_CLAIM < left);
        if !in_time {
            (job.reply)(slot.ledger.answer_without_log(&job.claim, now));
            return;
        }
        // The worker lives as long as its sender.
        let _ = slot.jobs.send(job);
    }

    /// Reads the partitions that this router is the preferred registrar of, before a claim comes. A registrar that has
    /// not read its partition before the log fails cannot tell whether a key was claimed.
    pub(crate) fn prepare(&self, own: &VmName, routers: &[VmName]) {
        for partition in ClaimPartition::all() {
            let mut names = routers.to_vec();
            rank_registrars(partition, &mut names);
            if names.first() == Some(own) {
                self.slot(partition);
            }
        }
    }

    /// Answers a claim from what was read before, when its worker does not answer in time.
    pub(crate) fn answer_now(&self, claim: &ClaimEntry) -> ClaimReply {
        match self.slot(ClaimPartition::of(&claim.key)) {
            Some(slot) => slot.ledger.answer_without_log(claim, ClockMillis::now()),
            None => unavailable(false),
        }
    }

    /// The partition's worker, started when it is asked for the first time.
    fn slot(&self, partition: ClaimPartition) -> Option<PartitionSlot> {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(slot) = slots.get(&partition) {
            return Some(slot.clone());
        }
        let (jobs, receiver) = channel::unbounded();
        let ledger = SharedLedger::new(self.window);
        let worker = PartitionWorker::new(
            partition,
            self.log.clone(),
            Arc::clone(&self.health),
            ledger.clone(),
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

/// The answer while the log cannot be used; `is_free` says whether the key is known to have no claim.
pub(crate) fn unavailable(is_free: bool) -> ClaimReply {
    ClaimReply::Unavailable {
        retry_after: SpanMillis::new(RETRY_AFTER_MS),
        is_free,
    }
}
