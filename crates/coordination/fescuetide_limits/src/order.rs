//! Scheduling order of queued work.

use std::collections::VecDeque;

use fescuetide_base::ClockMillis;

/// Scheduling key: least slack first, ties in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WorkKey {
    pub(crate) late_at: ClockMillis,
    pub(crate) arrival: u64,
}

/// Number of running requests of a workspace and the key of its first queued request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LaneHead {
    pub(crate) running: usize,
    pub(crate) first: Option<WorkKey>,
}

/// Number of running requests of a workspace and the keys of its queued requests in scheduling order.
#[derive(Clone, Debug, Default)]
pub(crate) struct LanePlan {
    pub(crate) running: usize,
    pub(crate) waiting: VecDeque<WorkKey>,
}

impl LanePlan {
    fn head(&self) -> LaneHead {
        LaneHead {
            running: self.running,
            first: self.waiting.front().copied(),
        }
    }
}

/// Returns the index of the workspace that receives the next free slot.
///
/// Workspaces running fewer requests than their fair share come first; among them, the request with the least slack
/// wins.
pub(crate) fn choose_lane(
    lanes: impl Iterator<Item = LaneHead> + Clone,
    slots: usize,
) -> Option<usize> {
    let present = lanes
        .clone()
        .filter(|lane| lane.running > 0 || lane.first.is_some())
        .count();
    let share = (slots / present.max(1)).max(1);
    let mut best: Option<((bool, WorkKey), usize)> = None;
    for (index, lane) in lanes.enumerate() {
        let Some(first) = lane.first else {
            continue;
        };
        let rank = (lane.running >= share, first);
        if best.is_none_or(|(other, _)| rank < other) {
            best = Some((rank, index));
        }
    }
    best.map(|(_, index)| index)
}

/// Counts the queued requests that start before a request with `key` in the lane `own`.
///
/// Simulates the scheduler, assuming that running requests finish in the order in which they started. `running` holds
/// their lanes in that order.
pub(crate) fn count_starts_before(
    mut lanes: Vec<LanePlan>,
    mut running: VecDeque<usize>,
    own: usize,
    key: WorkKey,
    slots: usize,
) -> usize {
    let place = lanes[own].waiting.partition_point(|other| *other < key);
    lanes[own].waiting.insert(place, key);
    let mut count = 0;
    loop {
        if let Some(ended) = running.pop_front() {
            lanes[ended].running -= 1;
        }
        let Some(next) = choose_lane(lanes.iter().map(LanePlan::head), slots) else {
            return count;
        };
        let started = lanes[next].waiting.pop_front();
        if started == Some(key) {
            return count;
        }
        lanes[next].running += 1;
        running.push_back(next);
        count += 1;
    }
}
