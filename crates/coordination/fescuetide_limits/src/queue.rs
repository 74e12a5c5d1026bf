//! Admission queue of an upstream with a limited batch size.

use std::collections::VecDeque;

use fescuetide_base::AttemptId;
use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::TargetShare;
use fescuetide_base::WorkspaceName;
use indexmap::IndexMap;

use crate::MovingAverage;
use crate::order::QueueHead;
use crate::order::SimulatedQueue;
use crate::order::WorkKey;
use crate::order::count_starts_before;
use crate::order::select_queue;

/// An attempt that waits for a slot in the batch.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedWork {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Workspace that sent the request.
    pub workspace: WorkspaceName,
    /// When the first part of the response, that is, the first data of its body, misses the lateness target of the
    /// class.
    pub late_at: ClockMillis,
    /// When the caller gives up.
    pub deadline: ClockMillis,
    /// Loss target of the class, used as a measure of importance: work of classes that tolerate more loss is shed
    /// first. Shed work never runs, so a request that ends because of it counts as refused and not as lost.
    pub loss_share: TargetShare,
}

/// Refusal of work whose lateness target cannot be met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLate {
    /// Delay after which the same work would meet its target if nothing else arrives, provided that the time to the
    /// first part alone does not exceed the target.
    pub retry_after: SpanMillis,
}

/// A state change of queued work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueEvent {
    /// The attempt occupies a slot until [`finish`](AdmissionQueue::finish).
    Started(AttemptId),
    /// The attempt was shed in favour of other work and never runs.
    Shed(AttemptId, TooLate),
    /// The deadline passed before the attempt started; it never runs.
    Expired(AttemptId),
}

#[derive(Clone, Debug)]
struct WaitingWork {
    key: WorkKey,
    work: QueuedWork,
}

/// Running and queued work of one workspace.
#[derive(Clone, Debug, Default)]
struct WorkspaceQueue {
    running: usize,
    /// Sorted by key, earliest `late_at` first.
    waiting: Vec<WaitingWork>,
}

#[derive(Clone, Debug)]
struct RunningWork {
    attempt: AttemptId,
    workspace: WorkspaceName,
    since: ClockMillis,
}

/// Schedules work on a limited number of slots, with fair sharing between workspaces.
///
/// A free slot goes to the work with the earliest [`late_at`](QueuedWork::late_at) among the workspaces that run less
/// than their fair share (slots ÷ active workspaces), or among all workspaces if there are none below it. Work that
/// would miss its lateness target is refused immediately, unless shedding queued work of classes that tolerate more
/// loss makes room for it.
///
/// The queueing delay is estimated as position × service time ÷ slots, using a moving average of the service time.
/// Nothing is refused before a service time is known, or while a slot is free.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    slots: usize,
    queues: IndexMap<WorkspaceName, WorkspaceQueue>,
    running: VecDeque<RunningWork>,
    service: MovingAverage,
    first_part: MovingAverage,
    arrivals: u64,
}

impl AdmissionQueue {
    /// Creates an empty queue for an upstream that runs up to `slots` requests concurrently. 0 is treated as 1.
    pub fn new(slots: usize) -> Self {
        Self {
            slots: slots.max(1),
            queues: IndexMap::new(),
            running: VecDeque::new(),
            service: MovingAverage::default(),
            first_part: MovingAverage::default(),
            arrivals: 0,
        }
    }

    /// Enqueues work. The events report whether it started and which queued work was shed in its favour.
    ///
    /// # Errors
    ///
    /// Returns [`TooLate`] if the lateness target of the work cannot be met.
    pub fn push(&mut self, work: QueuedWork, now: ClockMillis) -> Result<Vec<QueueEvent>, TooLate> {
        let key = WorkKey {
            late_at: work.late_at,
            arrival: self.arrivals,
        };
        let mut events = Vec::new();
        if self.running.len() >= self.slots {
            self.shed_for(&work, key, now, &mut events)?;
        }
        self.arrivals += 1;
        let queue = self.queues.entry(work.workspace.clone()).or_default();
        let index = queue.waiting.partition_point(|other| other.key < key);
        queue.waiting.insert(index, WaitingWork { key, work });
        self.fill_slots(now, &mut events);
        Ok(events)
    }

    /// Releases the slot of a running attempt and starts queued work.
    ///
    /// `first_part` is the time from the start of the attempt to the first part of its response, if there was one.
    pub fn finish(
        &mut self,
        attempt: AttemptId,
        first_part: Option<SpanMillis>,
        now: ClockMillis,
    ) -> Vec<QueueEvent> {
        let mut events = Vec::new();
        let index = self.running.iter().position(|run| run.attempt == attempt);
        if let Some(run) = index.and_then(|index| self.running.remove(index)) {
            // Attempts without a response are mostly failures, which would distort the service time.
            if let Some(span) = first_part {
                self.service.note(now.since(run.since));
                self.first_part.note(span);
            }
            if let Some(queue) = self.queues.get_mut(&run.workspace) {
                queue.running -= 1;
            }
        }
        self.fill_slots(now, &mut events);
        events
    }

    /// Removes queued work whose caller has disconnected. Returns whether it was still queued, in which case it never
    /// runs.
    pub fn remove_waiting(&mut self, attempt: AttemptId) -> bool {
        let mut found = false;
        for queue in self.queues.values_mut() {
            let before = queue.waiting.len();
            queue.waiting.retain(|entry| entry.work.attempt != attempt);
            found |= queue.waiting.len() < before;
        }
        self.drop_idle_queues();
        found
    }

    /// Removes queued work whose deadline has passed.
    pub fn expire(&mut self, now: ClockMillis) -> Vec<QueueEvent> {
        let mut events = Vec::new();
        for queue in self.queues.values_mut() {
            queue.waiting.retain(|entry| {
                let keep = entry.work.deadline > now;
                if !keep {
                    events.push(QueueEvent::Expired(entry.work.attempt));
                }
                keep
            });
        }
        self.drop_idle_queues();
        events
    }

    /// Returns the number of running requests.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of queued requests.
    pub fn waiting_count(&self) -> usize {
        self.queues.values().map(|queue| queue.waiting.len()).sum()
    }

    /// Starts queued work while there are free slots.
    fn fill_slots(&mut self, now: ClockMillis, events: &mut Vec<QueueEvent>) {
        events.extend(self.expire(now));
        while self.running.len() < self.slots {
            let heads = self.queues.values().map(WorkspaceQueue::head);
            let Some(index) = select_queue(heads, self.slots) else {
                break;
            };
            let queue = &mut self.queues[index];
            let work = queue.waiting.remove(0).work;
            queue.running += 1;
            events.push(QueueEvent::Started(work.attempt));
            self.running.push_back(RunningWork {
                attempt: work.attempt,
                workspace: work.workspace,
                since: now,
            });
        }
        self.drop_idle_queues();
    }

    /// Sheds queued work until `work` meets its target, or refuses `work` and sheds nothing.
    fn shed_for(
        &mut self,
        work: &QueuedWork,
        key: WorkKey,
        now: ClockMillis,
        events: &mut Vec<QueueEvent>,
    ) -> Result<(), TooLate> {
        let Err(refusal) = self.check_delay(work, key, now) else {
            return Ok(());
        };
        let mut trial = self.clone();
        let mut shed = Vec::new();
        while let Some(victim) = trial.select_victim(work, key) {
            trial.remove_waiting(victim.work.attempt);
            shed.push(victim);
            if trial.check_delay(work, key, now).is_ok() {
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

    /// Returns the retry delay of shed work: until its target can be met again, but at least until a slot becomes free.
    fn refusal_of(&self, victim: &WaitingWork, now: ClockMillis) -> TooLate {
        let slot_ms = self.service.mean_ms().unwrap_or(0.0) / self.slots as f64;
        let slot = SpanMillis::new(slot_ms.ceil() as u64);
        let waited = self.check_delay(&victim.work, victim.key, now);
        TooLate {
            retry_after: waited.map_or_else(|late| late.retry_after.max(slot), |()| slot),
        }
    }

    /// Selects the queued work to shed next in favour of `work`: of the work that delays it, the one that tolerates the
    /// most loss, and of those the one with the latest `late_at`.
    fn select_victim(&self, work: &QueuedWork, key: WorkKey) -> Option<WaitingWork> {
        let mut best: Option<&WaitingWork> = None;
        let waiting = self.queues.values().flat_map(|queue| &queue.waiting);
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

    /// Checks whether `work` would meet its lateness target if it were queued.
    fn check_delay(
        &self,
        work: &QueuedWork,
        key: WorkKey,
        now: ClockMillis,
    ) -> Result<(), TooLate> {
        let Some(service_ms) = self.service.mean_ms() else {
            return Ok(());
        };
        let ahead = self.count_ahead(&work.workspace, key);
        let delay_ms = (ahead + 1) as f64 * service_ms / self.slots as f64;
        let first_ms = self.first_part.mean_ms().unwrap_or(0.0);
        let slack_ms = work.late_at.since(now).as_millis() as f64;
        let excess_ms = delay_ms + first_ms - slack_ms;
        if excess_ms <= 0.0 {
            return Ok(());
        }
        Err(TooLate {
            // Waiting can save at most the queueing delay, never the time to the first part, hence the minimum.
            retry_after: SpanMillis::new(excess_ms.min(delay_ms).ceil() as u64),
        })
    }

    /// Counts the queued work that starts before work with this key.
    fn count_ahead(&self, workspace: &WorkspaceName, key: WorkKey) -> usize {
        let mut simulated: Vec<SimulatedQueue> =
            self.queues.values().map(WorkspaceQueue::simulate).collect();
        let own = match self.queues.get_index_of(workspace) {
            Some(index) => index,
            None => {
                simulated.push(SimulatedQueue::default());
                simulated.len() - 1
            }
        };
        let mut order = VecDeque::with_capacity(self.running.len());
        for run in &self.running {
            order.extend(self.queues.get_index_of(&run.workspace));
        }
        count_starts_before(simulated, order, own, key, self.slots)
    }

    fn drop_idle_queues(&mut self) {
        self.queues
            .retain(|_, queue| queue.running > 0 || !queue.waiting.is_empty());
    }
}

impl WorkspaceQueue {
    fn head(&self) -> QueueHead {
        QueueHead {
            running: self.running,
            first: self.waiting.first().map(|entry| entry.key),
        }
    }

    fn simulate(&self) -> SimulatedQueue {
        SimulatedQueue {
            running: self.running,
            waiting: self.waiting.iter().map(|entry| entry.key).collect(),
        }
    }
}
