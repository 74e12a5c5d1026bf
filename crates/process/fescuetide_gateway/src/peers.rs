//! Queries to and from other gateways. Peers share what they know about requests that crash upstreams and the addresses of
//! known gateways. A gateway takes the fleet from peers until it has read it from the log itself.
//!
//! Each query opens a connection and is answered by one reply. Two blocking threads handle this, since an async runtime
//! would cost more memory.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crossbeam::channel;
use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_fleet::FleetUpdate;
use fescuetide_limits::CrashEvidence;
use fescuetide_net::FrameError;
use fescuetide_net::FramedStream;
use fescuetide_wire::peer::FleetWire;
use fescuetide_wire::peer::PeerAsk;
use fescuetide_wire::peer::PeerReply;
use fescuetide_wire::rpc::EvidenceWire;

use crate::counters::count;
use crate::follower::FleetPublisher;
use crate::messages::LoopMessage;

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: SpanMillis = SpanMillis::new(400);

/// Timeout for receiving a message from a peer.
const READ_TIMEOUT: SpanMillis = SpanMillis::new(800);

/// How long a starting gateway waits for the log before it queries peers.
const PEER_QUERY_DELAY: SpanMillis = SpanMillis::new(300);

/// Interval between queries while no configuration is known.
const NO_CONFIG_INTERVAL: SpanMillis = SpanMillis::new(250);

/// Interval between queries while a configuration is known, but the log has not yet delivered the whole fleet. This is
/// also the case for a moment in each regular start.
const INCOMPLETE_FLEET_INTERVAL: SpanMillis = SpanMillis::new(1_000);

/// First interval between routine queries, which discover peers and check that they are alive. It doubles after each
/// query, so that a new gateway finds all peers quickly.
const INITIAL_INTERVAL: SpanMillis = SpanMillis::new(500);

/// Longest interval between routine queries.
const MAX_INTERVAL: SpanMillis = SpanMillis::new(10_000);

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A message to the thread that queries peers.
#[derive(Clone, Debug)]
pub(crate) enum PeerCommand {
    /// Replace what is sent to peers about requests that crash upstreams.
    Evidence(Vec<CrashEvidence>),
    /// Send the evidence to all peers now.
    Broadcast,
}

/// Starts the thread that answers peers at `listener` and the thread that queries them.
pub(crate) fn start(
    listener: TcpListener,
    publisher: &FleetPublisher,
) -> io::Result<Sender<PeerCommand>> {
    let own = listener.local_addr()?;
    let (sender, commands) = channel::unbounded();
    let responder_publisher = publisher.clone();
    thread::Builder::new()
        .name("peers-answer".to_owned())
        .spawn(move || serve_peers(&listener, &responder_publisher))?;
    let client = PeerClient {
        own,
        publisher: publisher.clone(),
        started: ClockMillis::now(),
    };
    thread::Builder::new()
        .name("peers-ask".to_owned())
        .spawn(move || client.run(&commands))?;
    Ok(sender)
}

fn serve_peers(listener: &TcpListener, publisher: &FleetPublisher) {
    for accepted in listener.incoming() {
        let result = match accepted {
            Ok(stream) => serve_peer(stream, publisher),
            Err(error) => {
                thread::sleep(ACCEPT_RETRY_DELAY);
                Err(error.into())
            }
        };
        if let Err(error) = result {
            count(&publisher.counters.peer_failures);
            tracing::debug!(%error, "failed to answer a peer");
        }
    }
}

fn serve_peer(stream: TcpStream, publisher: &FleetPublisher) -> Result<(), FrameError> {
    let mut stream = FramedStream::new(stream)?;
    let query: PeerAsk = stream.receive(Some(READ_TIMEOUT))?;
    let now = ClockMillis::now();
    publisher
        .peer_state
        .record_peer(query.sender, &query.known, now);
    publisher.publish_peer_evidence(query.suspects);
    let fleet = match query.wants_fleet {
        true => FleetWire::from_snapshot(&publisher.peer_state.fleet(), now),
        false => None,
    };
    stream.send(&PeerReply {
        known: publisher.peer_state.live_peers(now),
        suspects: list_evidence(publisher, now),
        fleet,
    })
}

struct PeerClient {
    own: SocketAddr,
    publisher: FleetPublisher,
    started: ClockMillis,
}

impl PeerClient {
    fn run(self, commands: &Receiver<PeerCommand>) {
        self.query_seeds();
        let mut next_query_at = self.started + PEER_QUERY_DELAY;
        let mut interval = INITIAL_INTERVAL;
        let mut known = Vec::new();
        loop {
            let wait = next_query_at.since(ClockMillis::now());
            match commands.recv_timeout(wait.into()) {
                Ok(PeerCommand::Evidence(list)) => {
                    let peer_state = &self.publisher.peer_state;
                    peer_state.record_evidence(list, ClockMillis::now());
                }
                Ok(PeerCommand::Broadcast) => self.broadcast_evidence(),
                Err(RecvTimeoutError::Timeout) => {
                    self.query_next();
                    let now = ClockMillis::now();
                    next_query_at = now + self.next_interval(interval);
                    interval = (interval + interval).min(MAX_INTERVAL);
                    let peers = self.publisher.peer_state.live_peers(now);
                    if peers != known || known.is_empty() {
                        known.clone_from(&peers);
                        self.publisher.send(LoopMessage::Peers(peers));
                    }
                }
                // The traffic thread has ended, so the process is exiting.
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn next_interval(&self, interval: SpanMillis) -> SpanMillis {
        let peer_state = &self.publisher.peer_state;
        match (peer_state.has_config(), peer_state.wants_fleet()) {
            (false, _) => NO_CONFIG_INTERVAL,
            (true, true) => INCOMPLETE_FLEET_INTERVAL,
            (true, false) => interval,
        }
    }

    /// Sends the evidence to all peers, those with recent contact first, since each one that is down takes time.
    fn broadcast_evidence(&self) {
        let peer_state = &self.publisher.peer_state;
        let now = ClockMillis::now();
        tracing::warn!(
            suspects = peer_state.evidence(now).len(),
            "sending evidence about requests that crash upstreams to peers"
        );
        let mut peers = peer_state.live_peers(now);
        for peer in peer_state.all_peers() {
            if !peers.contains(&peer) {
                peers.push(peer);
            }
        }
        for peer in peers {
            self.query(peer, false);
        }
    }

    /// Asks the seed peers what they know about requests that crash upstreams, and for their configuration. The log may lack
    /// both, if it has come back from an older copy.
    fn query_seeds(&self) {
        let mut has_fleet = false;
        for peer in self.publisher.peer_state.all_peers() {
            has_fleet |= self.query(peer, !has_fleet);
        }
        self.publisher.send(LoopMessage::PeersAsked);
    }

    fn query_next(&self) {
        let Some(peer) = self.publisher.peer_state.next_peer(ClockMillis::now()) else {
            return;
        };
        self.query(peer, self.publisher.peer_state.wants_fleet());
    }

    /// Asks a peer and handles its reply. Returns whether the reply has a fleet.
    fn query(&self, peer: SocketAddr, wants_fleet: bool) -> bool {
        count(&self.publisher.counters.peer_queries);
        match self.request_reply(peer, wants_fleet) {
            Ok(reply) => {
                let has_fleet = reply.fleet.is_some();
                self.handle_reply(peer, reply);
                has_fleet
            }
            Err(error) => {
                count(&self.publisher.counters.peer_failures);
                tracing::debug!(%peer, %error, "failed to query a peer");
                false
            }
        }
    }

    fn request_reply(&self, peer: SocketAddr, wants_fleet: bool) -> Result<PeerReply, FrameError> {
        let now = ClockMillis::now();
        let mut stream = FramedStream::connect(peer, CONNECT_TIMEOUT)?;
        stream.send(&PeerAsk {
            sender: self.own,
            known: self.publisher.peer_state.live_peers(now),
            suspects: list_evidence(&self.publisher, now),
            wants_fleet,
        })?;
        stream.receive(Some(READ_TIMEOUT))
    }

    fn handle_reply(&self, peer: SocketAddr, reply: PeerReply) {
        let now = ClockMillis::now();
        self.publisher
            .peer_state
            .record_peer(peer, &reply.known, now);
        self.publisher.publish_peer_evidence(reply.suspects);
        let Some(fleet) = reply.fleet else {
            return;
        };
        if !self.publisher.peer_state.has_config() {
            tracing::info!(
                %peer,
                version = fleet.version,
                upstreams = fleet.upstreams.len(),
                age_ms = fleet.age_ms,
                "fleet taken from a peer, since no configuration is known yet"
            );
        }
        self.publisher
            .publish(FleetUpdate::Peer(fleet.into_snapshot(now)));
    }
}

fn list_evidence(publisher: &FleetPublisher, now: ClockMillis) -> Vec<EvidenceWire> {
    let evidence = publisher.peer_state.evidence(now);
    evidence.into_iter().map(EvidenceWire::from).collect()
}

impl FleetPublisher {
    /// Tells the event loop what a peer knows about requests that crash upstreams.
    fn publish_peer_evidence(&self, suspects: Vec<EvidenceWire>) {
        if suspects.is_empty() {
            return;
        }
        let list = suspects.into_iter().map(Into::into).collect();
        self.send(LoopMessage::PeerEvidence(list));
    }
}
