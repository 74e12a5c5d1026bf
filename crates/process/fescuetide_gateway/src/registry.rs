//! The records of gateways in the platform's log, by which they find each other.
//!
//! The thread that appends to the log keeps the record of this gateway and lists those of others, which the thread that queries
//! peers asks.

use std::net::SocketAddr;
use std::time::Duration;

use crossbeam::channel::Sender;
use fescuetide_base::ClockMillis;
use fescuetide_base::LogOffset;
use fescuetide_base::StableHash;
use fescuetide_fleet::RegistrySchedule;
use fescuetide_fleet::RegistryStep;
use fescuetide_fleet::order_candidates;
use fescuetide_wire::gateway::GatewayRecord;

use crate::codec::FleetStream;
use crate::codec::LogRecord;
use crate::codec::RecordCodec;
use crate::counters::count;
use crate::follower::FleetPublisher;
use crate::log_client::CallError;
use crate::log_client::PlatformLogClient;
use crate::log_listing::LogListing;
use crate::peers::PeerCommand;

/// Keeps the record of this gateway and finds others.
pub(crate) struct GatewayRegistry<C> {
    log: SocketAddr,
    own: SocketAddr,
    seed: u64,
    codec: C,
    publisher: FleetPublisher,
    peers: Sender<PeerCommand>,
    schedule: RegistrySchedule,
}

impl<C: RecordCodec> GatewayRegistry<C> {
    /// Creates the registry of the gateway that answers peers at `own`. `peers` takes the gateways that are found.
    pub(crate) fn new(
        log: SocketAddr,
        own: SocketAddr,
        codec: &C,
        publisher: &FleetPublisher,
        peers: Sender<PeerCommand>,
    ) -> Self {
        let seed = StableHash::hash_bytes(own.to_string().as_bytes());
        Self {
            log,
            own,
            seed,
            codec: codec.clone(),
            publisher: publisher.clone(),
            peers,
            schedule: RegistrySchedule::new(seed, ClockMillis::now()),
        }
    }

    /// When [`step`](Self::step) has something to do.
    pub(crate) fn next_at(&self) -> ClockMillis {
        self.schedule.next_at()
    }

    /// Records that the log may have lost the record of this gateway.
    pub(crate) fn note_restored(&mut self) {
        self.schedule.note_restored(ClockMillis::now());
    }

    /// Makes the call to the log that is due, if any. While the log is away, none is tried, since reports about crashes would wait
    /// for it.
    pub(crate) fn step(&mut self) {
        let now = ClockMillis::now();
        let Some(step) = self.schedule.take_step(self.peer_count(), now) else {
            return;
        };
        if self.publisher.peer_state.is_log_unavailable() {
            self.schedule.note_failed(now);
            return;
        }
        let result = match step {
            RegistryStep::Write => self.write(),
            RegistryStep::List => self.list(),
        };
        if let Err(error) = result {
            count(&self.publisher.counters.log_failures);
            tracing::debug!(%error, "cannot read or write the records of gateways");
            self.schedule.note_failed(ClockMillis::now());
        }
    }

    fn write(&mut self) -> Result<(), CallError> {
        let value = GatewayRecord::encode_at(ClockMillis::now());
        let record = LogRecord {
            key: GatewayRecord::key(self.own),
            value: Some(value.map_err(CallError::Unencodable)?),
        };
        self.append(&[record], None)?;
        self.schedule.note_written(ClockMillis::now());
        Ok(())
    }

    /// Lists the records, tells the peer thread of the gateways that it does not know, and removes the records of those that are gone.
    fn list(&mut self) -> Result<(), CallError> {
        let codec = self.codec.clone();
        let listing = LogListing::read(&codec, FleetStream::Gateways, |target| {
            self.call(|client| client.get(target, Duration::ZERO))
        })?;
        let now = ClockMillis::now();
        let mut entries = Vec::new();
        let mut expired = Vec::new();
        for LogRecord { key, value } in listing.records {
            match GatewayRecord::decode(&key, &value.unwrap_or_default()) {
                Ok(entry) if entry.is_expired(now) => expired.push(LogRecord { key, value: None }),
                Ok(entry) => entries.push(entry),
                Err(error) => {
                    count(&self.publisher.counters.unreadable_records);
                    tracing::warn!(key, %error, "skipped a record of a gateway that cannot be decoded");
                }
            }
        }
        let has_own = entries.iter().any(|entry| entry.address == self.own);
        self.schedule.note_listed(has_own, self.peer_count(), now);
        let found = order_candidates(&entries, self.own, self.seed, now);
        let found = PeerCommand::Found(found.into_iter().collect());
        if self.peers.send(found).is_err() {
            tracing::error!("cannot ask gateways that were found: the peer thread has ended");
        }
        if !expired.is_empty() {
            self.remove(&expired, listing.end);
        }
        Ok(())
    }

    /// Removes the records of gateways that are gone, unless anything was written since they were listed: the gateways may be back. If that
    /// fails, the next listing of any gateway removes them.
    fn remove(&self, expired: &[LogRecord], end: LogOffset) {
        match self.append(expired, Some(end)) {
            Ok(()) => tracing::info!(
                count = expired.len(),
                "removed the records of gateways that are gone"
            ),
            Err(error) => {
                tracing::debug!(%error, "cannot remove the records of gateways that are gone");
            }
        }
    }

    fn append(&self, records: &[LogRecord], end: Option<LogOffset>) -> Result<(), CallError> {
        let target = self.codec.append_target(FleetStream::Gateways, end);
        let body = self.codec.encode_records(records);
        self.call(|client| client.post(&target, &body).map(|()| Vec::new()))
            .map(drop)
    }

    /// Calls the log on a connection of its own, since minutes pass between two calls.
    fn call(
        &self,
        call: impl Fn(&mut PlatformLogClient) -> Result<Vec<u8>, CallError>,
    ) -> Result<Vec<u8>, CallError> {
        count(&self.publisher.counters.log_calls);
        call(&mut PlatformLogClient::new(self.log))
    }

    fn peer_count(&self) -> usize {
        let peer_state = &self.publisher.peer_state;
        let now = ClockMillis::now();
        match peer_state.has_contact(now) {
            true => peer_state.live_peers(now).len(),
            // Those that the settings name may be stale.
            false => 0,
        }
    }
}
