//! The records of gateways in the platform's log, by which they find each other.
//!
//! One control thread keeps the record of this gateway and lists those of others, which the thread that queries peers asks.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
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
    /// Starts the thread of the gateway that answers peers at `own`. `restores` tells that the log may have lost records, and `peers`
    /// takes the gateways that are found.
    pub(crate) fn start(
        log: SocketAddr,
        own: SocketAddr,
        codec: &C,
        publisher: &FleetPublisher,
        peers: Sender<PeerCommand>,
        restores: Receiver<()>,
    ) -> std::io::Result<()> {
        let seed = StableHash::hash_bytes(own.to_string().as_bytes());
        let registry = Self {
            log,
            own,
            seed,
            codec: codec.clone(),
            publisher: publisher.clone(),
            peers,
            schedule: RegistrySchedule::new(seed, ClockMillis::now()),
        };
        thread::Builder::new()
            .name("registry".to_owned())
            .spawn(move || registry.run(&restores))
            .map(drop)
    }

    fn run(mut self, restores: &Receiver<()>) {
        loop {
            let wait = self.schedule.next_at().since(ClockMillis::now());
            match restores.recv_timeout(wait.into()) {
                Ok(()) => self.schedule.note_restored(ClockMillis::now()),
                Err(RecvTimeoutError::Timeout) => {}
                // The traffic thread has ended, so the process is exiting.
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let result = match self.schedule.due_step(ClockMillis::now()) {
                Some(RegistryStep::Write) => self.write(),
                Some(RegistryStep::List) => self.list(),
                None => continue,
            };
            if let Err(error) = result {
                count(&self.publisher.counters.log_failures);
                tracing::debug!(%error, "cannot read or write the records of gateways");
                self.schedule.note_failed(ClockMillis::now());
            }
        }
    }

    fn write(&mut self) -> Result<(), CallError> {
        let value = GatewayRecord::encode_at(ClockMillis::now());
        let record = LogRecord {
            key: GatewayRecord::key(self.own),
            value: Some(value.map_err(CallError::Unencodable)?),
        };
        self.append(&[record], None)?;
        self.schedule
            .note_written(self.peer_count(), ClockMillis::now());
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
