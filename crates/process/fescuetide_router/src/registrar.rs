//! The registrar: appends the claims of its partitions to the claim log and reads them back.

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

/// Timeout of a call to the log.
const CALL_TIMEOUT_MS: u64 = 3_000;

/// Maximum time that reading the partitions may delay readiness, since the log may be unresponsive.
const PREPARE_LIMIT: SpanMillis = SpanMillis::new(5_000);

/// Number of log calls per claim: catch up, append, read back.
const CALLS_PER_CLAIM: u64 = 3;

#[derive(Clone)]
struct PartitionSlot {
    jobs: Sender<ClaimJob>,
    ledger: SharedLedger,
}

/// The registrar of one router. Each partition in use has its own thread, since log calls block.
pub(crate) struct Registrar {
    window: ClaimWindow,
    log: LogClient,
    gap: SpanMillis,
    health: Arc<LogHealth>,
    slots: Mutex<IndexMap<ClaimPartition, PartitionSlot>>,
    /// Time of the first call to [`prepare`](Self::prepare).
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

    /// Queues a claim without blocking. The reply is passed to the callback of the job.
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
        // Cannot fail: the worker runs as long as its sender exists.
        let _ = slot.jobs.send(job);
    }

    /// Starts reading the partitions that this router is the preferred registrar of, ahead of the first claim. A
    /// registrar that has not read its partition before the log fails cannot tell whether a key was claimed.
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

    /// Returns whether the partitions have been read, cannot be read now, or `PREPARE_LIMIT` has passed. A router that
    /// reported ready earlier would refuse keys as unknown if the log failed before the partitions were read.
    pub(crate) fn is_prepared(&self, now: ClockMillis) -> bool {
        let Some(prepared_at) = self.prepared_at.get() else {
            return false;
        };
        let slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        let is_read = slots.values().all(|slot| slot.ledger.is_started());
        let is_away = self.health.expected(now).is_none();
        is_read || is_away || now.since(*prepared_at) >= PREPARE_LIMIT
    }

    /// Replies to a claim from the ledger as last read, for use when the worker does not reply in time.
    pub(crate) fn answer_now(&self, claim: &ClaimEntry) -> ClaimReply {
        match self.slot(ClaimPartition::of(&claim.key)) {
            Some(slot) => slot.ledger.answer_without_log(claim, ClockMillis::now()),
            None => unavailable(false),
        }
    }

    /// Returns the worker of a partition, starting it on first use. Returns `None` if its thread cannot be spawned.
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
            tracing::warn!(%partition, %error, "cannot spawn the worker thread of the partition");
            return None;
        }
        let slot = PartitionSlot { jobs, ledger };
        slots.insert(partition, slot.clone());
        Some(slot)
    }
}
