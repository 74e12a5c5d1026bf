//! Offers to side processes, and the pauses between them.

use fescuetide_base::AttemptId;
use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::StableHash;
use fescuetide_limits::AdmitRule;
use fescuetide_members::VmEntry;
use fescuetide_records::AttemptResult;

use super::CallFlow;
use super::CallOffer;
use super::CallStep;
use super::CallTables;
use super::OfferCondition;
use super::state::AfterPause;
use super::state::CallState;
use super::state::OfferTarget;
use super::state::RunningAttempt;

/// Base delay of the exponential backoff. It doubles with each lost attempt and is reduced by jitter.
const RETRY_DELAY_MS: u64 = 50;

/// Maximum delay before a retry.
const MAX_RETRY_DELAY_MS: u64 = 1_000;

/// Maximum number of doublings, which keeps the shift in range.
const RETRY_DOUBLING_LIMIT: usize = 8;

impl CallFlow {
    /// Records that the offer was sent, or may have been sent.
    pub fn note_sent(&mut self, attempt: AttemptId, tables: &mut CallTables) {
        let CallState::Offering(target) = &self.state else {
            return;
        };
        tables.policy.start_attempt(&target.vm.name);
        self.history.note_sent(attempt, &target.vm.name, target.at);
        self.attempts += 1;
        self.state = CallState::Running(RunningAttempt {
            vm: target.vm.clone(),
            rule: target.rule,
            attempt,
            is_counted: true,
            known_crashes: target.known_crashes,
        });
    }

    /// Records that the offer was not sent because no connection could be established.
    pub fn note_not_sent(
        &mut self,
        attempt: AttemptId,
        reason: String,
        tables: &mut CallTables,
        now: ClockMillis,
    ) {
        let CallState::Offering(target) = &self.state else {
            return;
        };
        let vm = &target.vm.name;
        self.last_reason = format!("VM {vm} cannot be reached: {reason}");
        self.history.note_sent(attempt, vm, target.at);
        self.history
            .note_result(attempt, AttemptResult::NotSent(reason), now);
        tables.breaker.note_failure(vm, now);
        self.state = CallState::Ready;
    }

    /// Offers the request to the next candidate, or ends it if there is none.
    pub(super) fn offer_next(
        &mut self,
        tables: &mut CallTables,
        now: ClockMillis,
    ) -> Option<CallStep> {
        let next = match self.repeat_candidate.take() {
            Some(candidate) => Some(candidate),
            None => self.plan.next_candidate(),
        };
        let Some((vm, rule)) = next else {
            if self.plan.is_blocked_by_suspect() {
                // An upstream runs only one suspect at a time, so a retry may succeed.
                self.pause_before_retry(now);
            } else {
                self.end_without_attempt(tables, now);
            }
            return None;
        };
        let wait = self.plan.wait();
        if wait.as_millis() > 0 {
            self.pause(now + wait, AfterPause::Offer(vm, rule));
            return None;
        }
        Some(self.offer(vm, rule, tables, now))
    }

    pub(super) fn offer(
        &mut self,
        vm: VmEntry,
        rule: AdmitRule,
        tables: &mut CallTables,
        now: ClockMillis,
    ) -> CallStep {
        let fingerprint = self.metadata.fingerprint;
        let is_suspect = tables.suspects().is_suspect(fingerprint, now);
        let known_crashes = tables.suspects().crashes(fingerprint, now);
        let time_left = self.metadata.deadline.since(now);
        // After a lost attempt, the request may have run and can no longer be refused as not run. Declining it for
        // lateness would only turn it into a failure, so it may wait until the caller times out.
        let queue_limit = match self.lost_on.is_empty() {
            true => self.metadata.late_at().since(now),
            false => time_left,
        };
        let offer = CallOffer {
            rule,
            condition: self.plan.condition(),
            copy_from: self.plan.prefix_source(&vm.name),
            is_suspect,
            queue_limit,
            time_left,
            vm: vm.clone(),
        };
        self.state = CallState::Offering(OfferTarget {
            vm,
            rule,
            at: now,
            known_crashes,
        });
        CallStep::Offer(Box::new(offer))
    }

    /// Whether the offer in progress is conditional.
    pub(super) fn is_conditional(&self) -> bool {
        self.plan.condition() != OfferCondition::Always
    }

    /// Pauses before the candidates are ranked again, with exponential backoff. The jitter prevents requests that were
    /// lost together from being retried at the same time.
    pub(super) fn pause_before_retry(&mut self, now: ClockMillis) {
        let doubled = RETRY_DELAY_MS << self.lost_on.len().min(RETRY_DOUBLING_LIMIT);
        let limit = doubled.min(MAX_RETRY_DELAY_MS);
        let jitter = StableHash::new()
            .field(self.metadata.request.as_uuid().as_bytes())
            .field(&self.attempts.to_le_bytes())
            .finish();
        let wait = limit / 2 + jitter % (limit / 2);
        self.pause(now + SpanMillis::new(wait), AfterPause::Rank);
    }

    fn pause(&mut self, until: ClockMillis, end: AfterPause) {
        let until = until.min(self.metadata.deadline);
        self.state = CallState::Paused(until, end);
    }
}
