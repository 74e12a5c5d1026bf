//! How recent a gateway's list of upstreams is, by its own reads of the log and those of its peers.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::StableHash;

use crate::UpstreamEntry;

/// Part of the time between reads that may be left out at random, so that not all gateways read at the same time.
const SHORTEST_PAUSE: f64 = 0.3;

/// Time in which the number of gateways that know of a read doubles, with one message to a random peer in each such time.
const DOUBLING_TIME: SpanMillis = SpanMillis::new(100);

/// A list of upstreams, reduced to its hash, and when the log said so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListingNews {
    /// The hash of the list.
    pub hash: u64,
    /// Time since the log was read with this result.
    pub age: SpanMillis,
}

/// When this gateway's list of upstreams was last known to be that of the log.
///
/// Gateways tell each other the hashes of their lists. If a peer has the same list, a read by the peer says as much as an own
/// one. So most reads can be left out, while the list is never older than the longest time between reads. A list that differs
/// from that of a peer is read when it is due.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListingView {
    hash: Option<u64>,
    confirmed_at: ClockMillis,
}

impl ListingView {
    /// Records that this gateway has read the log. `hash` is that of the list, `None` if the log could not be read or the list
    /// differs from it, as after an outage. `read_at` is when the read began.
    pub fn note_read(&mut self, hash: Option<u64>, read_at: ClockMillis) {
        self.hash = hash;
        self.confirmed_at = read_at;
    }

    /// Records what a peer has read. Returns whether that shows this gateway's list to be more recent than it was known to be.
    pub fn note_peer(&mut self, news: ListingNews, now: ClockMillis) -> bool {
        let read_at = ClockMillis::new(now.as_millis().saturating_sub(news.age.as_millis()));
        if self.hash != Some(news.hash) || read_at <= self.confirmed_at {
            return false;
        }
        self.confirmed_at = read_at;
        true
    }

    /// When the list was last known to be that of the log, `None` if it is not.
    pub fn confirmed_at(&self) -> Option<ClockMillis> {
        self.hash.map(|_| self.confirmed_at)
    }

    /// What to tell peers, `None` if this gateway's list is not that of the log.
    pub fn news(&self, now: ClockMillis) -> Option<ListingNews> {
        Some(ListingNews {
            hash: self.hash?,
            age: now.since(self.confirmed_at),
        })
    }

    /// When the log is to be read again. `pause` is the longest time between reads, and `draw` a random number.
    pub fn due_at(&self, pause: SpanMillis, draw: u64) -> ClockMillis {
        due_after(self.confirmed_at, pause, draw)
    }
}

/// When the log is to be read again after it was last read at `confirmed_at`, by this gateway or a peer.
///
/// Reads become more frequent towards the end of the pause at the rate at which a read becomes known, so that a few gateways
/// read and the others hear of it in time, whatever their number.
pub(crate) fn due_after(confirmed_at: ClockMillis, pause: SpanMillis, draw: u64) -> ClockMillis {
    let part = (draw as f64 + 1.0) / (u64::MAX as f64 + 1.0);
    let longest = pause.as_millis() as f64;
    let earlier = -part.log2() * DOUBLING_TIME.as_millis() as f64;
    let wait = (longest - earlier).max(longest * SHORTEST_PAUSE);
    confirmed_at + SpanMillis::new(wait as u64)
}

/// The hash of a list of upstreams, whatever their order.
pub fn hash_listing<'a>(entries: impl Iterator<Item = &'a UpstreamEntry>) -> u64 {
    let mut sum: u64 = 0;
    for entry in entries {
        let hash = StableHash::new()
            .field(entry.name.as_str().as_bytes())
            .field(&entry.incarnation.get().to_le_bytes())
            .field(entry.pool.as_str().as_bytes())
            .field(entry.address.to_string().as_bytes())
            .field(entry.zone.as_str().as_bytes())
            .field(entry.version.as_str().as_bytes())
            .field(&entry.slots.to_le_bytes())
            .field(&[entry.state as u8])
            .finish();
        sum = sum.wrapping_add(hash);
    }
    sum
}
