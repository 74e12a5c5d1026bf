//! The worker of one partition of the claim log.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use fescuetide_base::ClockMillis;
use fescuetide_base::LogOffset;
use fescuetide_base::SpanMillis;
use fescuetide_claims::ClaimEntry;
use fescuetide_claims::ClaimLedger;
use fescuetide_claims::ClaimPartition;
use fescuetide_claims::ClaimStatus;
use fescuetide_claims::ClaimWindow;
use fescuetide_net::LogClient;
use fescuetide_net::PlatformError;
use fescuetide_wire::claim::ClaimRecord;
use fescuetide_wire::claim::ClaimReply;
use fescuetide_wire::claim::ClaimWire;
use fescuetide_wire::log::ReadReply;
use fescuetide_wire::log::RecordWire;

use crate::claim_job::ClaimJob;
use crate::claim_job::SharedLedger;
use crate::claim_job::unavailable;
use crate::log_health::LogHealth;

/// Maximum number of claims per record. Together with `READ_LIMIT_RECORDS` it keeps a read below 10 MB, the limit of
/// the HTTP client.
const BATCH_LIMIT: usize = 64;

/// Maximum number of records per read.
const READ_LIMIT_RECORDS: u32 = 200;

/// Number of appends of a batch before its remaining claims are answered without the log.
const APPEND_ATTEMPT_LIMIT: u32 = 3;

/// Interval between probes of the log while it is failing or slow.
const PROBE_INTERVAL_MS: u64 = 250;

/// Call duration above which the log counts as slow and is probed without waiting for the next claim.
const SLOW_CALL_MS: u64 = 100;

/// Appends the claims of one partition to the log and maintains its ledger.
pub(crate) struct PartitionWorker {
    partition: ClaimPartition,
    stream: String,
    log: LogClient,
    health: Arc<LogHealth>,
    ledger: SharedLedger,
    /// Minimum interval between appends.
    append_interval: SpanMillis,
    window: ClaimWindow,
    /// Whether the first record to read has been determined.
    has_found_start: bool,
    next_append: ClockMillis,
}

impl PartitionWorker {
    pub(crate) fn new(
        partition: ClaimPartition,
        log: LogClient,
        health: Arc<LogHealth>,
        ledger: SharedLedger,
        append_interval: SpanMillis,
        window: ClaimWindow,
    ) -> Self {
        Self {
            partition,
            stream: partition.to_string(),
            log,
            health,
            ledger,
            append_interval,
            window,
            has_found_start: false,
            next_append: ClockMillis::default(),
        }
    }

    /// Serves claims until the registrar is dropped.
    pub(crate) fn run(mut self, jobs: &Receiver<ClaimJob>) {
        self.probe();
        loop {
            let first = match jobs.recv_timeout(Duration::from_millis(PROBE_INTERVAL_MS)) {
                Ok(job) => job,
                Err(RecvTimeoutError::Timeout) => {
                    self.probe();
                    continue;
                }
                Err(RecvTimeoutError::Disconnected) => return,
            };
            // Claims that arrive before the next append is allowed join the batch.
            thread::sleep(self.next_append.since(ClockMillis::now()).into());
            let mut batch = vec![first];
            batch.extend(jobs.try_iter().take(BATCH_LIMIT - 1));
            self.serve(batch);
        }
    }

    /// Reads the log if it has not been read yet, or to detect whether a failing or slow log has recovered.
    fn probe(&mut self) {
        let expected = self.health.expected_duration(ClockMillis::now());
        let is_well = expected.is_some_and(|span| span.as_millis() <= SLOW_CALL_MS);
        if is_well && self.ledger.is_started() {
            return;
        }
        self.catch_up();
    }

    fn serve(&mut self, batch: Vec<ClaimJob>) {
        if !self.catch_up() {
            return self.answer_without_log(batch);
        }
        let mut waiting = self.reply_to_decided(batch);
        for _ in 0..APPEND_ATTEMPT_LIMIT {
            if waiting.is_empty() {
                return;
            }
            self.append(&waiting);
            // Also needed after an error: the append may have taken effect although its reply was lost.
            if !self.catch_up() {
                return self.answer_without_log(waiting);
            }
            waiting = self.reply_to_decided(waiting);
            if !waiting.is_empty() {
                thread::sleep(self.append_interval.into());
            }
        }
        self.answer_without_log(waiting);
    }

    /// Replies to the claims that the ledger decides and to those past their due time. Returns the others, which are
    /// to be appended.
    fn reply_to_decided(&self, jobs: Vec<ClaimJob>) -> Vec<ClaimJob> {
        let now = ClockMillis::now();
        let ledger = self.ledger.lock();
        let mut waiting = Vec::with_capacity(jobs.len());
        for job in jobs {
            match decide_claim(&ledger, &job.claim, now) {
                Some(reply) => (job.reply)(reply),
                None if now >= job.due => (job.reply)(unavailable(true)),
                None => waiting.push(job),
            }
        }
        waiting
    }

    fn answer_without_log(&self, jobs: Vec<ClaimJob>) {
        let now = ClockMillis::now();
        for job in jobs {
            let reply = self.ledger.answer_without_log(&job.claim, now);
            (job.reply)(reply);
        }
    }

    fn append(&mut self, jobs: &[ClaimJob]) {
        let now = ClockMillis::now();
        self.next_append = now + self.append_interval;
        let mut claims = Vec::with_capacity(jobs.len());
        for job in jobs {
            claims.push(ClaimWire::from(job.claim.clone()));
        }
        let record = ClaimRecord { at: now, claims };
        let result = self
            .health
            .observe(|| self.log.append(&self.stream, &record));
        if let Err(error) = result {
            tracing::debug!(partition = %self.partition, %error, "appending claims failed");
        }
    }

    /// Reads up to the end of the log. Returns whether the end was reached.
    fn catch_up(&mut self) -> bool {
        if !self.has_found_start {
            if let Err(error) = self.skip_old_records() {
                self.trace_read_error(&error);
                return false;
            }
            self.has_found_start = true;
        }
        loop {
            let from = self.ledger.lock().next_offset();
            match self.read(from, READ_LIMIT_RECORDS) {
                Ok(reply) if self.fold(from, &reply) => break,
                Ok(_) => {}
                Err(error) => {
                    self.trace_read_error(&error);
                    return false;
                }
            }
        }
        self.ledger.lock().expire(ClockMillis::now());
        self.ledger.mark_started();
        true
    }

    fn read(&self, from: LogOffset, limit: u32) -> Result<ReadReply, PlatformError> {
        self.health
            .observe(|| self.log.read(&self.stream, from, limit))
    }

    /// Starts a new ledger after the records that contain only expired keys. Finds their end by binary search.
    fn skip_old_records(&self) -> Result<(), PlatformError> {
        let reply = self.read(LogOffset::default(), 1)?;
        let (mut low, mut high) = (reply.first, reply.next);
        if high - low <= u64::from(READ_LIMIT_RECORDS) {
            return Ok(());
        }
        let skew = self.window.skew.as_millis();
        let age = self.window.age.as_millis();
        let now = ClockMillis::now().as_millis();
        // If the record at `low` was appended at `old` or earlier by the clock of its registrar, every key in the
        // records before it was created by `old + 2 * skew`, which is `now - age`, and has expired: another registrar
        // may have stamped an earlier record up to one skew later, and the clock of a caller may be one skew ahead of
        // that.
        let old = ClockMillis::new(now.saturating_sub(age + 2 * skew));
        let first = low;
        while high - low > 1 {
            let middle = low + (high - low) / 2;
            let reply = self.read(LogOffset::new(middle), 1)?;
            let Some(wire) = reply.records.first() else {
                return Ok(());
            };
            match parse_record(wire) {
                Some(record) if record.at <= old => low = middle,
                Some(_) | None => high = middle,
            }
        }
        if low > first {
            // Every skipped record was appended by `old + skew`, by the clock of its own registrar. The ledger adds the
            // skew between that clock and the one of the caller: it reports keys created by `lost_until + skew` as
            // unknown.
            let lost_until = old + self.window.skew;
            self.ledger.lock().restart(LogOffset::new(low), lost_until);
        }
        Ok(())
    }

    fn trace_read_error(&self, error: &PlatformError) {
        tracing::debug!(partition = %self.partition, %error, "reading claims failed");
    }

    /// Applies the records of a read to the ledger. Returns whether the end of the log was reached.
    fn fold(&self, from: LogOffset, reply: &ReadReply) -> bool {
        let mut ledger = self.ledger.lock();
        let first = LogOffset::new(reply.first);
        if first > from || reply.next < from.get() {
            // Records expired before they were read, or the log was truncated. Their claims are unknown.
            let lost_until = match reply.records.first().map(parse_record) {
                Some(Some(record)) => record.at,
                Some(None) | None => ClockMillis::now(),
            };
            ledger.restart(first, lost_until);
            tracing::info!(partition = %self.partition, %first, "claim records before the first offset are lost; keys that they may contain are answered as unknown");
            if reply.next < from.get() {
                return false;
            }
        }
        for wire in &reply.records {
            let claims = parse_record(wire).map_or_else(Vec::new, |record| record.claims);
            let claims: Vec<ClaimEntry> = claims.into_iter().map(ClaimEntry::from).collect();
            if let Err(error) = ledger.fold(LogOffset::new(wire.offset), &claims) {
                tracing::debug!(partition = %self.partition, %error, "claim record was not applied");
            }
        }
        ledger.next_offset().get() >= reply.next
    }
}

fn parse_record(wire: &RecordWire) -> Option<ClaimRecord> {
    match serde_json::from_str(&wire.data) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::warn!(offset = wire.offset, %error, "claim record cannot be read and has no effect");
            None
        }
    }
}

/// Decides a claim by the ledger, which must be read up to the end of the log. Returns `None` if the claim is to be
/// appended.
///
/// `Unknown` means that the log may no longer contain the claims on the key: the key has expired, or records were lost.
/// `Free` means that the key has no claim. `Unavailable` is the reply if the log cannot be used in time.
fn decide_claim(ledger: &ClaimLedger, claim: &ClaimEntry, now: ClockMillis) -> Option<ClaimReply> {
    match ledger.look_up(&claim.key, now) {
        ClaimStatus::Unknown => Some(ClaimReply::Unknown),
        ClaimStatus::Held(found) if found.id == claim.id => Some(ClaimReply::Claimed),
        ClaimStatus::Held(found) if claim.supersedes == Some(found.id) => None,
        ClaimStatus::Held(found) => Some(ClaimReply::Held {
            claim: Box::new(ClaimWire::from(found.clone())),
            caught_up: true,
        }),
        ClaimStatus::Free if claim.supersedes.is_some() => Some(ClaimReply::Free),
        ClaimStatus::Free => None,
    }
}
