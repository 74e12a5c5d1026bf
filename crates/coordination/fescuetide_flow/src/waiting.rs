//! Requests that wait in this router until an upstream has room.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;

use crate::FlowKey;

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WaitingEntry {
    pub(crate) key: FlowKey,
    pub(crate) rank: u8,
    /// Identifies the workspace that it belongs to.
    pub(crate) workspace: u64,
    pub(crate) late_at: ClockMillis,
    /// When it is refused if no upstream had room.
    pub(crate) until: ClockMillis,
}

/// An entry with its turn: how many requests of its workspace and rank waited when it came.
#[derive(Clone, Copy, Debug)]
struct QueuedEntry {
    turn: usize,
    entry: WaitingEntry,
}

impl QueuedEntry {
    fn order(&self) -> (u8, usize, ClockMillis) {
        (self.entry.rank, self.turn, self.entry.late_at)
    }
}

/// The queue of one pool: the most urgent rank first, within a rank workspaces in turn, and within a turn the least time
/// to the latency target.
///
/// Answers a burst: what is urgent passes what is not, and what cannot be served in time is refused while its caller
/// can still go elsewhere. A workspace that sends many times its usual waits behind its own requests, not before those
/// of others.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingQueue {
    entries: Vec<QueuedEntry>,
}

impl WaitingQueue {
    /// Adds an entry in its place.
    pub(crate) fn push(&mut self, entry: WaitingEntry) {
        let is_own = |other: &&QueuedEntry| {
            other.entry.workspace == entry.workspace && other.entry.rank == entry.rank
        };
        let turn = self.entries.iter().filter(is_own).count();
        let queued = QueuedEntry { turn, entry };
        let place = self
            .entries
            .partition_point(|other| other.order() <= queued.order());
        self.entries.insert(place, queued);
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, key: FlowKey) {
        self.entries.retain(|queued| queued.entry.key != key);
    }

    /// Removes all requests that waited for too long.
    pub(crate) fn take_expired(&mut self, now: ClockMillis) -> Vec<FlowKey> {
        let mut expired = Vec::new();
        self.entries.retain(|queued| {
            let keep = now < queued.entry.until;
            if !keep {
                expired.push(queued.entry.key);
            }
            keep
        });
        expired
    }

    /// The requests in their order.
    pub(crate) fn keys(&self) -> Vec<FlowKey> {
        self.entries.iter().map(|queued| queued.entry.key).collect()
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
