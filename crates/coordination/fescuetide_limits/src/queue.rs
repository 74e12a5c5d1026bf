//! The queue in front of an upstream that runs a limited batch.

use std::collections::VecDeque;

use fescuetide_base::AttemptId;
use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::TargetShare;
use fescuetide_base::WorkspaceName;
use indexmap::IndexMap;

use crate::RecentTimes;
use crate::order::LaneHead;
use crate::order::LanePlan;
use crate::order::WorkKey;
use crate::order::choose_lane;
use crate::order::count_starts_before;

/// Work that asks for a place in the batch.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedWork {
    /// The attempt.
    pub attempt: AttemptId,
    /// Whose work it is.
    pub workspace: WorkspaceName,
    /// When the first part of the response is late, by the class's target.
    pub late_at: ClockMillis,
    /// When the caller gives up.
    pub deadline: ClockMillis,
    /// The class's target for loss. Work of a higher share is shed first.
    pub loss_share: TargetShare,
}

/// Why work was not taken in: its lateness target cannot be met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLate {
    /// When the same work would have met its target, if nothing else arrives.
    pub retry_after: SpanMillis,
}

/// What happened to work in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueEvent {
    /// It runs from now on, until [`finish`](AdmissionQueue::finish).
    Started(AttemptId),
    /// It was shed for other work and never runs.
    Shed(AttemptId, TooLate),
    /// Its deadline passed and it never runs.
    Expired(AttemptId),
}

#[derive(Clone, Debug)]
struct WaitingWork {
    key: WorkKey,
    work: QueuedWork,
}

/// The work of one workspace.
#[derive(Clone, Debug, Default)]
struct WorkspaceLane {
    running: usize,
    /// Least slack first.
    waiting: Vec<WaitingWork>,
}

#[derive(Clone, Debug)]
struct RunningWork {
    attempt: AttemptId,
    workspace: WorkspaceName,
    since: ClockMillis,
}

/// Orders work for a limited number of slots.
///
/// A free slot goes to the work with the least slack among workspaces that run less than their share (slots ÷
/// workspaces present), or among all when none does. Work that would miss its lateness target is refused at once,
/// unless shedding waiting work of classes that tolerate more loss makes room for it.
///
/// The wait is estimated as place × service time ÷ slots, with the mean of recent service times. Nothing is refused
/// before a service time is known, or while a slot is free.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    slots: usize,
    lanes: IndexMap<WorkspaceName, WorkspaceLane>,
    running: VecDeque<RunningWork>,
    service: RecentTimes,
    first_part: RecentTimes,
    arrivals: u64,
}

impl AdmissionQueue {
    /// Creates an empty queue for an upstream that runs `slots` requests at once, at least 1.
    pub fn new(slots: usize) -> Self {
        Self {
            slots: slots.max(1),
            lanes: IndexMap::new(),
            running: VecDeque::new(),
            service: RecentTimes::default(),
            first_part: RecentTimes::default(),
            arrivals: 0,
        }
    }

    /// Takes in work. The events say whether it started and which waiting work was shed for it.
    ///
    /// # Errors
    ///
    /// Refuses work whose lateness target cannot be met.
    pub fn push(&mut self, work: QueuedWork, now: ClockMillis) -> Result<Vec<QueueEvent>, TooLate> {
        let key = WorkKey {
            late_at: work.late_at,
            arrival: self.arrivals,
        };
        let mut events = Vec::new();
        if self.running.len() >= self.slots {
            self.make_room(&work, key, now, &mut events)?;
        }
        self.arrivals += 1;
        let lane = self.lanes.entry(work.workspace.clone()).or_default();
        let place = lane.waiting.partition_point(|other| other.key < key);
        lane.waiting.insert(place, WaitingWork { key, work });
        self.fill_slots(now, &mut events);
        Ok(events)
    }

    /// Ends running work. `first_part` is the time from its start to the first part of its response, when there was
    /// one. Returns what starts instead.
    pub fn finish(
        &mut self,
        attempt: AttemptId,
        first_part: Option<SpanMillis>,
        now: ClockMillis,
    ) -> Vec<QueueEvent> {
        let mut events = Vec::new();
        let place = self.running.iter().position(|run| run.attempt == attempt);
        if let Some(run) = place.and_then(|place| self.running.remove(place)) {
            // Runs without a response are mostly failures, which say nothing about service times.
            if let Some(span) = first_part {
                self.service.note(now.since(run.since));
                self.first_part.note(span);
            }
            if let Some(lane) = self.lanes.get_mut(&run.workspace) {
                lane.running -= 1;
            }
        }
        self.fill_slots(now, &mut events);
        events
    }

    /// Takes out waiting work whose caller has left. Returns whether it was waiting; it never runs then.
    pub fn leave(&mut self, attempt: AttemptId) -> bool {
        let mut found = false;
        for lane in self.lanes.values_mut() {
            let before = lane.waiting.len();
            lane.waiting.retain(|entry| entry.work.attempt != attempt);
            found |= lane.waiting.len() < before;
        }
        self.drop_empty_lanes();
        found
    }

    /// Takes out waiting work whose deadline has passed.
    pub fn expire(&mut self, now: ClockMillis) -> Vec<QueueEvent> {
        let mut events = Vec::new();
        for lane in self.lanes.values_mut() {
            lane.waiting.retain(|entry| {
                let keep = entry.work.deadline > now;
                if !keep {
                    events.push(QueueEvent::Expired(entry.work.attempt));
                }
                keep
            });
        }
        self.drop_empty_lanes();
        events
    }

    /// Requests that run.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait.
    pub fn waiting_count(&self) -> usize {
        self.lanes.values().map(|lane| lane.waiting.len()).sum()
    }

    /// Starts work while there are slots.
    fn fill_slots(&mut self, now: ClockMillis, events: &mut Vec<QueueEvent>) {
        events.extend(self.expire(now));
        while self.running.len() < self.slots {
            let heads = self.lanes.values().map(WorkspaceLane::head);
            let Some(index) = choose_lane(heads, self.slots) else {
                break;
            };
            let lane = &mut self.lanes[index];
            let work = lane.waiting.remove(0).work;
            lane.running += 1;
            events.push(QueueEvent::Started(work.attempt));
            self.running.push_back(RunningWork {
                attempt: work.attempt,
                workspace: work.workspace,
                since: now,
            });
        }
        self.drop_empty_lanes();
    }

    /// Sheds waiting work until `work` meets its target, or refuses `work` and sheds nothing.
    fn make_room(
        &mut self,
        work: &QueuedWork,
        key: WorkKey,
        now: ClockMillis,
        events: &mut Vec<QueueEvent>,
    ) -> Result<(), TooLate> {
        let Err(refusal) = self.check_wait(work, key, now) else {
            return Ok(());
        };
        let mut trial = self.clone();
        let mut shed = Vec::new();
        while let Some(victim) = trial.next_victim(work, key) {
            trial.leave(victim.work.attempt);
            shed.push(victim);
            if trial.check_wait(work, key, now).is_ok() {
                *self = trial;
                for victim in shed {
                    let refusal = self.refusal_of(&victim, now);
                    events.push(QueueEvent::Shed(victim.work.attempt, refusal));
                }
                return Ok(());
            }
        }
        Err(refusal)
    }

    /// When shed work should come back: when its target could be met again, at the earliest when a slot gets free.
    fn refusal_of(&self, victim: &WaitingWork, now: ClockMillis) -> TooLate {
        let slot_ms = self.service.mean_ms().unwrap_or(0.0) / self.slots as f64;
        let slot = SpanMillis::new(slot_ms.ceil() as u64);
        let waited = self.check_wait(&victim.work, victim.key, now);
        TooLate {
            retry_after: waited.map_or_else(|late| late.retry_after.max(slot), |()| slot),
        }
    }

    /// The waiting work to shed next for `work`: the one that tolerates most loss of those that delay it, and of these
    /// the one with the most slack.
    fn next_victim(&self, work: &QueuedWork, key: WorkKey) -> Option<WaitingWork> {
        let mut best: Option<&WaitingWork> = None;
        let waiting = self.lanes.values().flat_map(|lane| &lane.waiting);
        for entry in waiting {
            let tolerant = entry.work.loss_share.get() > work.loss_share.get();
            if !tolerant || (entry.work.workspace == work.workspace && entry.key > key) {
                continue;
            }
            let rank = |entry: &WaitingWork| (entry.work.loss_share.get(), entry.key);
            if best.is_none_or(|other| rank(entry) > rank(other)) {
                best = Some(entry);
            }
        }
        best.cloned()
    }

    /// Whether `work` would meet its target if it waited.
    fn check_wait(&self, work: &QueuedWork, key: WorkKey, now: ClockMillis) -> Result<(), TooLate> {
        let Some(service_ms) = self.service.mean_ms() else {
            return Ok(());
        };
        let ahead = self.count_ahead(&work.workspace, key);
        let wait_ms = (ahead + 1) as f64 * service_ms / self.slots as f64;
        let first_ms = self.first_part.mean_ms().unwrap_or(0.0);
        let slack_ms = work.late_at.since(now).as_millis() as f64;
        let excess_ms = wait_ms + first_ms - slack_ms;
        if excess_ms <= 0.0 {
            return Ok(());
        }
        Err(TooLate {
            // Waiting cannot help against the time to the first part itself.
            retry_after: SpanMillis::new(excess_ms.min(wait_ms).ceil() as u64),
        })
    }

    /// How much waiting work starts before work with this key.
    fn count_ahead(&self, workspace: &WorkspaceName, key: WorkKey) -> usize {
        let mut plans: Vec<LanePlan> = self.lanes.values().map(WorkspaceLane::plan).collect();
        let own = match self.lanes.get_index_of(workspace) {
            Some(index) => index,
            None => {
                plans.push(LanePlan::default());
                plans.len() - 1
            }
        };
        let mut order = VecDeque::with_capacity(self.running.len());
        for run in &self.running {
            order.extend(self.lanes.get_index_of(&run.workspace));
        }
        count_starts_before(plans, order, own, key, self.slots)
    }

    fn drop_empty_lanes(&mut self) {
        self.lanes
            .retain(|_, lane| lane.running > 0 || !lane.waiting.is_empty());
    }
}

impl WorkspaceLane {
    fn head(&self) -> LaneHead {
        LaneHead {
            running: self.running,
            first: self.waiting.first().map(|entry| entry.key),
        }
    }

    fn plan(&self) -> LanePlan {
        LanePlan {
            running: self.running,
            waiting: self.waiting.iter().map(|entry| entry.key).collect(),
        }
    }
}
