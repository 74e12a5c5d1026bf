//! Handling of attempts that ended or timed out, and retries.

use fescuetide_base::ClockMillis;
use fescuetide_base::VmName;

use super::DEFAULT_RETRY_AFTER;
use super::RequestScheduler;
use crate::BreakCause;
use crate::DeclineCause;
use crate::FlowAction;
use crate::FlowFailure;
use crate::FlowKey;
use crate::FlowNotice;
use crate::RefusalCause;
use crate::flow::RequestFlow;
use crate::pool::UpstreamFilter;
use crate::timing;

/// What shows that a response is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndProof {
    /// Its length, or its last chunk.
    Framing,
    /// Only that its connection was closed, which a crash of the upstream does as well.
    Close,
}

impl RequestScheduler {
    /// Handles a response that is whole, as far as `proof` says.
    pub(super) fn complete(
        &mut self,
        key: FlowKey,
        vm: &VmName,
        status: u16,
        proof: EndProof,
        now: ClockMillis,
    ) {
        if self.breaks_stream(key) {
            // The caller has received part of a stream, which only another stream can continue.
            self.break_attempt(key, vm, BreakCause::Garbled, now);
            return;
        }
        let is_failure = status >= 500;
        if is_failure {
            self.outcomes.note_failure(vm);
        } else {
            self.outcomes.note_success(vm);
        }
        self.flows[&key].may_have_run = true;
        // An error may come from an upstream that did not get as far as to crash.
        if status < 400 {
            match proof {
                EndProof::Framing => {
                    let request = &self.flows[&key].request;
                    self.crashes.note_completed(vm, request, now);
                }
                EndProof::Close => self.note_unconfirmed(key, now),
            }
        }
        let flow = &self.flows[&key];
        // Once the head of a stream was relayed, an error response must not trigger a retry.
        let retries = is_failure && flow.request.kind.is_repeatable() && !flow.is_relayed;
        if retries && self.take_retry(key) {
            self.flows[&key].has_error_response = true;
            self.resend(key, now);
            return;
        }
        self.relay_and_end(key, now);
    }

    /// Whether the current attempt has sent no stream although the head of one was relayed before.
    fn breaks_stream(&self, key: FlowKey) -> bool {
        self.flows.get(&key).is_some_and(|flow| {
            let attempt = flow.attempt();
            let is_started = attempt.is_some_and(|attempt| attempt.last_data_at.is_some());
            flow.is_relayed && !is_started
        })
    }

    pub(super) fn decline(
        &mut self,
        key: FlowKey,
        vm: &VmName,
        cause: DeclineCause,
        now: ClockMillis,
    ) {
        match cause {
            DeclineCause::Full => {}
            DeclineCause::Misdirected => {
                self.outcomes.note_unreachable(vm, now);
                // The upstream has ended: another one listens at its address.
                self.crashes.note_restart(vm, now);
            }
        }
        if self.take_retry(key) {
            match self.accepts_requests(key, now) {
                true => self.resend(key, now),
                // The upstream keeps the prefixes that it has cached.
                false => self.send_elsewhere(key, now),
            }
            return;
        }
        self.refuse_or_fail(key, RefusalCause::Declined, DEFAULT_RETRY_AFTER, now);
    }

    /// Handles an attempt that ended without a response. The request is sent again if its kind allows it, unless it was part
    /// of a crash before: then it may have crashed this upstream as well, and would crash the next one.
    pub(super) fn break_attempt(
        &mut self,
        key: FlowKey,
        vm: &VmName,
        cause: BreakCause,
        now: ClockMillis,
    ) {
        match cause {
            BreakCause::Refused => self.note_down(vm, now),
            BreakCause::NotConnected => self.note_unanswered(vm, now),
            BreakCause::Closed | BreakCause::Garbled => {
                self.outcomes.note_failure(vm);
            }
        }
        let flow = &mut self.flows[&key];
        let is_sent = flow.attempt().is_some_and(|attempt| attempt.is_sent);
        flow.may_have_run |= is_sent;
        let fingerprint = flow.request.fingerprint;
        self.note_lost(key, now);
        if let Some(left) = self.crashes.refusal(&self.flows[&key].request, now) {
            let failure = FlowFailure::AttemptBroken(cause);
            self.refuse_or_fail_with(key, failure, RefusalCause::CrashesUpstreams, left, now);
            return;
        }
        if !is_sent || (!self.crashes.is_suspect(fingerprint, now) && self.take_retry(key)) {
            self.resend(key, now);
            return;
        }
        self.end_broken(key, cause, now);
    }

    /// Whether the request may be sent again. Consumes a retry from the budget if so.
    pub(super) fn take_retry(&mut self, key: FlowKey) -> bool {
        let Some(flow) = self.flows.get(&key) else {
            return false;
        };
        if !flow.may_send() {
            return false;
        }
        let Some(attempt) = flow.attempt() else {
            return true;
        };
        let Some(pool) = self.pools.get_mut(&attempt.pool) else {
            return false;
        };
        let is_allowed = pool.budget.try_retry();
        if !is_allowed {
            self.notices.push(FlowNotice::RetryDenied {
                key,
                pool: attempt.pool.clone(),
                burst: pool.budget.settings().burst,
            });
        }
        is_allowed
    }

    /// Ends the current attempt, whose upstream may not have the request's prefix cached any more, and places the request
    /// again.
    pub(super) fn resend(&mut self, key: FlowKey, now: ClockMillis) {
        if let Some(flow) = self.flows.get(&key)
            && let Some(attempt) = flow.attempt()
            && let Some(prefix) = flow.request.prompt.shared_hash()
        {
            self.directory.note_failure(prefix, &attempt.vm);
        }
        self.send_elsewhere(key, now);
    }

    /// Ends the current attempt and places the request at another upstream.
    fn send_elsewhere(&mut self, key: FlowKey, now: ClockMillis) {
        let Some(vm) = self.release_attempt(key) else {
            return;
        };
        self.flows[&key].tried.push(vm);
        self.place(key, now);
    }

    pub(super) fn is_silent(&self, flow: &RequestFlow, now: ClockMillis) -> bool {
        let Some(attempt) = flow.attempt() else {
            return false;
        };
        let since = attempt.last_data_at.unwrap_or(attempt.started_at);
        let is_responsive = self
            .pools
            .get(&attempt.pool)
            .is_some_and(|pool| pool.is_responsive(&attempt.vm, since));
        let due = match attempt.last_data_at {
            None => {
                timing::first_data_deadline(&flow.request, &self.settings, since, is_responsive)
            }
            Some(last) => {
                timing::next_data_deadline(&flow.request, &self.settings, last, is_responsive)
            }
        };
        now >= due
    }

    /// Moves a request from a silent upstream to another one. The attempt continues if the upstream may run the request, which
    /// may run once only, without spare capacity elsewhere or a retry left, or if the request may have crashed this upstream
    /// after another one.
    pub(super) fn fail_over_silent(&mut self, key: FlowKey, now: ClockMillis) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let Some(attempt) = flow.attempt().cloned() else {
            return;
        };
        let is_suspect = self.crashes.is_suspect(flow.request.fingerprint, now);
        let is_unresponsive = self.is_unresponsive(&attempt);
        if is_unresponsive {
            self.note_silent(key, now);
        }
        if !self.flows[&key].allows_second_run() {
            return;
        }
        let has_other = self.pools.get(&attempt.pool).is_some_and(|pool| {
            let filter = UpstreamFilter {
                tried: std::slice::from_ref(&attempt.vm),
                ..self.flows[&key].filter()
            };
            let others = pool.candidates(filter, &[], self.zone.as_str(), self.conditions(now));
            others.iter().any(|other| other.load < other.capacity)
        });
        if !has_other || is_suspect || !self.take_retry(key) {
            return;
        }
        let flow = &mut self.flows[&key];
        flow.may_have_run |= attempt.is_sent;
        self.outcomes.note_failure(&attempt.vm);
        if is_unresponsive {
            self.outcomes.note_unreachable(&attempt.vm, now);
        }
        self.actions.push_back(FlowAction::Cancel(key));
        self.resend(key, now);
    }
}
