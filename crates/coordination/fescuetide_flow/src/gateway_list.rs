//! The gateways that share what they know about the origins of streams.

use std::cmp::Reverse;
use std::net::SocketAddr;

use fescuetide_base::StableHash;
use fescuetide_routing::score_upstream;

use crate::StreamKey;
use crate::StreamOrigin;

/// Number of other gateways that are told where a stream began, and that are asked. Some of them may be gone, or not know
/// each other yet.
const HOLDER_COUNT: usize = 5;

/// Number of gateways that share a writer.
const GATEWAYS_PER_WRITER: usize = 64;

/// The addresses of all gateways, as far as this one knows them.
#[derive(Clone, Debug, Default)]
pub struct GatewayList {
    /// All gateways, this one first. Empty if there is no exchange with others.
    gateways: Vec<SocketAddr>,
    /// For each group of streams, the gateways that are told where they began, the one that writes it to the log first.
    holders: Vec<Vec<SocketAddr>>,
}

impl GatewayList {
    /// Creates the list of a gateway and its peers.
    pub fn new(own: SocketAddr, peers: &[SocketAddr]) -> Self {
        let mut gateways = Vec::with_capacity(1 + peers.len());
        gateways.push(own);
        gateways.extend(peers);
        let group_count = 1 + gateways.len() / GATEWAYS_PER_WRITER;
        let groups = 0..group_count as u64;
        let holders = groups.map(|group| rank(group, &gateways)).collect();
        Self { gateways, holders }
    }

    /// Whether this gateway is the first in an order that is the same at all gateways.
    pub fn is_first(&self) -> bool {
        rank(0, &self.gateways).first().copied() == self.own()
    }

    /// The address of this gateway.
    pub(crate) fn own(&self) -> Option<SocketAddr> {
        self.gateways.first().copied()
    }

    /// The addresses of the other gateways.
    pub(crate) fn peers(&self) -> &[SocketAddr] {
        self.gateways.get(1..).unwrap_or_default()
    }

    /// The gateways that are told where a stream began, the one first that writes it to the log. All gateways find mostly the same
    /// ones, also when one is gone.
    pub(crate) fn stream_holders(&self, stream: StreamKey) -> &[SocketAddr] {
        let group = stream.get().checked_rem(self.holders.len() as u64);
        let holders = group.and_then(|group| self.holders.get(group as usize));
        holders.map_or(&[], Vec::as_slice)
    }

    /// The place of this gateway among those that may write about a version.
    pub(crate) fn version_rank(&self, origin: StreamOrigin) -> usize {
        let ranked = rank(u64::from(origin.version.get()), &self.gateways);
        let rank = ranked
            .iter()
            .position(|gateway| Some(*gateway) == self.own());
        rank.unwrap_or(ranked.len())
    }
}

/// The first gateways in an order that is the same at all gateways, by rendezvous hashing.
fn rank(key: u64, gateways: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut ranked = gateways.to_vec();
    let key = StableHash::hash_bytes(&key.to_le_bytes());
    let score = |gateway: &SocketAddr| {
        let id = StableHash::hash_bytes(gateway.to_string().as_bytes());
        Reverse(score_upstream(key, id))
    };
    ranked.sort_by_cached_key(score);
    ranked.truncate(HOLDER_COUNT);
    ranked
}
