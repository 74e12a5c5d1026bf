//! Appends to the platform's log: crash reports, and the record of this gateway.

use std::net::SocketAddr;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_limits::CrashEvidence;
use fescuetide_wire::codec;
use fescuetide_wire::crash::CrashRecord;
use indexmap::IndexMap;

use crate::codec::FleetStream;
use crate::codec::LogRecord;
use crate::codec::RecordCodec;
use crate::counters::count;
use crate::crash_reports::RETRY_DELAY;
use crate::crash_reports::ReportCommand;
use crate::follower::FleetPublisher;
use crate::log_client::CallError;
use crate::log_client::PlatformLogClient;
use crate::log_era::EraWatch;
use crate::peers::PeerCommand;
use crate::registry::GatewayRegistry;

/// Minimum interval between appends.
const APPEND_INTERVAL: SpanMillis = SpanMillis::new(250);

/// Delay of reports that requests completed, which many do in the seconds after a crash.
const COMPLETION_DELAY: SpanMillis = SpanMillis::new(2_000);

/// Interval between checks for own reports that have expired.
const EXPIRY_INTERVAL: SpanMillis = SpanMillis::new(60_000);

/// Maximum number of records in one call, which keeps its body below 100 KB.
const APPEND_LIMIT: usize = 1_000;

/// Appends the reports of this gateway, and removes them when they expire.
pub(crate) struct ReportAppender<C> {
    gateway: String,
    client: PlatformLogClient,
    era: EraWatch,
    pub(crate) codec: C,
    publisher: FleetPublisher,
    peers: Option<Sender<PeerCommand>>,
    /// Records that have not been appended yet, by key.
    pending: IndexMap<String, Option<CrashRecord>>,
    /// The expiry of this gateway's own records in the log, by key.
    appended: IndexMap<String, ClockMillis>,
    /// When pending records are appended.
    append_at: Option<ClockMillis>,
    /// The earliest time of the next append.
    next_append_at: ClockMillis,
    is_failing: bool,
    /// Keeps the record of this gateway, `None` if others cannot find it.
    registry: Option<GatewayRegistry<C>>,
}

impl<C: RecordCodec> ReportAppender<C> {
    /// Creates the appender of a gateway. `peers` takes what cannot be appended.
    pub(crate) fn new(
        address: SocketAddr,
        gateway: &str,
        codec: &C,
        publisher: &FleetPublisher,
        peers: Option<Sender<PeerCommand>>,
        registry: Option<GatewayRegistry<C>>,
    ) -> Self {
        Self {
            gateway: gateway.to_owned(),
            client: PlatformLogClient::new(address),
            era: EraWatch::new(FleetStream::CrashReports),
            codec: codec.clone(),
            publisher: publisher.clone(),
            peers,
            pending: IndexMap::new(),
            appended: IndexMap::new(),
            append_at: None,
            next_append_at: ClockMillis::default(),
            is_failing: false,
            registry,
        }
    }

    /// Carries out commands until the process exits.
    pub(crate) fn run(mut self, commands: &Receiver<ReportCommand>) {
        let mut next_expiry_at = ClockMillis::now() + EXPIRY_INTERVAL;
        loop {
            let mut due = self.append_at.unwrap_or(next_expiry_at).min(next_expiry_at);
            if let Some(registry) = &self.registry {
                due = due.min(registry.next_at());
            }
            let wait = due.since(ClockMillis::now());
            match commands.recv_timeout(wait.into()) {
                Ok(ReportCommand::Append {
                    evidence,
                    is_urgent,
                }) => self.add_reports(evidence, is_urgent),
                Ok(ReportCommand::Remove(keys)) => {
                    for key in keys {
                        self.add_removal(key);
                    }
                }
                Ok(ReportCommand::NoteRestored) => {
                    if let Some(registry) = &mut self.registry {
                        registry.note_restored();
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                // The traffic thread has ended, so the process is exiting.
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = ClockMillis::now();
            if now >= next_expiry_at {
                next_expiry_at = now + EXPIRY_INTERVAL;
                self.remove_expired(now);
            }
            if self.append_at.is_some_and(|at| now >= at) {
                self.append_pending(now);
            }
            if let Some(registry) = &mut self.registry {
                registry.step();
            }
        }
    }

    fn append_pending(&mut self, now: ClockMillis) {
        let result = self.append();
        self.next_append_at = now + APPEND_INTERVAL;
        self.append_at = None;
        match result {
            Ok(()) => self.is_failing = false,
            Err(error) => {
                self.handle_failure(&error);
                self.append_at = Some(now + RETRY_DELAY);
            }
        }
    }

    /// Sets the time of the next append to `at` unless it is sooner. While calls fail, the time of the next try stays.
    fn schedule(&mut self, at: ClockMillis) {
        let at = at.max(self.next_append_at);
        self.append_at = match self.append_at {
            Some(known) if self.is_failing => Some(known),
            Some(known) => Some(known.min(at)),
            None => Some(at),
        };
    }

    fn add_reports(&mut self, list: Vec<CrashEvidence>, is_urgent: bool) {
        let now = ClockMillis::now();
        self.schedule(match is_urgent {
            true => now,
            false => now + COMPLETION_DELAY,
        });
        if is_urgent && self.is_failing {
            self.send_to_peers();
        }
        for evidence in list {
            let key = CrashRecord::key(evidence.fingerprint, &self.gateway);
            let record = CrashRecord::new(&evidence, now);
            self.pending.insert(key, Some(record));
        }
    }

    fn add_removal(&mut self, key: String) {
        self.pending.entry(key).or_insert(None);
        self.schedule(ClockMillis::now());
    }

    fn remove_expired(&mut self, now: ClockMillis) {
        let mut expired = Vec::new();
        for (key, until) in &self.appended {
            if now >= *until {
                expired.push(key.clone());
            }
        }
        for key in expired {
            self.add_removal(key);
        }
    }

    /// Appends pending records. An append whose response is lost is repeated, which changes nothing: the records say the
    /// same.
    fn append(&mut self) -> Result<(), CallError> {
        while !self.pending.is_empty() {
            let mut records = Vec::new();
            for (key, record) in self.pending.iter().take(APPEND_LIMIT) {
                let value = record.as_ref().map(codec::encode).transpose();
                let value = value.map_err(CallError::Unencodable)?;
                let key = key.clone();
                records.push(LogRecord { key, value });
            }
            let target = self.codec.append_target(FleetStream::CrashReports, None);
            let body = self.codec.encode_records(&records);
            count(&self.publisher.counters.log_calls);
            let result = self.client.post(&target, &body);
            let head = self.client.take_head();
            // The response is that of this append. What was appended before and is lost is written again once the reader
            // of the reports has listed them.
            if let Err(error) = self.era.check(head, &self.codec, None, &self.publisher) {
                tracing::debug!(%error, "appended after a restore");
            }
            result?;
            count(&self.publisher.counters.crash_reports);
            for (key, record) in self.pending.drain(..records.len()) {
                match record {
                    Some(record) => {
                        let until = ClockMillis::new(record.until_ms);
                        self.appended.insert(key, until);
                    }
                    None => {
                        self.appended.swap_remove(&key);
                    }
                }
            }
        }
        Ok(())
    }

    /// Tells the peers what cannot be appended. The append is tried again later, and crashes that are found until then are
    /// sent to the peers at once.
    fn handle_failure(&mut self, error: &CallError) {
        count(&self.publisher.counters.log_failures);
        if self.is_failing {
            return;
        }
        self.is_failing = true;
        tracing::warn!(%error, reports = self.pending.len(), "cannot append crash reports, sending them to peers");
        self.send_to_peers();
    }

    fn send_to_peers(&self) {
        let Some(peers) = &self.peers else {
            return;
        };
        if peers.send(PeerCommand::Broadcast).is_err() {
            tracing::error!("cannot send crash evidence to peers: the peer thread has ended");
        }
    }
}
