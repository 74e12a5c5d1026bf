//! Latency and failure tracking of log calls.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use indexmap::IndexMap;

#[derive(Debug, Default)]
struct HealthState {
    failing: bool,
    last_span: SpanMillis,
    next_call: u64,
    running: IndexMap<u64, ClockMillis>,
}

/// Tracks the latency and failure of log calls, so that a claim that the log cannot decide in time is answered
/// without it.
#[derive(Debug, Default)]
pub(crate) struct LogHealth {
    state: Mutex<HealthState>,
}

impl LogHealth {
    /// Runs `call` and records its duration and result.
    pub(crate) fn observe<T, E>(&self, call: impl FnOnce() -> Result<T, E>) -> Result<T, E> {
        let start = ClockMillis::now();
        let id = {
            let mut state = self.lock();
            state.next_call += 1;
            let id = state.next_call;
            state.running.insert(id, start);
            id
        };
        let result = call();
        let mut state = self.lock();
        state.running.swap_remove(&id);
        state.failing = result.is_err();
        state.last_span = ClockMillis::now().since(start);
        result
    }

    /// Estimates the duration of a call: the longest of the last finished call and the calls in progress. Returns
    /// `None` if the last finished call failed.
    pub(crate) fn expected_duration(&self, now: ClockMillis) -> Option<SpanMillis> {
        let state = self.lock();
        if state.failing {
            return None;
        }
        let mut span = state.last_span;
        for start in state.running.values() {
            span = span.max(now.since(*start));
        }
        Some(span)
    }

    fn lock(&self) -> MutexGuard<'_, HealthState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
