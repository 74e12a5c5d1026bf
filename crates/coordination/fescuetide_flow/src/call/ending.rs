//! Completion, failure and cancellation of requests.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_records::AttemptResult;
use fescuetide_records::RecordOutcome;
use fescuetide_records::RequestRecord;

use super::CallFlow;
use super::CallTables;
use super::state::CallState;
use super::state::RunningAttempt;
use crate::NotRunEvidence;

/// Retry delay for callers if no side process suggested one.
pub(super) const RETRY_AFTER: SpanMillis = SpanMillis::new(1_000);

/// Reason for requests that reached their deadline.
const DEADLINE_REASON: &str = "deadline has passed";

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallVerdict {
    /// The response is complete.
    Completed,
    /// The request has not run and never will.
    NotRun(NotRunEvidence),
    /// A repeatable request may have run, and there is no complete response. The caller may send it again. Also given
    /// to every request whose caller has disconnected.
    Failed,
    /// As [`Failed`](Self::Failed), for an at-most-once request: the caller must not send it under a new idempotency
    /// key.
    Unknown,
}

impl CallVerdict {
    fn outcome(self) -> RecordOutcome {
        match self {
            Self::Completed => RecordOutcome::Completed,
            Self::NotRun(_) => RecordOutcome::NotRun,
            Self::Failed => RecordOutcome::Failed,
            Self::Unknown => RecordOutcome::Unknown,
        }
    }
}

/// The final result of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct CallEnd {
    /// The outcome.
    pub verdict: CallVerdict,
    /// Why the request was not completed. Empty if it was.
    pub reason: String,
    /// How long the caller should wait before retrying.
    pub retry_after: Option<SpanMillis>,
    /// Number of attempts.
    pub attempts: u32,
    /// The record of the request.
    pub record: RequestRecord,
}

impl CallFlow {
    /// Ends a request whose caller has disconnected.
    pub fn abandon(&mut self, tables: &mut CallTables, now: ClockMillis) -> CallEnd {
        self.cancel(tables, now);
        let reason = "caller has left";
        let outcome = RecordOutcome::Abandoned;
        let router = &tables.settings.router;
        let record = self
            .history
            .finish(router, &self.metadata, outcome, reason, now);
        CallEnd {
            verdict: CallVerdict::Failed,
            reason: reason.to_owned(),
            retry_after: None,
            attempts: self.attempts,
            record,
        }
    }

    /// Ends a request while no attempt is in progress, with the last reason.
    pub(super) fn end_without_attempt(&mut self, tables: &mut CallTables, now: ClockMillis) {
        let reason = self.last_reason.clone();
        let verdict = self.verdict_without_attempt();
        self.end_with_retry(verdict, reason, tables, now);
    }

    /// The outcome of a request that ends while no attempt is in progress.
    pub(super) fn verdict_without_attempt(&self) -> CallVerdict {
        let (evidence, fallback) = match &self.claims {
            Some(claims) => (claims.evidence(), CallVerdict::Unknown),
            // After a lost attempt, the request may have run.
            None => (
                NotRunEvidence::of_history(!self.lost_on.is_empty(), self.attempts),
                CallVerdict::Failed,
            ),
        };
        evidence.map_or(fallback, CallVerdict::NotRun)
    }

    pub(super) fn end_at_deadline(&mut self, tables: &mut CallTables, now: ClockMillis) {
        let has_attempt = match &self.state {
            CallState::Ended(_) => return,
            CallState::Ready | CallState::Paused(..) | CallState::Keyed(_) => false,
            CallState::Offering(_) | CallState::Running(_) => true,
        };
        self.cancel(tables, now);
        self.last_reason = DEADLINE_REASON.to_owned();
        if !has_attempt {
            self.end_without_attempt(tables, now);
            return;
        }
        let verdict = self.verdict_after_loss();
        self.end_with_retry(verdict, DEADLINE_REASON.to_owned(), tables, now);
    }

    /// Ends a request because the response of `attempt` does not continue the part that the caller already has.
    pub(super) fn end_unusable(
        &mut self,
        attempt: &RunningAttempt,
        reason: String,
        tables: &mut CallTables,
        now: ClockMillis,
    ) {
        self.note_result(attempt, AttemptResult::Lost(reason.clone()), now);
        let verdict = self.verdict_after_loss();
        self.end_with_retry(verdict, reason, tables, now);
    }

    pub(super) fn end_with_retry(
        &mut self,
        verdict: CallVerdict,
        reason: String,
        tables: &mut CallTables,
        now: ClockMillis,
    ) {
        let retry_after = self.plan.retry_after(RETRY_AFTER);
        self.end(verdict, reason, Some(retry_after), tables, now);
    }

    pub(super) fn end(
        &mut self,
        verdict: CallVerdict,
        reason: String,
        retry_after: Option<SpanMillis>,
        tables: &mut CallTables,
        now: ClockMillis,
    ) {
        let router = &tables.settings.router;
        let outcome = verdict.outcome();
        let record = self
            .history
            .finish(router, &self.metadata, outcome, &reason, now);
        self.state = CallState::Ended(Box::new(CallEnd {
            verdict,
            reason,
            retry_after,
            attempts: self.attempts,
            record,
        }));
    }

    fn verdict_after_loss(&self) -> CallVerdict {
        match self.metadata.is_repeatable {
            true => CallVerdict::Failed,
            false => CallVerdict::Unknown,
        }
    }

    /// Cancels the attempt in progress.
    fn cancel(&mut self, tables: &mut CallTables, now: ClockMillis) {
        let Some(attempt) = self.take_attempt(tables) else {
            return;
        };
        self.note_result(&attempt, AttemptResult::Cancelled, now);
        // An at-most-once request runs to completion, because the caller may resend it to get the response.
        self.cancel_pending = self.claims.is_none();
    }
}
