//! The queue of admitted attempts, shared between threads.

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

/// What an attempt in the queue comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueueVerdict {
    /// It runs now.
    Run,
    /// It was shed for other work.
    Shed(TooLate),
    /// Its deadline passed.
    Expired,
    /// Its caller has left.
    Left,
}

#[derive(Debug)]
struct QueueState {
    queue: AdmissionQueue,
    /// Verdicts that the attempt's thread has not taken yet.
    verdicts: IndexMap<AttemptId, QueueVerdict>,
}

/// Lets the threads of attempts wait for their turn.
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
                verdicts: IndexMap::new(),
            }),
            changed: Condvar::new(),
        }
    }

    /// Takes in an admitted attempt, whose thread must then call [`wait_turn`](Self::wait_turn).
    pub(crate) fn push(&self, work: QueuedWork, now: ClockMillis) -> Result<(), TooLate> {
        let mut state = self.lock();
        let events = state.queue.push(work, now)?;
        self.publish(state, events);
        Ok(())
    }

    /// Waits until an attempt may run or never will.
    pub(crate) fn wait_turn(&self, attempt: AttemptId, deadline: ClockMillis) -> QueueVerdict {
        let mut state = self.lock();
        loop {
            if let Some(verdict) = state.verdicts.swap_remove(&attempt) {
                return verdict;
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

    /// Ends a running attempt; `first_part` is the time from its start to the first part of its response.
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

    /// Takes out an attempt whose caller has left, unless it runs already. Returns whether it was waiting.
    pub(crate) fn leave(&self, attempt: AttemptId) -> bool {
        let mut state = self.lock();
        let waited = state.queue.remove_waiting(attempt);
        if waited {
            state.verdicts.insert(attempt, QueueVerdict::Left);
            self.changed.notify_all();
        }
        waited
    }

    /// Forgets an attempt that no thread waits for.
    pub(crate) fn abandon(&self, attempt: AttemptId, now: ClockMillis) {
        self.leave(attempt);
        self.finish(attempt, None, now);
        self.lock().verdicts.swap_remove(&attempt);
    }

    fn publish(&self, mut state: MutexGuard<'_, QueueState>, events: Vec<QueueEvent>) {
        for event in events {
            let (attempt, verdict) = match event {
                QueueEvent::Started(attempt) => (attempt, QueueVerdict::Run),
                QueueEvent::Shed(attempt, late) => (attempt, QueueVerdict::Shed(late)),
                QueueEvent::Expired(attempt) => (attempt, QueueVerdict::Expired),
            };
            state.verdicts.insert(attempt, verdict);
        }
        drop(state);
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
