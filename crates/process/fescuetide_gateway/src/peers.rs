//! The exchange with other gateways: what each knows of the fleet while the log is away, which requests crash upstreams,
//! and who is there.
//!
//! Connections are short: one question, one answer. tarpc would need a runtime in each gateway, whose memory is dearer
//! than the two blocking threads here.

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
use fescuetide_net::FrameError;
use fescuetide_net::FramedStream;
use fescuetide_wire::peer::FleetWire;
use fescuetide_wire::peer::PeerAsk;
use fescuetide_wire::peer::PeerReply;
use fescuetide_wire::rpc::RefusedWire;

use crate::counters::count;
use crate::follower::FleetFeed;
use crate::news::LoopNews;
use crate::peer_shelf::RefusedList;

/// How long opening a connection to a peer may take.
const CONNECT_LIMIT: SpanMillis = SpanMillis::new(400);

/// How long a peer may be silent in an exchange.
const SILENCE_LIMIT: SpanMillis = SpanMillis::new(800);

/// How long a gateway that starts waits for the log before it asks peers.
const LOG_HEAD_START: SpanMillis = SpanMillis::new(300);

/// The pause between two questions of a gateway without a configuration.
const URGENT_PAUSE: SpanMillis = SpanMillis::new(250);

/// The pause between two questions of a gateway that a peer has told a configuration and the log nothing.
const AWAY_PAUSE: SpanMillis = SpanMillis::new(1_000);

/// The first pause between two exchanges that only keep peers known. It doubles, so that all are known soon after a start.
const FIRST_PAUSE: SpanMillis = SpanMillis::new(500);

/// The longest pause between two such exchanges.
const STEADY_PAUSE: SpanMillis = SpanMillis::new(10_000);

/// The pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Starts to answer peers at `listener` and to ask them. Requests that this gateway begins to refuse are passed in through
/// the sender.
pub(crate) fn start(listener: TcpListener, feed: &FleetFeed) -> io::Result<Sender<RefusedList>> {
    let own = listener.local_addr()?;
    let (sender, refused) = channel::unbounded();
    let answering = feed.clone();
    thread::Builder::new()
        .name("peers-answer".to_owned())
        .spawn(move || answer_peers(&listener, &answering))?;
    let asking = PeerAsker {
        own,
        feed: feed.clone(),
        started: ClockMillis::now(),
    };
    thread::Builder::new()
        .name("peers-ask".to_owned())
        .spawn(move || asking.run(&refused))?;
    Ok(sender)
}

fn answer_peers(listener: &TcpListener, feed: &FleetFeed) {
    for accepted in listener.incoming() {
        let result = match accepted {
            Ok(stream) => answer_peer(stream, feed),
            Err(error) => {
                thread::sleep(ACCEPT_PAUSE);
                Err(error.into())
            }
        };
        if let Err(error) = result {
            count(&feed.counters.peer_failures);
            tracing::debug!(%error, "peer was not answered");
        }
    }
}

fn answer_peer(stream: TcpStream, feed: &FleetFeed) -> Result<(), FrameError> {
    let mut stream = FramedStream::accept(stream)?;
    let ask: PeerAsk = stream.receive(Some(SILENCE_LIMIT))?;
    let now = ClockMillis::now();
    feed.shelf.note_peer(ask.sender, &ask.known, now);
    feed.learn_refused(ask.refused);
    let fleet = match ask.wants_fleet {
        true => FleetWire::of_snapshot(&feed.shelf.fleet(), now),
        false => None,
    };
    stream.send(&PeerReply {
        known: feed.shelf.peers_heard(now),
        refused: list_refused(feed, now),
        fleet,
    })
}

struct PeerAsker {
    own: SocketAddr,
    feed: FleetFeed,
    started: ClockMillis,
}

impl PeerAsker {
    fn run(self, refused: &Receiver<RefusedList>) {
        let mut due = self.started + LOG_HEAD_START;
        let mut steady = FIRST_PAUSE;
        let mut known = 0;
        loop {
            let wait = due.since(ClockMillis::now());
            match refused.recv_timeout(wait.into()) {
                Ok(list) => self.tell_all(list),
                Err(RecvTimeoutError::Timeout) => {
                    self.ask_next();
                    let now = ClockMillis::now();
                    due = now + self.pause(steady);
                    steady = (steady + steady).min(STEADY_PAUSE);
                    let count = self.feed.shelf.peers_heard(now).len() + 1;
                    if count != known {
                        known = count;
                        self.feed.send(LoopNews::GatewayCount(count));
                    }
                }
                // The traffic thread has ended, and the process with it.
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn pause(&self, steady: SpanMillis) -> SpanMillis {
        let shelf = &self.feed.shelf;
        match (shelf.has_config(), shelf.wants_fleet()) {
            (false, _) => URGENT_PAUSE,
            (true, true) => AWAY_PAUSE,
            (true, false) => steady,
        }
    }

    /// Tells all peers at once which requests are refused.
    fn tell_all(&self, list: RefusedList) {
        tracing::warn!(
            refused = list.len(),
            "requests that crash upstreams are refused"
        );
        self.feed.shelf.set_refused(list, ClockMillis::now());
        for peer in self.feed.shelf.all_peers() {
            self.ask(peer, false);
        }
    }

    fn ask_next(&self) {
        let Some(peer) = self.feed.shelf.next_peer(ClockMillis::now()) else {
            return;
        };
        self.ask(peer, self.feed.shelf.wants_fleet());
    }

    fn ask(&self, peer: SocketAddr, wants_fleet: bool) {
        count(&self.feed.counters.peer_asks);
        match self.exchange(peer, wants_fleet) {
            Ok(reply) => self.take_reply(peer, reply),
            Err(error) => {
                count(&self.feed.counters.peer_failures);
                tracing::debug!(%peer, %error, "peer did not answer");
            }
        }
    }

    fn exchange(&self, peer: SocketAddr, wants_fleet: bool) -> Result<PeerReply, FrameError> {
        let now = ClockMillis::now();
        let mut stream = FramedStream::connect(peer, CONNECT_LIMIT)?;
        stream.send(&PeerAsk {
            sender: self.own,
            known: self.feed.shelf.peers_heard(now),
            refused: list_refused(&self.feed, now),
            wants_fleet,
        })?;
        stream.receive(Some(SILENCE_LIMIT))
    }

    fn take_reply(&self, peer: SocketAddr, reply: PeerReply) {
        let now = ClockMillis::now();
        self.feed.shelf.note_peer(peer, &reply.known, now);
        self.feed.learn_refused(reply.refused);
        let Some(fleet) = reply.fleet else {
            return;
        };
        if !self.feed.shelf.has_config() {
            tracing::info!(
                %peer,
                version = fleet.version,
                upstreams = fleet.upstreams.len(),
                age_ms = fleet.age_ms,
                "fleet taken from a peer, since the log gives no answer"
            );
        }
        self.feed
            .publish(FleetUpdate::Peer(fleet.into_snapshot(now)));
    }
}

fn list_refused(feed: &FleetFeed, now: ClockMillis) -> Vec<RefusedWire> {
    let refused = feed.shelf.refused(now);
    refused.into_iter().map(RefusedWire::from).collect()
}

impl FleetFeed {
    /// Passes on which requests a peer refuses.
    fn learn_refused(&self, refused: Vec<RefusedWire>) {
        if refused.is_empty() {
            return;
        }
        let list = refused.into_iter().map(Into::into).collect();
        self.send(LoopNews::Refused(list));
    }
}
