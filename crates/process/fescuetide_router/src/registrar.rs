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

/// Number of log calls of a claim whose first append succeeds: catch up, append, read back.
const CALLS_PER_CLAIM: u64 = 3;

/// Access to the worker of a partition and to its ledger.
#[derive(Clone)]
struct PartitionHandle {
    jobs: Sender<ClaimJob>,
    ledger: SharedLedger,
}

/// The registrar of one router. Each partition in use has its own thread, since log calls block.
pub(crate) struct Registrar {
    window: ClaimWindow,
    log: LogClient,
    append_interval: SpanMillis,
    health: Arc<LogHealth>,
    handles: Mutex<IndexMap<ClaimPartition, PartitionHandle>>,
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
            append_interval: SpanMillis::new(settings.claim_gap_ms),
            health: Arc::default(),
            handles: Mutex::default(),
            prepared_at: OnceLock::new(),
        }
    }

    /// Queues a claim without blocking. The reply is passed to the callback of the job.
    pub(crate) fn submit(&self, job: ClaimJob) {
        let now = ClockMillis::now();
        let Some(handle) = self.start_partition(ClaimPartition::of(&job.claim.key)) else {
            (job.reply)(unavailable(false));
            return;
        };
        let left = job.due.since(now).as_millis();
        let in_time = self
            .health
            .expected_duration(now)
            .is_some_and(|span| span.as_millis() * CALLS_PER_CLAIM < left);
        if !in_time {
            (job.reply)(handle.ledger.answer_without_log(&job.claim, now));
            return;
        }
        // Cannot fail: the worker runs as long as its sender exists.
        let _ = handle.jobs.send(job);
    }

    /// Starts reading the partitions that this router is the preferred registrar of, ahead of the first claim. A
    /// registrar that has not read its partition before the log fails cannot tell whether a key was claimed.
    pub(crate) fn prepare(&self, own: &VmName, routers: &[VmName]) {
        self.prepared_at.get_or_init(ClockMillis::now);
        for partition in ClaimPartition::all() {
            let mut names = routers.to_vec();
            rank_registrars(partition, &mut names);
            if names.first() == Some(own) {
                self.start_partition(partition);
            }
        }
    }

    /// Returns whether `/readyz` may report ready: the partitions have been read, the log is failing, or
    /// `PREPARE_LIMIT` has passed. If a router reported ready before reading its partitions and the log then failed, it
    /// would have to refuse keys, since it could not tell whether they were claimed.
    pub(crate) fn may_report_ready(&self, now: ClockMillis) -> bool {
        let Some(prepared_at) = self.prepared_at.get() else {
            return false;
        };
        let handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
        let is_read = handles.values().all(|handle| handle.ledger.is_started());
        let is_log_failing = self.health.expected_duration(now).is_none();
        is_read || is_log_failing || now.since(*prepared_at) >= PREPARE_LIMIT
    }

    /// Replies to a claim from the ledger as last read, for use when the worker does not reply in time.
    pub(crate) fn answer_without_log(&self, claim: &ClaimEntry) -> ClaimReply {
        match self.start_partition(ClaimPartition::of(&claim.key)) {
            Some(handle) => handle.ledger.answer_without_log(claim, ClockMillis::now()),
            None => unavailable(false),
        }
    }

    /// Returns the handle of a partition, starting its worker on first use. Returns `None` if the thread cannot be
    /// spawned.
    fn start_partition(&self, partition: ClaimPartition) -> Option<PartitionHandle> {
        let mut handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(handle) = handles.get(&partition) {
            return Some(handle.clone());
        }
        let (jobs, receiver) = channel::unbounded();
        let ledger = SharedLedger::new(self.window);
        let worker = PartitionWorker::new(
            partition,
            self.log.clone(),
            Arc::clone(&self.health),
            ledger.clone(),
            self.append_interval,
            self.window,
        );
        let spawned = thread::Builder::new()
            .name(format!("router-{partition}"))
            .spawn(move || worker.run(&receiver));
        if let Err(error) = spawned {
            tracing::warn!(%partition, %error, "cannot spawn the worker thread of the partition");
            return None;
        }
        let handle = PartitionHandle { jobs, ledger };
        handles.insert(partition, handle.clone());
        Some(handle)
    }
}
