//! Record of a request and its attempts.

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

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordOutcome {
    /// The response is complete.
    Completed,
    /// The request did not run. Counted as refused, whatever the results of its attempts.
    NotRun,
    /// The request ran but has no complete response.
    Failed,
    /// The request is not repeatable and may have run.
    Unknown,
    /// The caller disconnected before the request ended.
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

/// Result of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptResult {
    /// The response was complete.
    Completed,
    /// No connection to the side process could be established.
    NotSent(String),
    /// The side process refused the attempt.
    Refused(String),
    /// The attempt was admitted, but the side process never passed it to the upstream. Other attempts of the request
    /// may have run.
    NotRun(String),
    /// The attempt may have run but has no complete response.
    Lost(String),
    /// The attempt was cancelled.
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

/// Record of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// Id that the router assigned to the attempt.
    pub attempt: AttemptId,
    /// VM that the attempt was sent to.
    pub vm: VmName,
    /// When the attempt was sent.
    pub started: ClockMillis,
    /// Time from sending the attempt to its end.
    pub span: SpanMillis,
    /// How the attempt ended.
    pub result: AttemptResult,
}

impl AttemptRecord {
    /// Returns whether the upstream may have run the attempt.
    pub fn may_have_run(&self) -> bool {
        match self.result {
            AttemptResult::Completed | AttemptResult::Lost(_) | AttemptResult::Cancelled => true,
            AttemptResult::NotSent(_) | AttemptResult::Refused(_) | AttemptResult::NotRun(_) => {
                false
            }
        }
    }
}

/// Record of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Id under which operators trace the request.
    pub request: RequestId,
    /// Router that handled the request.
    pub router: VmName,
    /// Workspace that sent the request.
    pub workspace: WorkspaceName,
    /// Class whose targets apply to the request.
    pub class: ClassName,
    /// Pool that the request was routed to.
    pub pool: PoolName,
    /// When the request arrived.
    pub received: ClockMillis,
    /// Time from arrival to the first part of the response, if there was one.
    pub first_part: Option<SpanMillis>,
    /// Time from arrival to the end of the request.
    pub span: SpanMillis,
    /// How the request ended.
    pub outcome: RecordOutcome,
    /// Why the request did not complete, or empty if it did.
    pub reason: String,
    /// Attempts in the order in which they were sent.
    pub attempts: Vec<AttemptRecord>,
}

impl RequestRecord {
    /// Returns the contribution of the request to the counts of its class.
    ///
    /// A refused request counts only as refused: the caller was informed in time and can send the request again.
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
