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
use crate::counters::count;
use crate::dialect::FleetStream;
use crate::dialect::LogRecord;
use crate::dialect::RecordDialect;
use crate::news::LoopNews;
use crate::peer_shelf::PeerShelf;
use crate::store_client::CallError;
use crate::store_client::StoreClient;

/// How often streams of the log are read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FollowPace {
    /// How long a read of configurations waits for a new one.
    pub(crate) config_wait: SpanMillis,
    /// The pause between two reads of upstreams.
    pub(crate) upstream_pause: SpanMillis,
}

/// The pause after a call that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// The status of a read whose records are gone.
const GONE_STATUS: u16 = 410;

/// Where followers publish what changed.
#[derive(Clone, Debug)]
pub(crate) struct FleetFeed {
    pub(crate) sender: Sender<LoopNews>,
    pub(crate) waker: Arc<Waker>,
    pub(crate) counters: Arc<GatewayCounters>,
    /// What peers are told.
    pub(crate) shelf: Arc<PeerShelf>,
}

impl FleetFeed {
    /// Publishes what changed in the fleet.
    pub(crate) fn publish(&self, view: FleetUpdate) {
        self.shelf.note_view(&view, ClockMillis::now());
        self.send(LoopNews::Fleet(view));
    }

    /// Sends news to the traffic thread.
    pub(crate) fn send(&self, news: LoopNews) {
        if self.sender.send(news).is_err() {
            // The traffic thread has ended, and the process with it.
            return;
        }
        if let Err(error) = self.waker.wake() {
            tracing::error!(%error, "the traffic thread cannot be woken");
        }
    }
}

/// Starts the threads that follow configurations and upstreams. Each order in `reads` lets the upstreams be read at once.
pub(crate) fn start<D: RecordDialect>(
    address: SocketAddr,
    dialect: &D,
    feed: &FleetFeed,
    pace: FollowPace,
    reads: Receiver<()>,
) -> std::io::Result<()> {
    let configs = StreamFollower::new(FleetStream::Configs, address, dialect.clone(), feed);
    let upstreams = StreamFollower::new(FleetStream::Upstreams, address, dialect.clone(), feed);
    thread::Builder::new()
        .name("configs".to_owned())
        .spawn(move || follow_configs(configs, pace.config_wait))?;
    thread::Builder::new()
        .name("upstreams".to_owned())
        .spawn(move || follow_upstreams(upstreams, pace.upstream_pause, &reads))?;
    Ok(())
}

/// What a follower read.
enum FollowStep {
    /// The newest record of every key.
    Listing(Vec<LogRecord>),
    /// Records that were appended.
    Records(Vec<LogRecord>),
    /// The log gave no answer.
    Nothing,
}

/// Reads one stream of the log in order.
struct StreamFollower<D> {
    stream: FleetStream,
    client: StoreClient,
    dialect: D,
    feed: FleetFeed,
    /// The offset to read from, `None` when the newest records have to be listed first.
    next: Option<LogOffset>,
    outage: OutageDetector,
    /// The outage that the last step ended.
    ended: Option<OutageEnd>,
}

impl<D: RecordDialect> StreamFollower<D> {
    fn new(stream: FleetStream, address: SocketAddr, dialect: D, feed: &FleetFeed) -> Self {
        Self {
            stream,
            client: StoreClient::new(address),
            dialect,
            feed: feed.clone(),
            next: None,
            outage: OutageDetector::new(ClockMillis::now()),
            ended: None,
        }
    }

    /// Reads what is new, waiting for it for `wait` at most.
    fn step(&mut self, wait: SpanMillis) -> FollowStep {
        self.ended = None;
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
            Err(CallError::Status(GONE_STATUS)) => {
                tracing::info!(stream = %self.stream, "records are gone, listing the newest");
                self.next = None;
                FollowStep::Nothing
            }
            Err(error) => {
                self.note_failure(&error);
                thread::sleep(FAILURE_PAUSE);
                FollowStep::Nothing
            }
        }
    }

    fn note_answer(&mut self) {
        self.ended = self.outage.note_answer(ClockMillis::now());
        if let Some(end) = self.ended {
            tracing::info!(stream = %self.stream, away_ms = end.span.as_millis(), "log service is back");
            self.feed.publish(FleetUpdate::LogUnavailable(false));
        }
    }

    fn note_failure(&mut self, error: &CallError) {
        count(&self.feed.counters.log_failures);
        if self.outage.note_failure() {
            tracing::warn!(stream = %self.stream, %error, "log service is away");
            self.feed.publish(FleetUpdate::LogUnavailable(true));
        }
    }

    fn list(&mut self) -> Result<Vec<LogRecord>, CallError> {
        let mut records: Vec<LogRecord> = Vec::new();
        let mut end = None;
        loop {
            let after = records.last().map(|record| record.key.as_str());
            let target = self.dialect.listing_target(self.stream, after);
            let body = self.call(&target, SpanMillis::default())?;
            let Ok(page) = self.dialect.decode_listing(&body) else {
                return Err(CallError::Malformed);
            };
            // Records that change while pages are read come again in the stream after the first page's end.
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
        let target = self.dialect.read_target(self.stream, from, wait);
        let body = self.call(&target, wait)?;
        let Ok(page) = self.dialect.decode_records(&body) else {
            self.next = None;
            return Err(CallError::Malformed);
        };
        self.next = Some(LogOffset::new(from.get() + page.records.len() as u64));
        Ok(page.records)
    }

    fn call(&mut self, target: &str, wait: SpanMillis) -> Result<Vec<u8>, CallError> {
        count(&self.feed.counters.log_calls);
        self.client.get(target, wait.into())
    }

    fn note_unreadable(&self, record: &LogRecord, error: &dyn std::fmt::Display) {
        count(&self.feed.counters.unreadable_records);
        tracing::warn!(stream = %self.stream, key = record.key, %error, "record is skipped");
    }
}

/// Publishes each configuration that is newer than the one before.
fn follow_configs<D: RecordDialect>(mut follower: StreamFollower<D>, wait: SpanMillis) {
    let mut version: Option<ConfigVersion> = None;
    loop {
        let records = match follower.step(wait) {
            FollowStep::Listing(records) | FollowStep::Records(records) => records,
            FollowStep::Nothing => continue,
        };
        for record in &records {
            let config = match follower.dialect.decode_config(record) {
                Ok(Some(config)) => config,
                Ok(None) => continue,
                Err(error) => {
                    follower.note_unreadable(record, &error);
                    continue;
                }
            };
            if version.is_some_and(|version| config.version <= version) {
                continue;
            }
            version = Some(config.version);
            follower.feed.publish(FleetUpdate::Config(Arc::new(config)));
        }
    }
}

/// Publishes the upstreams whenever one changed.
fn follow_upstreams<D: RecordDialect>(
    mut follower: StreamFollower<D>,
    pause: SpanMillis,
    reads: &Receiver<()>,
) {
    let mut table = UpstreamTable::default();
    loop {
        let step = follower.step(SpanMillis::default());
        let now = ClockMillis::now();
        let after_outage = follower.ended.is_some_and(|end| end.may_have_expired);
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
                table.replace(entries, after_outage, now);
                before.is_empty()
            }
            FollowStep::Records(records) => {
                for change in decode_upstreams(&follower, &records) {
                    table.apply(change, after_outage, now);
                }
                false
            }
            FollowStep::Nothing => false,
        };
        // While the log is away, missing entries say nothing.
        if !follower.outage.is_away() {
            table.expire(now);
        }
        if is_first || !table.iter().eq(before.iter()) {
            log_changes(&before, &table);
            let upstreams = table.iter().cloned().collect();
            follower
                .feed
                .publish(FleetUpdate::Upstreams(Arc::new(upstreams)));
        }
        if !follower.outage.is_away() && wait_for_read(reads, pause).is_err() {
            // The traffic thread has ended, and the process with it.
            return;
        }
    }
}

/// Waits for an order to read, for `pause` at most.
fn wait_for_read(reads: &Receiver<()>, pause: SpanMillis) -> Result<(), RecvTimeoutError> {
    match reads.recv_timeout(pause.into()) {
        Ok(()) | Err(RecvTimeoutError::Timeout) => Ok(()),
        Err(error) => Err(error),
    }
}

fn decode_upstreams<D: RecordDialect>(
    follower: &StreamFollower<D>,
    records: &[LogRecord],
) -> Vec<UpstreamChange> {
    let mut changes = Vec::new();
    for record in records {
        match follower.dialect.decode_upstream(record) {
            Ok(change) => {
                if let UpstreamChange::Unreadable(_) = &change {
                    follower.note_unreadable(record, &"entry names no upstream");
                }
                changes.push(change);
            }
            Err(error) => follower.note_unreadable(record, &error),
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
            tracing::info!(upstream = %entry.name, pool = %entry.pool, "upstream is gone");
        }
    }
}
