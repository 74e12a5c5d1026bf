//! How requests end.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_records::AttemptResult;
use fescuetide_records::RecordOutcome;
use fescuetide_records::RequestRecord;

use super::CallFlow;
use super::CallTables;
use super::life::CallState;
use super::life::RunningAttempt;
use crate::RunEvidence;

/// When a caller should come back if no side process said so.
pub(super) const RETRY_AFTER: SpanMillis = SpanMillis::new(1_000);

/// Why a request was given up when its time was over.
const DEADLINE_REASON: &str = "deadline has passed";

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallVerdict {
    /// The response is complete.
    Completed,
    /// It has not run and never will.
    NotRun(RunEvidence),
    /// It may have run and has no complete response.
    Failed,
    /// It may run once and may have run.
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

/// The end of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct CallEnd {
    /// What became of it.
    pub verdict: CallVerdict,
    /// Why it was not completed, empty when it was.
    pub reason: String,
    /// When its caller should come back.
    pub retry_after: Option<SpanMillis>,
    /// Attempts that were made.
    pub attempts: u32,
    /// The record of the request.
    pub record: RequestRecord,
}

impl CallFlow {
    /// Ends a request whose caller has left.
    pub fn abandon(&mut self, tables: &mut CallTables, now: ClockMillis) -> CallEnd {
        self.cancel(tables, now);
        let reason = "caller has left";
        let outcome = RecordOutcome::Abandoned;
        let router = &tables.settings.router;
        let record = self
            .history
            .finish(router, &self.facts, outcome, reason, now);
        CallEnd {
            verdict: CallVerdict::Failed,
            reason: reason.to_owned(),
            retry_after: None,
            attempts: self.attempts,
            record,
        }
    }

    /// Ends a request that no upstream took.
    pub(super) fn end_not_run(&mut self, tables: &mut CallTables, now: ClockMillis) {
        let reason = self.last_reason.clone();
        let verdict = self.verdict_without_run();
        self.end_with_retry(verdict, reason, tables, now);
    }

    /// The verdict on a request that is given up while no attempt is under way.
    pub(super) fn verdict_without_run(&self) -> CallVerdict {
        let (evidence, doubt) = match &self.claims {
            Some(claims) => (claims.evidence(), CallVerdict::Unknown),
            // After a loss the request may have run, so it cannot end as not run.
            None => (
                RunEvidence::of_history(!self.lost_on.is_empty(), self.attempts),
                CallVerdict::Failed,
            ),
        };
        evidence.map_or(doubt, CallVerdict::NotRun)
    }

    pub(super) fn end_at_deadline(&mut self, tables: &mut CallTables, now: ClockMillis) {
        let may_run = match &self.state {
            CallState::Ended(_) => return,
            CallState::Ready | CallState::Paused(..) | CallState::Keyed(_) => false,
            CallState::Offering(_) | CallState::Running(_) => true,
        };
        self.cancel(tables, now);
        self.last_reason = DEADLINE_REASON.to_owned();
        if !may_run {
            self.end_not_run(tables, now);
            return;
        }
        let verdict = self.verdict_after_loss();
        self.end_with_retry(verdict, DEADLINE_REASON.to_owned(), tables, now);
    }

    /// Ends a request whose response cannot go on behind what its caller has received.
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
            .finish(router, &self.facts, outcome, &reason, now);
        self.state = CallState::Ended(Box::new(CallEnd {
            verdict,
            reason,
            retry_after,
            attempts: self.attempts,
            record,
        }));
    }

    fn verdict_after_loss(&self) -> CallVerdict {
        match self.facts.is_repeatable {
            true => CallVerdict::Failed,
            false => CallVerdict::Unknown,
        }
    }

    /// Gives the attempt up.
    fn cancel(&mut self, tables: &mut CallTables, now: ClockMillis) {
        let Some(attempt) = self.take_attempt(tables) else {
            return;
        };
        self.note_result(&attempt, AttemptResult::Cancelled, now);
        // A request that may run once runs to its end, since its caller may ask for the response again.
        self.cancels = self.claims.is_none();
    }
}
