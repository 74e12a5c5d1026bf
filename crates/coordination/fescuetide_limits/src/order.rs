//! Scheduling order of queued work.

use std::collections::VecDeque;

use fescuetide_base::ClockMillis;

/// Scheduling key: earliest `late_at` first, ties in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WorkKey {
    pub(crate) late_at: ClockMillis,
    pub(crate) arrival: u64,
}

/// Number of running requests of a workspace and the key of its first queued request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueHead {
    pub(crate) running: usize,
    pub(crate) first: Option<WorkKey>,
}

/// Number of running requests of a workspace and the keys of its queued requests in scheduling order.
#[derive(Clone, Debug, Default)]
pub(crate) struct SimulatedQueue {
    pub(crate) running: usize,
    pub(crate) waiting: VecDeque<WorkKey>,
}

impl SimulatedQueue {
    fn head(&self) -> QueueHead {
        QueueHead {
            running: self.running,
            first: self.waiting.front().copied(),
        }
    }
}

/// Returns the index of the workspace that receives the next free slot.
///
/// Workspaces running fewer requests than their fair share come first; among them, the request with the earliest
/// `late_at` wins.
pub(crate) fn select_queue(
    queues: impl Iterator<Item = QueueHead> + Clone,
    slots: usize,
) -> Option<usize> {
    let active = queues
        .clone()
        .filter(|queue| queue.running > 0 || queue.first.is_some())
        .count();
    let share = (slots / active.max(1)).max(1);
    let mut best: Option<((bool, WorkKey), usize)> = None;
    for (index, queue) in queues.enumerate() {
        let Some(first) = queue.first else {
            continue;
        };
        let rank = (queue.running >= share, first);
        if best.is_none_or(|(other, _)| rank < other) {
            best = Some((rank, index));
        }
    }
    best.map(|(_, index)| index)
}

/// Counts the queued requests that start before a request with `key` in the queue `own`.
///
/// Simulates the scheduler, assuming that running requests finish in the order in which they started. `running` holds
/// their queues in that order.
pub(crate) fn count_starts_before(
    mut queues: Vec<SimulatedQueue>,
    mut running: VecDeque<usize>,
    own: usize,
    key: WorkKey,
    slots: usize,
) -> usize {
    let index = queues[own].waiting.partition_point(|other| *other < key);
    queues[own].waiting.insert(index, key);
    let mut count = 0;
    loop {
        if let Some(ended) = running.pop_front() {
            queues[ended].running -= 1;
        }
        let Some(next) = select_queue(queues.iter().map(SimulatedQueue::head), slots) else {
            return count;
        };
        let started = queues[next].waiting.pop_front();
        if started == Some(key) {
            return count;
        }
        queues[next].running += 1;
        running.push_back(next);
        count += 1;
    }
}
