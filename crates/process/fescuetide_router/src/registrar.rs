//! The registrar: appends the claims of its partitions to the log and reads them back.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::thread;

use crossbeam::channel;
use crossbeam::channel::Sender;
use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_claims::ClaimEntry;
use fescuetide_claims::ClaimPartition;
use fescuetide_claims::ClaimWindow;
use fescuetide_claims::rank_registrars;
use fescuetide_net::ControlMeter;
use fescuetide_net::LogClient;
use fescuetide_wire::claim::ClaimReply;
use indexmap::IndexMap;

use crate::RouterSettings;
use crate::claim_job::ClaimJob;
use crate::claim_job::SharedLedger;
use crate::claim_job::unavailable;
use crate::log_health::LogHealth;
use crate::partition::PartitionWorker;

/// Longest time of a call of the log.
const CALL_TIMEOUT_MS: u64 = 3_000;

/// How long a router waits for its partitions before it calls itself ready: the log may be silent.
const PREPARE_LIMIT: SpanMillis = SpanMillis::new(5_000);

/// Calls of the log that a claim takes: catch up, append, read back.
const CALLS_PER_CLAIM: u64 = 3;

#[derive(Clone)]
struct PartitionSlot {
    jobs: Sender<ClaimJob>,
    ledger: SharedLedger,
}

/// The registrar of one router. Each partition that it is asked about has its own thread, since calls of the log block.
pub(crate) struct Registrar {
    window: ClaimWindow,
    log: LogClient,
    gap: SpanMillis,
    health: Arc<LogHealth>,
    slots: Mutex<IndexMap<ClaimPartition, PartitionSlot>>,
    /// When the first partitions were prepared.
    prepared_at: OnceLock<ClockMillis>,
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
            prepared_at: OnceLock::new(),
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
        self.prepared_at.get_or_init(ClockMillis::now);
        for partition in ClaimPartition::all() {
            let mut names = routers.to_vec();
            rank_registrars(partition, &mut names);
            if names.first() == Some(own) {
                self.slot(partition);
            }
        }
    }

    /// Whether the partitions have been read, or cannot be read now. A router that calls itself ready before refuses
    /// keys as unknown when the log fails then.
    pub(crate) fn is_prepared(&self, now: ClockMillis) -> bool {
        let Some(prepared_at) = self.prepared_at.get() else {
            return false;
        };
        let slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        let is_read = slots.values().all(|slot| slot.ledger.is_started());
        let is_away = self.health.expected(now).is_none();
        is_read || is_away || now.since(*prepared_at) >= PREPARE_LIMIT
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
