//! Table of peer gateways.

use std::net::SocketAddr;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use indexmap::IndexMap;

/// Maximum number of peers.
const PEER_LIMIT: usize = 1_024;

/// Time without a sign of life after which a peer counts as gone. It is dropped then, unless it is a seed.
const PEER_TIMEOUT: SpanMillis = SpanMillis::new(60_000);

/// Age that is assumed of a peer's last sign of life if the gateway that reports it does not tell the age.
const UNTOLD_AGE: SpanMillis = SpanMillis::new(30_000);

/// A peer and how long ago it was last known to live, as gateways tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerNews {
    /// The address of its peer interface.
    pub address: SocketAddr,
    /// Time since its last sign of life, `None` if the gateway that reports it does not tell.
    pub age: Option<SpanMillis>,
}

#[derive(Clone, Copy, Debug)]
struct KnownPeer {
    /// When it was last known to live.
    seen_at: ClockMillis,
    /// Whether it counts as live only because the settings name it.
    is_presumed: bool,
    is_seed: bool,
}

impl KnownPeer {
    fn is_recent(&self, now: ClockMillis) -> bool {
        now.since(self.seen_at) < PEER_TIMEOUT
    }
}

/// Known peers, by the address of their peer interface.
///
/// Peers are soft state: gateways tell each other which ones they know, and those without a sign of life are dropped. What they
/// tell has the age of the last sign of life, so that a peer that is gone does not count as live again wherever it is reported.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    own: Option<SocketAddr>,
    peers: IndexMap<SocketAddr, KnownPeer>,
    cursor: usize,
}

impl PeerTable {
    /// Creates the table of a gateway that listens at `own`. The `seeds` come from its settings and may be stale. They are presumed
    /// to live for as long as other peers are without a sign of life.
    pub fn new(own: SocketAddr, seeds: &[SocketAddr], now: ClockMillis) -> Self {
        let mut table = Self {
            own: Some(own),
            ..Self::default()
        };
        for seed in seeds {
            let peer = KnownPeer {
                seen_at: now,
                is_presumed: true,
                is_seed: true,
            };
            table.insert(*seed, peer);
        }
        table
    }

    /// Records a sign of life of a peer that is known.
    pub fn refresh(&mut self, address: SocketAddr, now: ClockMillis) {
        if self.peers.contains_key(&address) {
            self.record_contact(address, now);
        }
    }

    /// Adds what another gateway tells about a peer.
    pub fn merge(&mut self, news: PeerNews, now: ClockMillis) {
        let age = news.age.unwrap_or(UNTOLD_AGE);
        if age < PEER_TIMEOUT {
            let seen_at = now.as_millis().saturating_sub(age.as_millis());
            self.record_contact(news.address, ClockMillis::new(seen_at));
        }
    }

    /// Records that a peer was known to live at `seen_at`, and adds it if it is unknown.
    pub fn record_contact(&mut self, address: SocketAddr, seen_at: ClockMillis) {
        let Some(peer) = self.peers.get_mut(&address) else {
            let peer = KnownPeer {
                seen_at,
                is_presumed: false,
                is_seed: false,
            };
            self.insert(address, peer);
            return;
        };
        peer.seen_at = match peer.is_presumed {
            true => seen_at,
            false => peer.seen_at.max(seen_at),
        };
        peer.is_presumed = false;
    }

    /// Drops silent peers and returns the next peer in round-robin order.
    pub fn next_peer(&mut self, now: ClockMillis) -> Option<SocketAddr> {
        self.peers
            .retain(|_, peer| peer.is_seed || peer.is_recent(now));
        if self.peers.is_empty() {
            return None;
        }
        self.cursor = (self.cursor + 1) % self.peers.len();
        self.peers
            .get_index(self.cursor)
            .map(|(address, _)| *address)
    }

    /// Returns the peers that count as live.
    pub fn list_recent(&self, now: ClockMillis) -> Vec<SocketAddr> {
        let recent = self.peers.iter().filter(|(_, peer)| peer.is_recent(now));
        recent.map(|(address, _)| *address).collect()
    }

    /// Returns what to tell other gateways: the peers that are known to live, by more than the settings.
    pub fn news(&self, now: ClockMillis) -> Vec<PeerNews> {
        let mut list = Vec::with_capacity(self.peers.len());
        for (address, peer) in &self.peers {
            if peer.is_presumed || !peer.is_recent(now) {
                continue;
            }
            list.push(PeerNews {
                address: *address,
                age: Some(now.since(peer.seen_at)),
            });
        }
        list
    }

    /// Whether some peer is known to live, by more than the settings.
    pub fn has_contact(&self, now: ClockMillis) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| !peer.is_presumed && peer.is_recent(now))
    }

    /// Iterates over all peers.
    pub fn iter(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    fn insert(&mut self, address: SocketAddr, peer: KnownPeer) {
        if self.own == Some(address) || self.peers.len() >= PEER_LIMIT {
            return;
        }
        self.peers.insert(address, peer);
    }
}
