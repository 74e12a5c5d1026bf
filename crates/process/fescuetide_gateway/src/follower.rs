//! Control threads that follow the platform's log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use fescuetide_base::ClockMillis;
use fescuetide_base::DrawSequence;
use fescuetide_base::SpanMillis;
use fescuetide_fleet::ConfigVersion;
use fescuetide_fleet::FleetUpdate;
use fescuetide_fleet::UpstreamChange;
use fescuetide_fleet::UpstreamTable;
use mio::Waker;

use crate::GatewayCounters;
use crate::codec::FleetStream;
use crate::codec::LogRecord;
use crate::codec::RecordCodec;
use crate::crash_reports::ReportCommand;
use crate::load_exchange::SharedConfigView;
use crate::load_exchange::SharedListing;
use crate::log_client::OutageCounter;
use crate::messages::LoopMessage;
use crate::peer_state::PeerState;
use crate::stream_follower::FollowStep;
use crate::stream_follower::StreamFollower;

/// Number of reads of the gateway that watches the log for configurations within the time in which others have to hear of one.
const WATCHES_PER_WAIT: u64 = 2;

/// Timing of the reads of the log streams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FollowIntervals {
    /// Longest time between two reads of the configuration in the log, by this gateway or by a peer. One of them waits there for a new one
    /// (long polling).
    pub(crate) config_wait: SpanMillis,
    /// Longest time between two reads of the upstreams' registrations in the log, by this gateway or by a peer.
    pub(crate) upstream_pause: SpanMillis,
    /// Start of the random numbers by which gateways read at different times.
    pub(crate) seed: u64,
}

/// Messages that trigger an immediate read of the log.
pub(crate) struct RefreshRequests {
    pub(crate) configs: Receiver<()>,
    pub(crate) upstreams: Receiver<()>,
}

/// Publishes changes of the fleet to the event loop and to the state shared with peers.
#[derive(Clone, Debug)]
pub(crate) struct FleetPublisher {
    pub(crate) sender: Sender<LoopMessage>,
    pub(crate) waker: Arc<Waker>,
    pub(crate) counters: Arc<GatewayCounters>,
    /// State that is shared with peers.
    pub(crate) peer_state: Arc<PeerState>,
    /// How recent the list of upstreams is.
    pub(crate) listing: SharedListing,
    /// How recent the configuration is.
    pub(crate) config_view: SharedConfigView,
    /// The outages of the log that the followers of the fleet have noticed.
    pub(crate) outages: OutageCounter,
    /// Takes commands for the thread that appends to the log.
    pub(crate) report_sender: Sender<ReportCommand>,
}

impl FleetPublisher {
    /// Publishes a change of the fleet.
    pub(crate) fn publish(&self, update: FleetUpdate) {
        self.peer_state.record_update(&update, ClockMillis::now());
        self.send(LoopMessage::Fleet(update));
    }

    /// Records that the log may have come back from an older copy, and so have lost the record of this gateway.
    pub(crate) fn note_restore(&self) {
        if self
            .report_sender
            .send(ReportCommand::NoteRestored)
            .is_err()
        {
            tracing::error!("cannot write the record of this gateway again: the thread has ended");
        }
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

/// Starts the threads that follow configurations and upstreams.
pub(crate) fn start<C: RecordCodec>(
    address: SocketAddr,
    codec: &C,
    publisher: &FleetPublisher,
    intervals: FollowIntervals,
    refresh_requests: RefreshRequests,
) -> std::io::Result<()> {
    let RefreshRequests {
        configs: config_requests,
        upstreams: upstream_requests,
    } = refresh_requests;
    let configs = StreamFollower::new(FleetStream::Configs, address, codec.clone(), publisher);
    let upstreams = StreamFollower::new(FleetStream::Upstreams, address, codec.clone(), publisher);
    thread::Builder::new()
        .name("configs".to_owned())
        .spawn(move || follow_configs(configs, intervals, &config_requests))?;
    thread::Builder::new()
        .name("upstreams".to_owned())
        .spawn(move || follow_upstreams(upstreams, intervals, &upstream_requests))?;
    Ok(())
}

/// Publishes each configuration that is newer than the previous one. An older one, which a log lists that has come back from
/// an older copy, replaces none.
fn follow_configs<C: RecordCodec>(
    mut follower: StreamFollower<C>,
    intervals: FollowIntervals,
    refresh_requests: &Receiver<()>,
) {
    let view = follower.publisher.config_view.clone();
    let mut version: Option<ConfigVersion> = None;
    let mut draws = DrawSequence::new(intervals.seed);
    loop {
        if !view.lock().watches() {
            let draw = draws.next_number();
            let due_at = || view.lock().due_at(intervals.config_wait, draw);
            if wait_until_due(due_at, refresh_requests).is_err() {
                // The traffic thread has ended, so the process is exiting.
                return;
            }
        }
        let wait = match view.lock().watches() {
            true => SpanMillis::new(intervals.config_wait.as_millis() / WATCHES_PER_WAIT),
            false => SpanMillis::default(),
        };
        let read_at = ClockMillis::now();
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
        // A log that has nothing new answers at the end of the wait, and says what was there then.
        let ended_at = ClockMillis::now();
        let is_whole_wait = records.is_empty() && ended_at.since(read_at) >= wait;
        let read_at = match is_whole_wait {
            true => read_at + wait,
            false => read_at,
        };
        view.lock().note_read(version, read_at);
    }
}

/// Publishes the upstreams whenever one of them changed.
fn follow_upstreams<C: RecordCodec>(
    follower: StreamFollower<C>,
    intervals: FollowIntervals,
    refresh_requests: &Receiver<()>,
) {
    let FollowIntervals {
        upstream_pause: pause,
        seed,
        ..
    } = intervals;
    let mut reader = UpstreamReader {
        follower,
        table: UpstreamTable::default(),
    };
    let mut draws = DrawSequence::new(seed);
    loop {
        let before: Vec<_> = reader.table.iter().cloned().collect();
        let read_at = ClockMillis::now();
        let is_first = reader.read() && before.is_empty();
        if is_first || !reader.table.iter().eq(before.iter()) {
            log_changes(&before, &reader.table);
            let upstreams = reader.table.iter().cloned().collect();
            reader
                .follower
                .publisher
                .publish(FleetUpdate::Upstreams(Arc::new(upstreams)));
        }
        let is_available = !reader.follower.outage.is_unavailable();
        let listing = &reader.follower.publisher.listing;
        listing.lock().note_read(reader.listing_hash(), read_at);
        let draw = draws.next_number();
        let due_at = || listing.lock().due_at(pause, draw);
        if is_available && wait_until_due(due_at, refresh_requests).is_err() {
            // The traffic thread has ended, so the process is exiting.
            return;
        }
    }
}

/// Reads the registrations of upstreams into a table.
struct UpstreamReader<C> {
    follower: StreamFollower<C>,
    table: UpstreamTable,
}

impl<C> UpstreamReader<C> {
    /// The hash of the list of upstreams, `None` if it may differ from that of the log.
    fn listing_hash(&self) -> Option<u64> {
        let is_that_of_log =
            !self.follower.outage.is_unavailable() && !self.table.differs_from_log();
        is_that_of_log.then(|| fescuetide_fleet::hash_listing(self.table.iter()))
    }
}

impl<C: RecordCodec> UpstreamReader<C> {
    /// Reads once. Returns whether the registrations were listed.
    fn read(&mut self) -> bool {
        let step = self.follower.step(SpanMillis::default());
        let now = ClockMillis::now();
        // During a long outage the registrations of live upstreams may expire, since they cannot be renewed. Upstreams
        // that are missing from the first response after such an outage are kept for the grace period of
        // `UpstreamTable`, so that they have time to register again.
        let ended_outage = self.follower.ended_outage;
        let after_outage = ended_outage.is_some_and(|end| end.may_have_expired);
        if after_outage {
            self.table.note_recovery(now);
        }
        let is_listing = match step {
            FollowStep::Listing(records) => {
                self.apply_listing(&records, after_outage, now);
                true
            }
            FollowStep::Records(records) => {
                for change in decode_upstreams(&self.follower, &records) {
                    self.table.apply(change, after_outage, now);
                }
                false
            }
            FollowStep::Failed => false,
        };
        // While the log is unavailable, upstreams cannot renew their registrations, so none is removed.
        if !self.follower.outage.is_unavailable() {
            self.table.expire(now);
        }
        is_listing
    }

    fn apply_listing(&mut self, records: &[LogRecord], after_outage: bool, now: ClockMillis) {
        let mut entries = Vec::new();
        for change in decode_upstreams(&self.follower, records) {
            if let UpstreamChange::Written(entry) = change {
                entries.push(entry);
            }
        }
        if !self.follower.take_restored() {
            self.table.replace(entries, after_outage, now);
            return;
        }
        let kept = self.table.restore(entries, now);
        tracing::info!(
            kept,
            "kept upstreams that the log lacks or lists with an earlier state"
        );
    }
}

/// Waits until the log is to be read again, or until a refresh is requested. `due_at` returns later times when peers read the log
/// meanwhile.
fn wait_until_due(
    due_at: impl Fn() -> ClockMillis,
    refresh_requests: &Receiver<()>,
) -> Result<(), RecvTimeoutError> {
    loop {
        let wait = due_at().since(ClockMillis::now());
        if wait == SpanMillis::default() {
            return Ok(());
        }
        match refresh_requests.recv_timeout(wait.into()) {
            Ok(()) => return Ok(()),
            // A peer may have read the log meanwhile.
            Err(RecvTimeoutError::Timeout) => {}
            Err(error) => return Err(error),
        }
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
                version = %entry.version,
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
