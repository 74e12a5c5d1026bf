//! One request with its attempts.

use std::fmt;

use fescuetide_base::AttemptId;
use fescuetide_base::ClassName;
use fescuetide_base::ClockMillis;
use fescuetide_base::PoolName;
use fescuetide_base::RequestId;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_base::WorkspaceName;
use fescuetide_classes::ClassTargets;
use serde::Deserialize;
use serde::Serialize;

use crate::BurnCount;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordOutcome {
    /// The response is complete.
    Completed,
    /// The request did not run.
    NotRun,
    /// The request ran, but there is no complete response.
    Failed,
    /// The request is not repeatable and may have run.
    Unknown,
    /// The caller left before the end.
    Abandoned,
}

impl fmt::Display for RecordOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Completed => "completed",
            Self::NotRun => "not-run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
            Self::Abandoned => "abandoned",
        })
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptResult {
    /// The response was complete.
    Completed,
    /// No connection to the side process could be made.
    NotSent(String),
    /// The side process refused it.
    Refused(String),
    /// It was admitted but never given to the upstream.
    NotRun(String),
    /// It may have run, and there is no complete response.
    Lost(String),
    /// It was cancelled.
    Cancelled,
}

impl fmt::Display for AttemptResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Completed => write!(f, "completed"),
            Self::NotSent(reason) => write!(f, "not sent: {reason}"),
            Self::Refused(reason) => write!(f, "refused: {reason}"),
            Self::NotRun(reason) => write!(f, "not run: {reason}"),
            Self::Lost(reason) => write!(f, "lost: {reason}"),
            Self::Cancelled => write!(f, "cancelled"),
        }
    }
}

/// One attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// The attempt.
    pub attempt: AttemptId,
    /// The VM it was sent to.
    pub vm: VmName,
    /// When it was sent.
    pub started: ClockMillis,
    /// How long it took.
    pub span: SpanMillis,
    /// How it ended.
    pub result: AttemptResult,
}

impl AttemptRecord {
    /// Whether the upstream may have run the attempt.
    pub fn may_have_run(&self) -> bool {
        match self.result {
            AttemptResult::Completed | AttemptResult::Lost(_) | AttemptResult::Cancelled => true,
            AttemptResult::NotSent(_) | AttemptResult::Refused(_) | AttemptResult::NotRun(_) => {
                false
            }
        }
    }
}

/// One request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The request.
    pub request: RequestId,
    /// The router that served it.
    pub router: VmName,
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The class.
    pub class: ClassName,
    /// The pool.
    pub pool: PoolName,
    /// When it arrived.
    pub received: ClockMillis,
    /// Time to the first part of the response.
    pub first_part: Option<SpanMillis>,
    /// Time to the end.
    pub span: SpanMillis,
    /// How it ended.
    pub outcome: RecordOutcome,
    /// Why it did not complete; empty when it did.
    pub reason: String,
    /// The attempts in order.
    pub attempts: Vec<AttemptRecord>,
}

impl RequestRecord {
    /// What the request counts for under its class's targets.
    ///
    /// A request that was refused counts as refused only: it was told so in time and can be sent again.
    pub fn burn(&self, targets: &ClassTargets) -> BurnCount {
        let mut count = BurnCount {
            total: 1,
            ..BurnCount::default()
        };
        match self.outcome {
            RecordOutcome::NotRun => {
                count.refused = 1;
                return count;
            }
            RecordOutcome::Failed | RecordOutcome::Unknown => count.lost = 1,
            RecordOutcome::Completed | RecordOutcome::Abandoned => {}
        }
        if self
            .first_part
            .is_some_and(|span| span > targets.lateness.within)
        {
            count.late = 1;
        }
        let runs = self
            .attempts
            .iter()
            .filter(|attempt| attempt.may_have_run())
            .count();
        if runs > 1 {
            count.duplicated = 1;
        }
        count
    }
}
