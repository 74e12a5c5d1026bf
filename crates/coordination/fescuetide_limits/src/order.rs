//! The order in which waiting work starts.

use std::collections::VecDeque;

use fescuetide_base::ClockMillis;

/// Orders waiting work: least slack first, then first come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WorkKey {
    pub(crate) late_at: ClockMillis,
    pub(crate) arrival: u64,
}

/// A workspace's running requests and its first waiting one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LaneHead {
    pub(crate) running: usize,
    pub(crate) first: Option<WorkKey>,
}

/// A workspace's running requests and the keys of its waiting ones, in order.
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

/// The lane that gets the next free slot: least slack first among lanes below their share, or else among all.
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

/// How many waiting requests start before one with `key` in the lane `own`, when running requests end in the order of
/// their start. `running` has their lanes in that order.
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
