//! Queue of requests that wait in this gateway until an upstream has capacity.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;

use crate::FlowKey;

/// Retry delay that is added for each queued request.
const RETRY_AFTER_PER_QUEUED_MS: u64 = 5;

/// Bounds on the retry delay.
const MIN_RETRY_AFTER_MS: u64 = 100;
const MAX_RETRY_AFTER_MS: u64 = 2_000;

/// A queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WaitingEntry {
    pub(crate) key: FlowKey,
    pub(crate) priority: u8,
    /// Identifies the request's workspace.
    pub(crate) workspace: u64,
    pub(crate) late_at: ClockMillis,
    /// When it is refused if no upstream had capacity by then.
    pub(crate) expires_at: ClockMillis,
}

/// An entry with its round: the number of requests of the same workspace and priority that were queued before it.
#[derive(Clone, Copy, Debug)]
struct QueuedEntry {
    round: usize,
    entry: WaitingEntry,
}

impl QueuedEntry {
    fn order(&self) -> (u8, usize, ClockMillis) {
        (self.entry.priority, self.round, self.entry.late_at)
    }
}

/// The queue of a pool, ordered by priority, then round-robin over workspaces, then by the earliest latency target.
///
/// In a burst, urgent requests overtake others, and requests that cannot be served in time are refused early enough for
/// the caller to try elsewhere. A workspace with many queued requests mostly delays itself, since the queue takes one
/// request of each workspace in turn.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingQueue {
    entries: Vec<QueuedEntry>,
}

impl WaitingQueue {
    /// Inserts an entry at its position in the order.
    pub(crate) fn push(&mut self, entry: WaitingEntry) {
        let queued = self.with_round(entry);
        let index = self.index_of(&queued);
        self.entries.insert(index, queued);
    }

    /// The number of requests that would be before an entry if it were inserted now.
    pub(crate) fn position_of(&self, entry: &WaitingEntry) -> usize {
        self.index_of(&self.with_round(*entry))
    }

    fn with_round(&self, entry: WaitingEntry) -> QueuedEntry {
        let is_same_group = |other: &&QueuedEntry| {
            other.entry.workspace == entry.workspace && other.entry.priority == entry.priority
        };
        let round = self.entries.iter().filter(is_same_group).count();
        QueuedEntry { round, entry }
    }

    fn index_of(&self, queued: &QueuedEntry) -> usize {
        self.entries
            .partition_point(|other| other.order() <= queued.order())
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, key: FlowKey) {
        self.entries.retain(|queued| queued.entry.key != key);
    }

    /// Removes and returns all requests whose queue timeout has passed.
    pub(crate) fn take_expired(&mut self, now: ClockMillis) -> Vec<FlowKey> {
        let mut expired = Vec::new();
        self.entries.retain(|queued| {
            let keep = now < queued.entry.expires_at;
            if !keep {
                expired.push(queued.entry.key);
            }
            keep
        });
        expired
    }

    /// The keys of the queued requests in order.
    pub(crate) fn keys(&self) -> Vec<FlowKey> {
        self.iter().map(|entry| entry.key).collect()
    }

    /// The queued requests in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &WaitingEntry> {
        self.entries.iter().map(|queued| &queued.entry)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The retry delay for a request that is refused now: half of its latency target `target`, plus a time for each
    /// queued request.
    pub(crate) fn retry_after(&self, target: SpanMillis) -> SpanMillis {
        let queued = self.entries.len() as u64 * RETRY_AFTER_PER_QUEUED_MS;
        let span = target.as_millis() / 2 + queued;
        SpanMillis::new(span.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS))
    }
}
