//! Completion, failure and refusal of requests.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;

use super::DEFAULT_RETRY_AFTER;
use super::RequestScheduler;
use crate::BreakCause;
use crate::FlowAction;
use crate::FlowFailure;
use crate::FlowKey;
use crate::FlowRefusal;
use crate::RefusalCause;
use crate::flow::FlowState;

impl RequestScheduler {
    pub(super) fn end_timed_out(&mut self, key: FlowKey, now: ClockMillis) {
        self.note_end_in_doubt(key, now);
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let is_sent = flow.attempt().is_some_and(|attempt| attempt.is_sent);
        flow.may_have_run |= is_sent;
        if flow.attempt().is_some() {
            self.actions.push_back(FlowAction::Cancel(key));
        }
        let flow = &self.flows[&key];
        if flow.is_relayed || flow.may_have_run {
            self.fail(key, FlowFailure::TimedOut, now);
            return;
        }
        self.refuse_or_fail(key, RefusalCause::Overloaded, DEFAULT_RETRY_AFTER, now);
    }

    pub(super) fn end_broken(&mut self, key: FlowKey, cause: BreakCause, now: ClockMillis) {
        self.refuse_or_fail_with(
            key,
            FlowFailure::AttemptBroken(cause),
            RefusalCause::NoRetryLeft,
            DEFAULT_RETRY_AFTER,
            now,
        );
    }

    /// Refuses a request for `cause`, or fails it if an earlier attempt may have run it. The failure is reported as
    /// [`BreakCause::Closed`], because the cause of the earlier attempt is not stored.
    pub(super) fn refuse_or_fail(
        &mut self,
        key: FlowKey,
        cause: RefusalCause,
        retry_after: SpanMillis,
        now: ClockMillis,
    ) {
        let failure = FlowFailure::AttemptBroken(BreakCause::Closed);
        self.refuse_or_fail_with(key, failure, cause, retry_after, now);
    }

    /// Refuses a request for `cause`, or fails it with `failure` if there is no evidence that it did not run.
    pub(super) fn refuse_or_fail_with(
        &mut self,
        key: FlowKey,
        failure: FlowFailure,
        cause: RefusalCause,
        retry_after: SpanMillis,
        now: ClockMillis,
    ) {
        let Some(flow) = self.flows.get(&key) else {
            return;
        };
        let Some(evidence) = flow.evidence() else {
            self.fail(key, failure, now);
            return;
        };
        let refusal = FlowRefusal {
            evidence,
            cause,
            retry_after: retry_after.max(self.pause_left(flow, now)),
        };
        self.actions.push_back(FlowAction::Refuse(key, refusal));
        self.remove(key, now);
    }

    /// Relays the received response, the end of the stream or an earlier error response, and removes the request.
    pub(super) fn relay_and_end(&mut self, key: FlowKey, now: ClockMillis) {
        self.actions.push_back(FlowAction::Relay(key));
        self.remove(key, now);
    }

    /// Fails a request. If an error response of an upstream is available, it is relayed instead.
    pub(super) fn fail(&mut self, key: FlowKey, failure: FlowFailure, now: ClockMillis) {
        let flow = self.flows.get(&key);
        if flow.is_some_and(|flow| flow.has_error_response && !flow.is_relayed) {
            self.relay_and_end(key, now);
            return;
        }
        self.actions.push_back(FlowAction::Fail(key, failure));
        self.remove(key, now);
    }

    /// Removes a request. If it was running, its capacity is given to queued requests.
    pub(super) fn remove(&mut self, key: FlowKey, now: ClockMillis) {
        let Some(flow) = self.flows.swap_remove(&key) else {
            return;
        };
        self.seeking.swap_remove(&key);
        match flow.state {
            FlowState::Waiting(pool) => {
                if let Some(pool) = self.pools.get_mut(&pool) {
                    pool.waiting.remove(key);
                }
            }
            FlowState::Running(attempt) => {
                if let Some(pool) = self.pools.get_mut(&attempt.pool) {
                    pool.remove_request(&attempt.vm);
                }
                self.send_waiting(now);
            }
        }
    }
}
