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
use fescuetide_wire::peer::join_news;
use fescuetide_wire::peer::split_news;
use fescuetide_wire::rpc::EvidenceWire;

use crate::counters::count;
use crate::follower::FleetPublisher;
use crate::messages::LoopMessage;

/// Time after the start in which the log may tell which gateways there are, if no seed answers. The traffic thread does not wait for
/// longer either.
const LISTING_TIME: SpanMillis = SpanMillis::new(1_000);

/// Maximum number of gateways that are asked at a time of those that were found in the log. Some of them may be gone.
const FOUND_QUERY_LIMIT: usize = 8;

/// The same while other gateways are known, since each one that is gone delays what is to be sent to the others.
const MORE_FOUND_QUERY_LIMIT: usize = 2;

/// Number of gateways of those that were found in the log that have to answer. They report all others.
const FOUND_ANSWERS: usize = 3;

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
    /// These gateways have records in the log, the ones to ask first at the beginning.
    Found(Vec<SocketAddr>),
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
    let news = join_news(&query.known, &query.ages_ms);
    publisher.peer_state.record_peer(query.sender, &news, now);
    publisher.publish_peers();
    publisher.publish_peer_evidence(query.suspects);
    let fleet = match query.wants_fleet {
        true => FleetWire::from_snapshot(&publisher.peer_state.fleet(), now),
        false => None,
    };
    let (known, ages_ms) = split_news(&publisher.peer_state.peer_news(now));
    stream.send(&PeerReply {
        known,
        suspects: list_evidence(publisher, now),
        fleet,
        ages_ms,
    })
}

/// What became of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueryOutcome {
    Failed,
    Answered { has_fleet: bool },
}

/// The time after the start until the gateways have been asked that can be found.
struct StartPhase {
    /// When it ends at the latest, `None` once it has ended.
    ends_at: Option<ClockMillis>,
    /// Whether another gateway has answered, and so told its configuration.
    has_answer: bool,
    /// Whether the gateways were asked that have records in the log.
    has_listing: bool,
}

impl StartPhase {
    fn until(ends_at: ClockMillis) -> Self {
        Self {
            ends_at: Some(ends_at),
            has_answer: false,
            has_listing: false,
        }
    }
}

struct PeerClient {
    own: SocketAddr,
    publisher: FleetPublisher,
    started: ClockMillis,
}

impl PeerClient {
    fn run(self, commands: &Receiver<PeerCommand>) {
        let mut start = StartPhase::until(self.started + LISTING_TIME);
        let seeds = self.publisher.peer_state.all_peers();
        start.has_answer = self.query_all(&seeds, usize::MAX) > 0;
        self.publisher.publish_peers();
        let mut next_query_at = self.started + PEER_QUERY_DELAY;
        let mut interval = INITIAL_INTERVAL;
        loop {
            self.advance_start(&mut start);
            let due_at = start
                .ends_at
                .map_or(next_query_at, |at| at.min(next_query_at));
            let wait = due_at.since(ClockMillis::now());
            match commands.recv_timeout(wait.into()) {
                Ok(PeerCommand::Evidence(list)) => {
                    let peer_state = &self.publisher.peer_state;
                    peer_state.record_evidence(list, ClockMillis::now());
                }
                Ok(PeerCommand::Broadcast) => self.broadcast_evidence(),
                Ok(PeerCommand::Found(gateways)) => {
                    self.query_found(&gateways);
                    start.has_listing = true;
                }
                Err(RecvTimeoutError::Timeout) => {}
                // The traffic thread has ended, so the process is exiting.
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if ClockMillis::now() >= next_query_at {
                self.query_next();
                next_query_at = ClockMillis::now() + self.next_interval(interval);
                interval = (interval + interval).min(MAX_INTERVAL);
            }
            self.publisher.publish_peers();
        }
    }

    /// Tells the event loop once the gateways have been asked that can be found. The log is waited for if no seed has answered, unless
    /// another gateway has asked this one.
    fn advance_start(&self, start: &mut StartPhase) {
        let now = ClockMillis::now();
        let Some(ends_at) = start.ends_at else {
            return;
        };
        if !start.has_answer {
            let news = self.publisher.peer_state.peer_news(now);
            let live: Vec<SocketAddr> = news.iter().map(|news| news.address).collect();
            start.has_answer = self.query_all(&live, 1) > 0;
        }
        if start.has_answer || start.has_listing || now >= ends_at {
            start.ends_at = None;
            self.publisher.send(LoopMessage::PeersAsked);
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

    /// Asks peers what they know about requests that crash upstreams, and one of them for its configuration, until so many have
    /// answered. The log may lack both, if it has come back from an older copy. Returns the number of answers.
    fn query_all(&self, peers: &[SocketAddr], answers: usize) -> usize {
        let mut has_fleet = false;
        let mut answered = 0;
        for peer in peers {
            if answered == answers {
                break;
            }
            if let QueryOutcome::Answered { has_fleet: has } = self.query(*peer, !has_fleet) {
                answered += 1;
                has_fleet |= has;
            }
        }
        answered
    }

    /// Asks some of the gateways that were found in the log and are not known to live.
    fn query_found(&self, gateways: &[SocketAddr]) {
        let now = ClockMillis::now();
        let peer_state = &self.publisher.peer_state;
        let live = peer_state.live_peers(now);
        let mut unknown: Vec<SocketAddr> = gateways.to_vec();
        unknown.retain(|gateway| !live.contains(gateway));
        unknown.truncate(match peer_state.has_contact(now) {
            true => MORE_FOUND_QUERY_LIMIT,
            false => FOUND_QUERY_LIMIT,
        });
        self.query_all(&unknown, FOUND_ANSWERS);
    }

    fn query_next(&self) {
        let Some(peer) = self.publisher.peer_state.next_peer(ClockMillis::now()) else {
            return;
        };
        self.query(peer, self.publisher.peer_state.wants_fleet());
    }

    /// Asks a peer and handles its reply.
    fn query(&self, peer: SocketAddr, wants_fleet: bool) -> QueryOutcome {
        count(&self.publisher.counters.peer_queries);
        match self.request_reply(peer, wants_fleet) {
            Ok(reply) => {
                let has_fleet = reply.fleet.is_some();
                self.handle_reply(peer, reply);
                QueryOutcome::Answered { has_fleet }
            }
            Err(error) => {
                count(&self.publisher.counters.peer_failures);
                tracing::debug!(%peer, %error, "failed to query a peer");
                QueryOutcome::Failed
            }
        }
    }

    fn request_reply(&self, peer: SocketAddr, wants_fleet: bool) -> Result<PeerReply, FrameError> {
        let now = ClockMillis::now();
        let mut stream = FramedStream::connect(peer, CONNECT_TIMEOUT)?;
        let (known, ages_ms) = split_news(&self.publisher.peer_state.peer_news(now));
        stream.send(&PeerAsk {
            sender: self.own,
            known,
            suspects: list_evidence(&self.publisher, now),
            wants_fleet,
            ages_ms,
        })?;
        stream.receive(Some(READ_TIMEOUT))
    }

    fn handle_reply(&self, peer: SocketAddr, reply: PeerReply) {
        let now = ClockMillis::now();
        let news = join_news(&reply.known, &reply.ages_ms);
        self.publisher.peer_state.record_peer(peer, &news, now);
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
    /// Tells the event loop which peers live, if that has changed.
    fn publish_peers(&self) {
        if let Some(peers) = self.peer_state.take_changed_peers(ClockMillis::now()) {
            self.send(LoopMessage::Peers(peers));
        }
    }

    /// Tells the event loop what a peer knows about requests that crash upstreams.
    fn publish_peer_evidence(&self, suspects: Vec<EvidenceWire>) {
        if suspects.is_empty() {
            return;
        }
        let list = suspects.into_iter().map(Into::into).collect();
        self.send(LoopMessage::PeerEvidence(list));
    }
}
