//! Table of peer routers.

use std::net::SocketAddr;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use indexmap::IndexMap;

/// Maximum number of peers.
const PEER_LIMIT: usize = 1_024;

/// Time without contact after which a peer is dropped, unless it is a seed.
const PEER_TIMEOUT: SpanMillis = SpanMillis::new(60_000);

#[derive(Clone, Copy, Debug)]
struct KnownPeer {
    last_contact: ClockMillis,
    is_seed: bool,
}

/// Known peers, by the address of their peer interface.
///
/// Peers are soft state: they gossip the addresses that they know, and silent peers are dropped.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    own: Option<SocketAddr>,
    peers: IndexMap<SocketAddr, KnownPeer>,
    cursor: usize,
}

impl PeerTable {
    /// Creates the table of a router that listens at `own`. The `seeds` come from its settings and may be stale.
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

    /// Adds a peer that contacted this router or was reported by another peer.
    pub fn add_if_unknown(&mut self, address: SocketAddr, now: ClockMillis) {
        if !self.peers.contains_key(&address) {
            self.insert(address, false, now);
        }
    }

    /// Records contact with a peer and adds it if it is unknown.
    pub fn record_contact(&mut self, address: SocketAddr, now: ClockMillis) {
        self.add_if_unknown(address, now);
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.last_contact = now;
        }
    }

    /// Drops silent peers and returns the next peer in round-robin order.
    pub fn next_peer(&mut self, now: ClockMillis) -> Option<SocketAddr> {
        self.peers
            .retain(|_, peer| peer.is_seed || now.since(peer.last_contact) < PEER_TIMEOUT);
        if self.peers.is_empty() {
            return None;
        }
        self.cursor = (self.cursor + 1) % self.peers.len();
        self.peers
            .get_index(self.cursor)
            .map(|(address, _)| *address)
    }

    /// Returns the peers with recent contact, to be sent to another peer.
    pub fn list_recent(&self, now: ClockMillis) -> Vec<SocketAddr> {
        let mut recent = Vec::with_capacity(self.peers.len());
        for (address, peer) in &self.peers {
            if now.since(peer.last_contact) < PEER_TIMEOUT {
                recent.push(*address);
            }
        }
        recent
    }

    /// Iterates over all peers.
    pub fn iter(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    fn insert(&mut self, address: SocketAddr, is_seed: bool, now: ClockMillis) {
        if self.own == Some(address) || self.peers.len() >= PEER_LIMIT {
            return;
        }
        let peer = KnownPeer {
            last_contact: now,
            is_seed,
        };
        self.peers.insert(address, peer);
    }
}
