//! Datagrams between gateways: the socket, whom they are sent to, and which part of the gateway uses them.
//!
//! Most are digests: each gateway sends what it has newly heard to one other gateway at a time, so what a gateway sends and
//! receives does not depend on their number. A lost datagram only makes something known a little later.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::StableHash;
use fescuetide_flow::GatewayId;
use fescuetide_wire::limit::LIMIT_DATAGRAM_FORMAT;
use fescuetide_wire::limit::LIMIT_DATAGRAM_LIMIT_BYTES;
use fescuetide_wire::load::LOAD_DATAGRAM_LIMIT_BYTES;
use fescuetide_wire::origin::ORIGIN_DATAGRAM_LIMIT_BYTES;
use fescuetide_wire::origin::OriginDatagram;
use mio::Interest;
use mio::Registry;
use mio::Token;
use mio::net::UdpSocket;

use crate::codec::HttpCodec;
use crate::counters::count;
use crate::follower::FleetPublisher;
use crate::load_exchange::SharedListing;
use crate::log_line_limit::LogLineKind;
use crate::peer_state::PeerState;
use crate::traffic::TrafficLoop;

/// Time between two load digests.
const DIGEST_INTERVAL: SpanMillis = SpanMillis::new(100);

/// Maximum number of digests that are used in one interval. On average, one or two arrive. Others are dropped.
const DIGESTS_PER_INTERVAL: u32 = 32;

/// Maximum number of datagrams that are read at a time. A peer that sends without end must not keep the traffic thread busy. What
/// is left is read with the next tick.
const READS_PER_TURN: usize = 64;

/// Maximum length of a datagram in bytes, so that it fits into one packet.
const DATAGRAM_LIMIT_BYTES: usize = 1_472;

const _: () = assert!(
    LOAD_DATAGRAM_LIMIT_BYTES <= DATAGRAM_LIMIT_BYTES
        && LIMIT_DATAGRAM_LIMIT_BYTES <= DATAGRAM_LIMIT_BYTES
        && ORIGIN_DATAGRAM_LIMIT_BYTES <= DATAGRAM_LIMIT_BYTES
);

/// The socket for datagrams and the other gateways.
#[derive(Debug)]
pub(crate) struct DatagramExchange {
    socket: UdpSocket,
    own: SocketAddr,
    /// The port for datagrams of all gateways, `None` if each gets them at its address for peers.
    common_port: Option<u16>,
    peers: Vec<SocketAddr>,
    /// The addresses of the same gateways for peers.
    interfaces: Vec<SocketAddr>,
    /// Shared with the threads that query peers.
    peer_state: Arc<PeerState>,
    /// When the next load digest is sent.
    next_at: ClockMillis,
    /// Number of digests sent, which together with the own address selects the next peer.
    draws: u64,
    /// Digests received since the last load digest was sent.
    received: u32,
    /// How recent the list of upstreams is, shared with the thread that reads it.
    pub(crate) listing: SharedListing,
    /// From when on the times in digests are right. While the process was suspended, digests waited in the socket.
    trusted_from: ClockMillis,
}

impl DatagramExchange {
    /// Opens the socket and registers it. `peers` is this gateway's address for peers. `common_port` replaces its port, and
    /// that of all peers.
    pub(crate) fn open(
        registry: &Registry,
        token: Token,
        peers: SocketAddr,
        common_port: Option<u16>,
        publisher: &FleetPublisher,
    ) -> io::Result<Self> {
        let mut own = peers;
        own.set_port(common_port.unwrap_or(peers.port()));
        let mut socket = UdpSocket::bind(own)?;
        registry.register(&mut socket, token, Interest::READABLE)?;
        Ok(Self {
            socket,
            own,
            common_port,
            peers: Vec::new(),
            interfaces: Vec::new(),
            peer_state: Arc::clone(&publisher.peer_state),
            next_at: ClockMillis::default(),
            draws: 0,
            received: 0,
            listing: publisher.listing.clone(),
            trusted_from: ClockMillis::default(),
        })
    }

    /// Replaces the other gateways, given by their addresses for peers.
    pub(crate) fn set_peers(&mut self, peers: Vec<SocketAddr>) {
        self.interfaces.clone_from(&peers);
        self.peers = peers;
        for peer in &mut self.peers {
            if let Some(port) = self.common_port {
                peer.set_port(port);
            }
        }
    }

    /// The address of this gateway for datagrams.
    pub(crate) fn own(&self) -> SocketAddr {
        self.own
    }

    /// The addresses of the other gateways for datagrams.
    pub(crate) fn peers(&self) -> &[SocketAddr] {
        &self.peers
    }

    /// The ids of this gateway and of its peers, by their addresses for digests.
    pub(crate) fn gateway_ids(&self) -> (GatewayId, Vec<GatewayId>) {
        let id_of = |address: &SocketAddr| GatewayId::of(&address.to_string());
        (id_of(&self.own), self.peers.iter().map(id_of).collect())
    }

    /// Records that a datagram came from a gateway, which therefore lives.
    fn note_sender(&self, sender: SocketAddr, now: ClockMillis) {
        let index = self.peers.iter().position(|peer| *peer == sender);
        if let Some(interface) = index.and_then(|index| self.interfaces.get(index)) {
            self.peer_state.refresh_peer(*interface, now);
        }
    }

    /// Records that the process was suspended until `now`.
    pub(crate) fn note_suspension(&mut self, now: ClockMillis) {
        self.trusted_from = now + DIGEST_INTERVAL;
    }

    /// Whether the times in digests are right.
    pub(crate) fn trusts_times(&self, now: ClockMillis) -> bool {
        now >= self.trusted_from
    }

    /// The peer that gets the next load digest, if one is due.
    pub(crate) fn next_load_peer(&mut self, now: ClockMillis) -> Option<SocketAddr> {
        if now < self.next_at || self.peers.is_empty() {
            return None;
        }
        self.next_at = now + DIGEST_INTERVAL;
        self.received = 0;
        self.draw_peer()
    }

    /// Chooses a peer at random.
    pub(crate) fn draw_peer(&mut self) -> Option<SocketAddr> {
        self.draws += 1;
        let hash = StableHash::new()
            .field(self.own.to_string().as_bytes())
            .field(&self.draws.to_le_bytes())
            .finish();
        let index = hash.checked_rem(self.peers.len() as u64)?;
        self.peers.get(index as usize).copied()
    }
}

impl<C: HttpCodec> TrafficLoop<C> {
    /// Sends a datagram to a peer, and returns whether that succeeded.
    pub(crate) fn send_datagram(&mut self, peer: SocketAddr, bytes: &[u8]) -> bool {
        let Some(exchange) = &self.datagrams else {
            return false;
        };
        if let Err(error) = exchange.socket.send_to(bytes, peer) {
            count(&self.counters.load_digest_failures);
            tracing::debug!(%peer, %error, "failed to send a datagram");
            return false;
        }
        true
    }

    /// Reads the datagrams of peers. Must be called periodically, since not all that have arrived may be read at once.
    pub(crate) fn receive_datagrams(&mut self) {
        // One byte more shows that a datagram is too long.
        let mut buffer = [0; DATAGRAM_LIMIT_BYTES + 1];
        for _ in 0..READS_PER_TURN {
            let Some(exchange) = &mut self.datagrams else {
                return;
            };
            let (length, peer) = match exchange.socket.recv_from(&mut buffer) {
                Ok(received) => received,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    count(&self.counters.load_digest_failures);
                    tracing::debug!(%error, "failed to receive a datagram");
                    return;
                }
            };
            exchange.note_sender(peer, self.now);
            let datagram = &buffer[..length];
            let is_digest = !OriginDatagram::has_kind(datagram);
            exchange.received += u32::from(is_digest);
            if is_digest && exchange.received > DIGESTS_PER_INTERVAL {
                count(&self.counters.load_digests_rejected);
                continue;
            }
            let result = match datagram.first() {
                _ if !is_digest => self.use_origins(peer, datagram),
                Some(&LIMIT_DATAGRAM_FORMAT) => self.use_limits(datagram),
                _ => self.use_loads(datagram),
            };
            if let Err(error) = result {
                count(&self.counters.load_digests_rejected);
                if self.may_log(LogLineKind::Notice) {
                    tracing::warn!(%peer, %error, "datagram rejected");
                }
            }
        }
    }
}
