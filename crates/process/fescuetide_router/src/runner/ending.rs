//! How a request ends.

use fescuetide_base::SpanMillis;
use fescuetide_records::AttemptResult;
use fescuetide_records::RecordOutcome;
use fescuetide_wire::api::CallOutcome;
use fescuetide_wire::api::TokenUsage;

use super::CallRunner;
use super::DEADLINE_REASON;
use crate::attempt::LiveAttempt;
use crate::call::CallEnd;
use crate::call::CallEvent;

/// When a caller should come back if no side process said so.
const RETRY_AFTER_MS: u64 = 1_000;

impl CallRunner {
    pub(super) fn end_not_run(&mut self) -> CallEvent {
        let retry_after = self.plan.retry_after(SpanMillis::new(RETRY_AFTER_MS));
        let reason = self.last_reason.clone();
        // After a loss the request may have run, so it cannot end as not run.
        let outcome = match &self.keyed {
            Some(keyed) => keyed.outcome_without_run(),
            None if self.lost_on.is_empty() => CallOutcome::NotRun,
            None => CallOutcome::Failed,
        };
        self.end(outcome, reason, Some(retry_after), TokenUsage::default())
    }

    pub(super) fn end_at_deadline(&mut self) -> CallEvent {
        let in_progress = self.current.is_some();
        self.cancel();
        let reason = DEADLINE_REASON.to_owned();
        if !in_progress {
            self.last_reason = reason;
            return self.end_not_run();
        }
        let outcome = if self.spec.targets.repeatable {
            CallOutcome::Failed
        } else {
            CallOutcome::Unknown
        };
        self.end_with_retry(outcome, reason)
    }

    /// Ends a request whose response cannot go on behind what its caller has received.
    pub(super) fn end_unusable(&mut self, attempt: &LiveAttempt, reason: String) -> CallEvent {
        let tag = attempt.tag();
        self.shared.metrics.count("response.unusable");
        tracing::error!(%tag, vm = %attempt.vm().name, %reason, "response cannot go on");
        self.history
            .note_result(tag.attempt, AttemptResult::Lost(reason.clone()));
        let outcome = if self.spec.targets.repeatable {
            CallOutcome::Failed
        } else {
            CallOutcome::Unknown
        };
        self.end_with_retry(outcome, reason)
    }

    pub(super) fn end_with_retry(&mut self, outcome: CallOutcome, reason: String) -> CallEvent {
        let retry_after = self.plan.retry_after(SpanMillis::new(RETRY_AFTER_MS));
        self.end(outcome, reason, Some(retry_after), TokenUsage::default())
    }

    pub(super) fn end(
        &mut self,
        outcome: CallOutcome,
        reason: String,
        retry_after: Option<SpanMillis>,
        usage: TokenUsage,
    ) -> CallEvent {
        self.ended = true;
        self.shared.metrics.count(match outcome {
            CallOutcome::Completed => "request.completed",
            CallOutcome::NotRun => "request.not_run",
            CallOutcome::Failed => "request.failed",
            CallOutcome::Unknown => "request.unknown",
        });
        self.send_record(record_outcome(outcome), &reason);
        CallEvent::End(CallEnd {
            outcome,
            reason,
            retry_after,
            usage,
            attempts: self.attempts,
        })
    }

    /// Ends a request whose caller has left.
    pub(crate) fn abandon(&mut self) -> CallEnd {
        self.cancel();
        self.ended = true;
        self.shared.metrics.count("request.abandoned");
        self.send_record(RecordOutcome::Abandoned, "caller has left");
        CallEnd {
            outcome: CallOutcome::Failed,
            reason: "caller has left".to_owned(),
            retry_after: None,
            usage: TokenUsage::default(),
            attempts: self.attempts,
        }
    }

    fn send_record(&mut self, outcome: RecordOutcome, reason: &str) {
        let router = &self.shared.settings.vm;
        let record = self.history.finish(router, &self.spec, outcome, reason);
        if !self.shared.records.send(record) {
            self.shared.metrics.count("records.overflow");
        }
    }

    pub(super) fn cancel(&mut self) {
        if let Some(mut attempt) = self.current.take() {
            self.history
                .note_result(attempt.tag().attempt, AttemptResult::Cancelled);
            // A request that is not repeatable runs to its end, since its caller may ask for the response again.
            if self.keyed.is_none() {
                attempt.cancel(&self.shared);
            }
        }
    }
}

impl Drop for CallRunner {
    fn drop(&mut self) {
        if !self.ended {
            self.abandon();
        }
    }
}

fn record_outcome(outcome: CallOutcome) -> RecordOutcome {
    match outcome {
        CallOutcome::Completed => RecordOutcome::Completed,
        CallOutcome::NotRun => RecordOutcome::NotRun,
        CallOutcome::Failed => RecordOutcome::Failed,
        CallOutcome::Unknown => RecordOutcome::Unknown,
    }
}
