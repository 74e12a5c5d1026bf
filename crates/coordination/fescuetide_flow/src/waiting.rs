//! Requests that wait in this router until an upstream has room.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;

use crate::FlowKey;

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WaitingEntry {
    pub(crate) key: FlowKey,
    pub(crate) rank: u8,
    pub(crate) late_at: ClockMillis,
    /// When it is refused if no upstream had room.
    pub(crate) until: ClockMillis,
}

/// The queue of one pool: the most urgent rank first, within a rank the least time to its latency target.
///
/// Answers a burst: what is urgent passes what is not, and what cannot be served in time is refused while its caller
/// can still go elsewhere.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingQueue {
    entries: Vec<WaitingEntry>,
}

impl WaitingQueue {
    /// Adds an entry in its place.
    pub(crate) fn push(&mut self, entry: WaitingEntry) {
        let place = self
            .entries
            .partition_point(|other| (other.rank, other.late_at) <= (entry.rank, entry.late_at));
        self.entries.insert(place, entry);
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, key: FlowKey) {
        self.entries.retain(|entry| entry.key != key);
    }

    /// Removes all requests that waited for too long.
    pub(crate) fn take_expired(&mut self, now: ClockMillis) -> Vec<FlowKey> {
        let mut expired = Vec::new();
        self.entries.retain(|entry| {
            let keep = now < entry.until;
            if !keep {
                expired.push(entry.key);
            }
            keep
        });
        expired
    }

    /// The requests in their order.
    pub(crate) fn keys(&self) -> Vec<FlowKey> {
        self.entries.iter().map(|entry| entry.key).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// When a request that is refused now should come again: after about as long as the queue ahead of it lasts.
    pub(crate) fn retry_after(&self, target: SpanMillis) -> SpanMillis {
        let ahead = self.entries.len() as u64;
        let span = target.as_millis() / 2 + ahead * 5;
        SpanMillis::new(span.clamp(100, 2_000))
    }
}
