//! Thread-safe queue of admitted attempts.

use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use fescuetide_base::AttemptId;
use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_limits::AdmissionQueue;
use fescuetide_limits::QueueEvent;
use fescuetide_limits::QueuedWork;
use fescuetide_limits::TooLate;
use indexmap::IndexMap;

/// The outcome of waiting in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueueOutcome {
    /// The attempt may run now.
    Run,
    /// The attempt was shed while it waited, so that work that tolerates less loss can meet its lateness target. The
    /// [`TooLate`] only carries the retry delay.
    Shed(TooLate),
    /// The deadline of the attempt passed.
    Expired,
    /// The caller of the attempt disconnected.
    CallerGone,
}

#[derive(Debug)]
struct QueueState {
    queue: AdmissionQueue,
    /// Outcomes not yet taken by the threads of their attempts.
    outcomes: IndexMap<AttemptId, QueueOutcome>,
}

/// Blocks the threads of attempts until the queue decides whether they run.
#[derive(Debug)]
pub(crate) struct RunQueue {
    state: Mutex<QueueState>,
    changed: Condvar,
}

impl RunQueue {
    pub(crate) fn new(slots: usize) -> Self {
        Self {
            state: Mutex::new(QueueState {
                queue: AdmissionQueue::new(slots),
                outcomes: IndexMap::new(),
            }),
            changed: Condvar::new(),
        }
    }

    /// Enqueues an admitted attempt. Its thread must then call [`wait_for_slot`](Self::wait_for_slot).
    pub(crate) fn push(&self, work: QueuedWork, now: ClockMillis) -> Result<(), TooLate> {
        let mut state = self.lock();
        let events = state.queue.push(work, now)?;
        self.publish(state, events);
        Ok(())
    }

    /// Blocks until it is decided whether an attempt runs.
    pub(crate) fn wait_for_slot(&self, attempt: AttemptId, deadline: ClockMillis) -> QueueOutcome {
        let mut state = self.lock();
        loop {
            if let Some(outcome) = state.outcomes.swap_remove(&attempt) {
                return outcome;
            }
            let now = ClockMillis::now();
            if now >= deadline {
                let events = state.queue.expire(now);
                self.publish(state, events);
                state = self.lock();
                continue;
            }
            (state, _) = self
                .changed
                .wait_timeout(state, deadline.since(now).into())
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Ends a running attempt. `first_part` is the time from its start to the first part of its response.
    pub(crate) fn finish(
        &self,
        attempt: AttemptId,
        first_part: Option<SpanMillis>,
        now: ClockMillis,
    ) {
        let mut state = self.lock();
        let events = state.queue.finish(attempt, first_part, now);
        self.publish(state, events);
    }

    /// Removes an attempt whose caller disconnected, unless it already runs. Returns whether it was waiting.
    pub(crate) fn remove_waiting(&self, attempt: AttemptId) -> bool {
        let mut state = self.lock();
        let waited = state.queue.remove_waiting(attempt);
        if waited {
            state.outcomes.insert(attempt, QueueOutcome::CallerGone);
            self.changed.notify_all();
        }
        waited
    }

    /// Removes an attempt whose thread could not be started.
    pub(crate) fn abandon(&self, attempt: AttemptId, now: ClockMillis) {
        self.remove_waiting(attempt);
        self.finish(attempt, None, now);
        self.lock().outcomes.swap_remove(&attempt);
    }

    fn publish(&self, mut state: MutexGuard<'_, QueueState>, events: Vec<QueueEvent>) {
        for event in events {
            let (attempt, outcome) = match event {
                QueueEvent::Started(attempt) => (attempt, QueueOutcome::Run),
                QueueEvent::Shed(attempt, late) => (attempt, QueueOutcome::Shed(late)),
                QueueEvent::Expired(attempt) => (attempt, QueueOutcome::Expired),
            };
            state.outcomes.insert(attempt, outcome);
        }
        drop(state);
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
