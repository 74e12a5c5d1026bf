//! Records of requests on the wire: in replies to traces and in batches on the log.

use fescuetide_base::AttemptId;
use fescuetide_base::ClassName;
use fescuetide_base::ClockMillis;
use fescuetide_base::PoolName;
use fescuetide_base::RequestId;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_base::WorkspaceName;
use fescuetide_records::AttemptRecord;
use fescuetide_records::AttemptResult;
use fescuetide_records::BurnCount;
use fescuetide_records::RecordOutcome;
use fescuetide_records::RequestRecord;
use serde::Deserialize;
use serde::Serialize;

/// The stream of request records.
pub const REQUEST_STREAM: &str = "requests";

/// A batch of requests of one router, as one record of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestBatch {
    /// The router.
    pub router: VmName,
    /// Its requests, oldest first.
    pub requests: Vec<RequestWire>,
}

/// One attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptWire {
    /// The attempt.
    pub attempt: AttemptId,
    /// The VM it was sent to.
    pub vm: VmName,
    /// When it was sent, in ms since the Unix epoch.
    pub started_ms: u64,
    /// How long it took, in ms.
    pub span_ms: u64,
    /// How it ended.
    pub result: AttemptResult,
}

impl From<AttemptRecord> for AttemptWire {
    fn from(record: AttemptRecord) -> Self {
        Self {
            attempt: record.attempt,
            vm: record.vm,
            started_ms: record.started.as_millis(),
            span_ms: record.span.as_millis(),
            result: record.result,
        }
    }
}

impl From<AttemptWire> for AttemptRecord {
    fn from(wire: AttemptWire) -> Self {
        Self {
            attempt: wire.attempt,
            vm: wire.vm,
            started: ClockMillis::new(wire.started_ms),
            span: SpanMillis::new(wire.span_ms),
            result: wire.result,
        }
    }
}

/// One request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestWire {
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
    /// When it arrived, in ms since the Unix epoch.
    pub received_ms: u64,
    /// Time to the first part of the response, in ms.
    pub first_part_ms: Option<u64>,
    /// Time to the end, in ms.
    pub span_ms: u64,
    /// How it ended.
    pub outcome: RecordOutcome,
    /// Why it did not complete.
    pub reason: String,
    /// The attempts in order.
    pub attempts: Vec<AttemptWire>,
}

impl From<RequestRecord> for RequestWire {
    fn from(record: RequestRecord) -> Self {
        Self {
            request: record.request,
            router: record.router,
            workspace: record.workspace,
            class: record.class,
            pool: record.pool,
            received_ms: record.received.as_millis(),
            first_part_ms: record.first_part.map(SpanMillis::as_millis),
            span_ms: record.span.as_millis(),
            outcome: record.outcome,
            reason: record.reason,
            attempts: record.attempts.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<RequestWire> for RequestRecord {
    fn from(wire: RequestWire) -> Self {
        Self {
            request: wire.request,
            router: wire.router,
            workspace: wire.workspace,
            class: wire.class,
            pool: wire.pool,
            received: ClockMillis::new(wire.received_ms),
            first_part: wire.first_part_ms.map(SpanMillis::new),
            span: SpanMillis::new(wire.span_ms),
            outcome: wire.outcome,
            reason: wire.reason,
            attempts: wire.attempts.into_iter().map(Into::into).collect(),
        }
    }
}

/// Counts of one class over all windows of the burn report, shortest first.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BurnWire {
    /// The class.
    pub class: ClassName,
    /// The counts.
    pub counts: Vec<CountWire>,
}

/// Counts of one class over one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountWire {
    /// All requests.
    pub total: u64,
    /// Late ones.
    pub late: u64,
    /// Lost ones.
    pub lost: u64,
    /// Those that may have run more than once.
    pub duplicated: u64,
    /// Refused ones.
    pub refused: u64,
}

impl From<BurnCount> for CountWire {
    fn from(count: BurnCount) -> Self {
        Self {
            total: count.total,
            late: count.late,
            lost: count.lost,
            duplicated: count.duplicated,
            refused: count.refused,
        }
    }
}

impl From<CountWire> for BurnCount {
    fn from(wire: CountWire) -> Self {
        Self {
            total: wire.total,
            late: wire.late,
            lost: wire.lost,
            duplicated: wire.duplicated,
            refused: wire.refused,
        }
    }
}
