//! The other routers that are known.

use std::net::SocketAddr;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use indexmap::IndexMap;

/// Most peers that are kept.
const PEER_LIMIT: usize = 1_024;

/// A peer that has not answered for so long is dropped, unless the settings name it.
const SILENCE_LIMIT: SpanMillis = SpanMillis::new(60_000);

#[derive(Clone, Copy, Debug)]
struct KnownPeer {
    heard_at: ClockMillis,
    is_seed: bool,
}

/// Peers, by the addresses where they answer each other.
///
/// Peers are soft state: each tells the others whom it knows, and who is silent is forgotten.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    own: Option<SocketAddr>,
    peers: IndexMap<SocketAddr, KnownPeer>,
    turn: usize,
}

impl PeerTable {
    /// Creates the table of a router that answers at `own` and knows the addresses of its settings, which may be stale.
    pub fn new(own: SocketAddr, seeds: &[SocketAddr], now: ClockMillis) -> Self {
        let mut table = Self {
            own: Some(own),
            ..Self::default()
        };
        for seed in seeds {
            table.insert(*seed, true, now);
        }
        table
    }

    /// Notes a peer that made itself known, or that another peer told of.
    pub fn note_known(&mut self, address: SocketAddr, now: ClockMillis) {
        if !self.peers.contains_key(&address) {
            self.insert(address, false, now);
        }
    }

    /// Notes a sign of life.
    pub fn note_heard(&mut self, address: SocketAddr, now: ClockMillis) {
        self.note_known(address, now);
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.heard_at = now;
        }
    }

    /// The peer whose turn it is.
    pub fn next_peer(&mut self, now: ClockMillis) -> Option<SocketAddr> {
        self.peers
            .retain(|_, peer| peer.is_seed || now.since(peer.heard_at) < SILENCE_LIMIT);
        if self.peers.is_empty() {
            return None;
        }
        self.turn = (self.turn + 1) % self.peers.len();
        self.peers.get_index(self.turn).map(|(address, _)| *address)
    }

    /// All peers that were heard lately, to tell another one.
    pub fn list_heard(&self, now: ClockMillis) -> Vec<SocketAddr> {
        let mut heard = Vec::with_capacity(self.peers.len());
        for (address, peer) in &self.peers {
            if now.since(peer.heard_at) < SILENCE_LIMIT {
                heard.push(*address);
            }
        }
        heard
    }

    /// All peers.
    pub fn iter(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    fn insert(&mut self, address: SocketAddr, is_seed: bool, now: ClockMillis) {
        if self.own == Some(address) || self.peers.len() >= PEER_LIMIT {
            return;
        }
        let peer = KnownPeer {
            heard_at: now,
            is_seed,
        };
        self.peers.insert(address, peer);
    }
}
