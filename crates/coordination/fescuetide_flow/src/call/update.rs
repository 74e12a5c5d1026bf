//! Handling of updates about an attempt.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_records::AttemptResult;

use super::CallFlow;
use super::CallKind;
use super::CallTables;
use super::CallVerdict;
use super::DeclineReason;
use super::DeclineReply;
use super::state::CallState;
use super::state::RunningAttempt;

/// Status of an overloaded upstream. If a later attempt answers with another status than the one already relayed, this
/// status counts as a lost attempt, which may be retried. Every other status ends the request. Error statuses below 500
/// would be returned by every upstream.
const TOO_MANY_REQUESTS: u16 = 429;

/// An update about the attempt in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptUpdate {
    /// The response head arrived, with this status.
    Head(u16),
    /// Response bytes arrived.
    Chunk,
    /// A keep-alive message arrived.
    Alive,
    /// The response is complete.
    Completed,
    /// The request was admitted but never passed to the upstream.
    NotRun(String),
    /// The request was shed from the queue in favor of others and never passed to the upstream. Contains the retry
    /// delay.
    Shed(SpanMillis),
    /// The request ran, and the response is incomplete.
    Failed(String),
    /// The request ran, and the upstream crashed.
    Crashed(String),
    /// The side process declined the request and will never run this attempt.
    Declined(DeclineReply),
    /// The side process is unreachable or has restarted, so the attempt may have run.
    Lost(String),
    /// The response of this attempt differs from the part that was already relayed to the caller, so it cannot continue
    /// that part.
    Corrupt(String),
}

/// How the process handles an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateAction {
    /// Relay the update to the caller.
    Forward,
    /// Ignore the update and wait for the next one.
    Ignore,
    /// The attempt has ended. [`CallFlow::step`] returns the next step.
    Finished,
}

impl CallFlow {
    /// Handles an update about the attempt in progress.
    pub fn handle_update(
        &mut self,
        update: AttemptUpdate,
        tables: &mut CallTables,
        now: ClockMillis,
    ) -> UpdateAction {
        match update {
            AttemptUpdate::Alive => return UpdateAction::Forward,
            AttemptUpdate::Chunk => {
                self.history.note_data(&self.metadata, now);
                return UpdateAction::Forward;
            }
            AttemptUpdate::Head(status) if !self.is_status_mismatch(status) => {
                if self.metadata.kind == CallKind::Service {
                    self.history.note_data(&self.metadata, now);
                }
                return match self.head_status.replace(status) {
                    None => UpdateAction::Forward,
                    Some(_) => UpdateAction::Ignore,
                };
            }
            _ => {}
        }
        if let Some(attempt) = self.take_attempt(tables) {
            self.finish_attempt(&attempt, update, tables, now);
        }
        UpdateAction::Finished
    }

    /// Removes the attempt in progress from the state.
    pub(super) fn take_attempt(&mut self, tables: &mut CallTables) -> Option<RunningAttempt> {
        let CallState::Running(attempt) = &self.state else {
            return None;
        };
        let attempt = attempt.clone();
        if attempt.is_counted {
            tables.policy.finish_attempt(&attempt.vm.name);
        }
        self.state = CallState::Ready;
        Some(attempt)
    }

    fn finish_attempt(
        &mut self,
        attempt: &RunningAttempt,
        update: AttemptUpdate,
        tables: &mut CallTables,
        now: ClockMillis,
    ) {
        match update {
            AttemptUpdate::Completed => {
                tables.breaker.note_success(&attempt.vm.name);
                // An error may come from an upstream that did not get as far as to crash.
                if self.head_status.is_none_or(|status| status < 400) {
                    tables.suspects().note_completed(self.metadata.fingerprint);
                }
                self.note_result(attempt, AttemptResult::Completed, now);
                self.end(CallVerdict::Completed, String::new(), None, tables, now);
            }
            AttemptUpdate::NotRun(reason) => {
                self.note_result(attempt, AttemptResult::NotRun(reason.clone()), now);
                self.last_reason = reason;
                self.plan.note_unusable(&attempt.vm.name);
                // Reaching the deadline in the queue does not indicate an unhealthy upstream.
                if now < self.metadata.deadline {
                    tables.breaker.note_failure(&attempt.vm.name, now);
                }
            }
            AttemptUpdate::Shed(retry_after) => {
                let reason = DeclineReason::TooLate.to_string();
                self.note_result(attempt, AttemptResult::NotRun(reason.clone()), now);
                self.last_reason = reason;
                self.plan.note_shed(&attempt.vm.name, retry_after);
            }
            AttemptUpdate::Declined(reply) => self.note_declined(attempt, reply, now),
            AttemptUpdate::Head(status) => {
                // The caller has received the head of an earlier attempt, which an error response must not follow.
                self.cancel_pending = true;
                let reason = format!("later attempt answered with status {status}");
                match status {
                    TOO_MANY_REQUESTS => self.handle_loss(attempt, reason, tables, now),
                    _ => self.end_unusable(attempt, reason, tables, now),
                }
            }
            AttemptUpdate::Crashed(reason) => {
                let fingerprint = self.metadata.fingerprint;
                tables
                    .suspects()
                    .note_crash(fingerprint, attempt.known_crashes, now);
                self.handle_loss(attempt, reason, tables, now);
            }
            AttemptUpdate::Failed(reason) | AttemptUpdate::Lost(reason) => {
                self.handle_loss(attempt, reason, tables, now);
            }
            AttemptUpdate::Corrupt(reason) => self.end_unusable(attempt, reason, tables, now),
            AttemptUpdate::Chunk | AttemptUpdate::Alive => {}
        }
    }

    pub(super) fn note_result(
        &mut self,
        attempt: &RunningAttempt,
        result: AttemptResult,
        now: ClockMillis,
    ) {
        self.history.note_result(attempt.attempt, result, now);
    }

    fn is_status_mismatch(&self, status: u16) -> bool {
        self.head_status.is_some_and(|first| first != status)
    }

    fn note_declined(&mut self, attempt: &RunningAttempt, reply: DeclineReply, now: ClockMillis) {
        self.last_reason = reply.reason.to_string();
        if self.is_conditional() {
            // A declined conditional offer is a probe and does not count as an attempt.
            self.attempts -= 1;
            self.history.remove(attempt.attempt);
        } else {
            let result = AttemptResult::Refused(reply.reason.to_string());
            self.note_result(attempt, result, now);
        }
        if let Some(claims) = &mut self.claims {
            claims.note_declined(reply.reason);
        } else if reply.reason == DeclineReason::Sealed && !self.has_repeated {
            // Without a key, `Sealed` means that the offer was lost on a stale connection and that the attempt was then
            // sealed over a new connection. The VM is reachable, so the offer is repeated once.
            self.has_repeated = true;
            self.repeat_candidate = Some((attempt.vm.clone(), attempt.rule));
            return;
        }
        self.plan.note_declined(&attempt.vm, reply, now);
    }

    /// Handles an attempt that may have run.
    fn handle_loss(
        &mut self,
        attempt: &RunningAttempt,
        reason: String,
        tables: &mut CallTables,
        now: ClockMillis,
    ) {
        let vm = &attempt.vm.name;
        tables.breaker.note_failure(vm, now);
        self.note_result(attempt, AttemptResult::Lost(reason.clone()), now);
        self.last_reason = reason.clone();
        self.lost_on.push(vm.clone());
        if !self.metadata.is_repeatable {
            self.end_with_retry(CallVerdict::Unknown, reason, tables, now);
            return;
        }
        if self.refuse_crashing_request(tables, now) || !self.may_retry(tables) {
            let reason = self.last_reason.clone();
            self.end_with_retry(CallVerdict::Failed, reason, tables, now);
            return;
        }
        self.pause_before_retry(now);
    }

    /// Whether the request is refused because it crashes upstreams. Updates the reason and retry delay if so.
    pub(super) fn refuse_crashing_request(
        &mut self,
        tables: &mut CallTables,
        now: ClockMillis,
    ) -> bool {
        let Some(left) = tables.suspects().refusal(self.metadata.fingerprint, now) else {
            return false;
        };
        self.plan.note_refused_for(left);
        self.last_reason = "request crashed upstreams and is refused for a time".to_owned();
        true
    }

    fn may_retry(&self, tables: &mut CallTables) -> bool {
        let is_service = self.metadata.kind == CallKind::Service;
        if is_service && self.head_status.is_some() {
            // The response head has been relayed, and the response of another attempt may differ.
            return false;
        }
        tables.retries.budget(&self.metadata).try_retry()
    }
}
