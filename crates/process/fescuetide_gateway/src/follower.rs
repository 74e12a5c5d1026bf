//! Control threads that follow the platform's log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use fescuetide_base::ClockMillis;
use fescuetide_base::LogOffset;
use fescuetide_base::SpanMillis;
use fescuetide_fleet::ConfigVersion;
use fescuetide_fleet::FleetUpdate;
use fescuetide_fleet::OutageDetector;
use fescuetide_fleet::OutageEnd;
use fescuetide_fleet::UpstreamChange;
use fescuetide_fleet::UpstreamTable;
use mio::Waker;

use crate::GatewayCounters;
use crate::codec::FleetStream;
use crate::codec::LogRecord;
use crate::codec::RecordCodec;
use crate::counters::count;
use crate::log_client::CallError;
use crate::log_client::OutageCounter;
use crate::log_client::PlatformLogClient;
use crate::log_era::EraWatch;
use crate::messages::LoopMessage;
use crate::peer_state::PeerState;

/// Timing of the reads of the log streams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FollowIntervals {
    /// How long a read of configurations waits for a new one (long polling).
    pub(crate) config_wait: SpanMillis,
    /// Pause between two reads of the upstreams' registrations in the log.
    pub(crate) upstream_pause: SpanMillis,
}

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Status of a read at an offset whose records are no longer retained.
const GONE_STATUS: u16 = 410;

/// Publishes changes of the fleet to the event loop and to the state shared with peers.
#[derive(Clone, Debug)]
pub(crate) struct FleetPublisher {
    pub(crate) sender: Sender<LoopMessage>,
    pub(crate) waker: Arc<Waker>,
    pub(crate) counters: Arc<GatewayCounters>,
    /// State that is shared with peers.
    pub(crate) peer_state: Arc<PeerState>,
    /// The outages of the log that the followers of the fleet have noticed.
    pub(crate) outages: OutageCounter,
}

impl FleetPublisher {
    /// Publishes a change of the fleet.
    pub(crate) fn publish(&self, update: FleetUpdate) {
        self.peer_state.record_update(&update, ClockMillis::now());
        self.send(LoopMessage::Fleet(update));
    }

    /// Sends a message to the traffic thread and wakes it.
    pub(crate) fn send(&self, message: LoopMessage) {
        if self.sender.send(message).is_err() {
            // The traffic thread has ended, so the process is exiting.
            return;
        }
        if let Err(error) = self.waker.wake() {
            tracing::error!(%error, "failed to wake the traffic thread");
        }
    }
}

/// Starts the threads that follow configurations and upstreams. Each message in `refresh_requests` triggers an
/// immediate read of the registrations.
pub(crate) fn start<C: RecordCodec>(
    address: SocketAddr,
    codec: &C,
    publisher: &FleetPublisher,
    intervals: FollowIntervals,
    refresh_requests: Receiver<()>,
) -> std::io::Result<()> {
    let configs = StreamFollower::new(FleetStream::Configs, address, codec.clone(), publisher);
    let upstreams = StreamFollower::new(FleetStream::Upstreams, address, codec.clone(), publisher);
    thread::Builder::new()
        .name("configs".to_owned())
        .spawn(move || follow_configs(configs, intervals.config_wait))?;
    thread::Builder::new()
        .name("upstreams".to_owned())
        .spawn(move || follow_upstreams(upstreams, intervals.upstream_pause, &refresh_requests))?;
    Ok(())
}

/// Result of reading a log stream.
pub(crate) enum FollowStep {
    /// The newest record of each key.
    Listing(Vec<LogRecord>),
    /// Newly appended records.
    Records(Vec<LogRecord>),
    /// No records: the read failed, or its offset is no longer retained, in which case the next step lists the newest
    /// records.
    Failed,
}

/// Reads one log stream in order.
pub(crate) struct StreamFollower<C> {
    stream: FleetStream,
    pub(crate) client: PlatformLogClient,
    codec: C,
    pub(crate) publisher: FleetPublisher,
    /// The offset to read next, `None` if the newest records must be listed first.
    next: Option<LogOffset>,
    era: EraWatch,
    /// Whether the log may have come back from an older copy since the last listing.
    is_restored: bool,
    outage: OutageDetector,
    /// The outage that ended with the last step.
    ended_outage: Option<OutageEnd>,
    /// Delay after a failed call.
    pub(crate) retry_delay: Duration,
}

impl<C: RecordCodec> StreamFollower<C> {
    pub(crate) fn new(
        stream: FleetStream,
        address: SocketAddr,
        codec: C,
        publisher: &FleetPublisher,
    ) -> Self {
        Self {
            stream,
            client: PlatformLogClient::new(address),
            codec,
            publisher: publisher.clone(),
            next: None,
            era: EraWatch::new(stream),
            is_restored: false,
            outage: OutageDetector::new(ClockMillis::now()),
            ended_outage: None,
            retry_delay: RETRY_DELAY,
        }
    }

    /// Reads new records, waiting for up to `wait` if there are none.
    pub(crate) fn step(&mut self, wait: SpanMillis) -> FollowStep {
        self.ended_outage = None;
        let wait = self.outage.read_wait(wait);
        let result = match self.next {
            None => self.list().map(FollowStep::Listing),
            Some(from) => self.read(from, wait).map(FollowStep::Records),
        };
        match result {
            Ok(step) => {
                self.note_answer();
                step
            }
            Err(CallError::Restored) => {
                self.next = None;
                self.is_restored = true;
                FollowStep::Failed
            }
            Err(CallError::Status(GONE_STATUS)) => {
                tracing::info!(stream = %self.stream, "records are gone, listing the newest");
                self.next = None;
                FollowStep::Failed
            }
            Err(error) => {
                self.note_failure(&error);
                thread::sleep(self.retry_delay);
                FollowStep::Failed
            }
        }
    }

    fn note_answer(&mut self) {
        self.ended_outage = self.outage.note_success(ClockMillis::now());
        if let Some(end) = self.ended_outage {
            tracing::info!(stream = %self.stream, away_ms = end.duration.as_millis(), "log service is back");
            self.publish_unavailable(false);
        }
    }

    fn note_failure(&mut self, error: &CallError) {
        count(&self.publisher.counters.log_failures);
        if self.outage.note_failure() {
            tracing::warn!(stream = %self.stream, %error, "log service is away");
            self.publish_unavailable(true);
        }
    }

    fn publish_unavailable(&self, is_unavailable: bool) {
        match self.stream {
            FleetStream::Configs | FleetStream::Upstreams => {
                self.publisher.outages.increment();
                let update = FleetUpdate::LogUnavailable(is_unavailable);
                self.publisher.publish(update);
            }
            // Not a part of the fleet. The other followers notice an outage at least as soon.
            FleetStream::CrashReports => {}
        }
    }

    fn list(&mut self) -> Result<Vec<LogRecord>, CallError> {
        let mut records: Vec<LogRecord> = Vec::new();
        let mut end = None;
        loop {
            let after = records.last().map(|record| record.key.as_str());
            let target = self.codec.listing_target(self.stream, after);
            let body = self.call(&target, SpanMillis::default())?;
            let page = self
                .codec
                .decode_listing(&body)
                .map_err(CallError::Undecodable)?;
            // Records that change during the listing are read again: reading continues from the end offset of the
            // first page.
            end.get_or_insert(page.end);
            let is_last = !page.has_more || page.records.is_empty();
            records.extend(page.records);
            if is_last {
                self.next = end;
                return Ok(records);
            }
        }
    }

    fn read(&mut self, from: LogOffset, wait: SpanMillis) -> Result<Vec<LogRecord>, CallError> {
        let target = self.codec.read_target(self.stream, from, wait);
        let body = self.call(&target, wait)?;
        let page = match self.codec.decode_records(&body) {
            Ok(page) => page,
            Err(error) => {
                self.next = None;
                return Err(CallError::Undecodable(error));
            }
        };
        self.next = Some(LogOffset::new(from.get() + page.records.len() as u64));
        Ok(page.records)
    }

    fn call(&mut self, target: &str, wait: SpanMillis) -> Result<Vec<u8>, CallError> {
        count(&self.publisher.counters.log_calls);
        let result = self.client.get(target, wait.into());
        let head = self.client.take_head();
        self.era
            .check(head, &self.codec, self.next, &self.publisher)?;
        result
    }

    /// Whether the listing that was just read may be that of an older copy.
    pub(crate) fn take_restored(&mut self) -> bool {
        std::mem::take(&mut self.is_restored)
    }

    pub(crate) fn report_unreadable(&self, record: &LogRecord, error: &dyn std::fmt::Display) {
        count(&self.publisher.counters.unreadable_records);
        tracing::warn!(stream = %self.stream, key = record.key, %error, "skipped a record that cannot be decoded");
    }
}

/// Publishes each configuration that is newer than the previous one. An older one, which a log lists that has come back from
/// an older copy, replaces none.
fn follow_configs<C: RecordCodec>(mut follower: StreamFollower<C>, wait: SpanMillis) {
    let mut version: Option<ConfigVersion> = None;
    loop {
        let records = match follower.step(wait) {
            FollowStep::Listing(records) | FollowStep::Records(records) => records,
            FollowStep::Failed => continue,
        };
        let is_restored = follower.take_restored();
        for record in &records {
            let config = match follower.codec.decode_config(record) {
                Ok(Some(config)) => config,
                Ok(None) => continue,
                Err(error) => {
                    follower.report_unreadable(record, &error);
                    continue;
                }
            };
            if let Some(known) = version.filter(|known| config.version <= *known) {
                if is_restored && config.version < known {
                    tracing::info!(
                        version = known.get(),
                        listed = config.version.get(),
                        "kept a configuration that is newer than the one in the log"
                    );
                }
                continue;
            }
            version = Some(config.version);
            follower
                .publisher
                .publish(FleetUpdate::Config(Arc::new(config)));
        }
    }
}

/// Publishes the upstreams whenever one of them changed.
fn follow_upstreams<C: RecordCodec>(
    mut follower: StreamFollower<C>,
    pause: SpanMillis,
    refresh_requests: &Receiver<()>,
) {
    let mut table = UpstreamTable::default();
    loop {
        let step = follower.step(SpanMillis::default());
        let now = ClockMillis::now();
        // During a long outage the registrations of live upstreams may expire, since they cannot be renewed. Upstreams
        // that are missing from the first response after such an outage are kept for the grace period of
        // `UpstreamTable`, so that they have time to register again.
        let after_outage = follower
            .ended_outage
            .is_some_and(|end| end.may_have_expired);
        if after_outage {
            table.note_recovery(now);
        }
        let before: Vec<_> = table.iter().cloned().collect();
        let is_first = match step {
            FollowStep::Listing(records) => {
                let changes = decode_upstreams(&follower, &records);
                let mut entries = Vec::new();
                for change in changes {
                    if let UpstreamChange::Written(entry) = change {
                        entries.push(entry);
                    }
                }
                if follower.take_restored() {
                    let kept = table.restore(entries, now);
                    tracing::info!(
                        kept,
                        "kept upstreams that the log lacks or lists with an earlier state"
                    );
                } else {
                    table.replace(entries, after_outage, now);
                }
                before.is_empty()
            }
            FollowStep::Records(records) => {
                for change in decode_upstreams(&follower, &records) {
                    table.apply(change, after_outage, now);
                }
                false
            }
            FollowStep::Failed => false,
        };
        // While the log is unavailable, upstreams cannot renew their registrations, so none is removed.
        if !follower.outage.is_unavailable() {
            table.expire(now);
        }
        if is_first || !table.iter().eq(before.iter()) {
            log_changes(&before, &table);
            let upstreams = table.iter().cloned().collect();
            follower
                .publisher
                .publish(FleetUpdate::Upstreams(Arc::new(upstreams)));
        }
        if !follower.outage.is_unavailable() && wait_for_refresh(refresh_requests, pause).is_err() {
            // The traffic thread has ended, so the process is exiting.
            return;
        }
    }
}

/// Waits for up to `pause`, or until a refresh is requested.
fn wait_for_refresh(
    refresh_requests: &Receiver<()>,
    pause: SpanMillis,
) -> Result<(), RecvTimeoutError> {
    match refresh_requests.recv_timeout(pause.into()) {
        Ok(()) | Err(RecvTimeoutError::Timeout) => Ok(()),
        Err(error) => Err(error),
    }
}

fn decode_upstreams<C: RecordCodec>(
    follower: &StreamFollower<C>,
    records: &[LogRecord],
) -> Vec<UpstreamChange> {
    let mut changes = Vec::new();
    for record in records {
        match follower.codec.decode_upstream(record) {
            Ok(change) => {
                if let UpstreamChange::Unreadable(_) = &change {
                    follower.report_unreadable(record, &"the value does not describe an upstream");
                }
                changes.push(change);
            }
            Err(error) => follower.report_unreadable(record, &error),
        }
    }
    changes
}

fn log_changes(before: &[fescuetide_fleet::UpstreamEntry], table: &UpstreamTable) {
    for entry in table.iter() {
        let known = before.iter().find(|other| other.name == entry.name);
        let is_same = known.is_some_and(|other| {
            other.state == entry.state && other.incarnation == entry.incarnation
        });
        if !is_same {
            tracing::info!(
                upstream = %entry.name,
                pool = %entry.pool,
                address = %entry.address,
                incarnation = entry.incarnation.get(),
                state = ?entry.state,
                "upstream changed"
            );
        }
    }
    for entry in before {
        if !table.iter().any(|other| other.name == entry.name) {
            tracing::info!(upstream = %entry.name, pool = %entry.pool, "upstream removed");
        }
    }
}
