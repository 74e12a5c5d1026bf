//! Request records, as returned by the `trace` RPC and appended to the log in batches, and burn-rate counts.

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

/// The name of the log stream that contains request records.
pub const REQUEST_STREAM: &str = "requests";

/// A log record with a batch of request records from one router.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestBatch {
    /// The router that served the requests.
    pub router: VmName,
    /// The request records, oldest first.
    pub requests: Vec<RequestWire>,
}

/// The record of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptWire {
    /// The id of the attempt.
    pub attempt: AttemptId,
    /// The VM that the attempt was sent to.
    pub vm: VmName,
    /// The time at which the attempt was sent, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The duration of the attempt in milliseconds. Not a tracing span.
    pub span_ms: u64,
    /// The result of the attempt.
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

/// The record of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestWire {
    /// The id of the request.
    pub request: RequestId,
    /// The router that served the request.
    pub router: VmName,
    /// The workspace that the request belongs to.
    pub workspace: WorkspaceName,
    /// The class of the request.
    pub class: ClassName,
    /// The pool that the request was routed to.
    pub pool: PoolName,
    /// The time at which the request was received, in milliseconds since the Unix epoch.
    pub received_ms: u64,
    /// The time to the first part of the response in milliseconds, if any part was sent.
    pub first_part_ms: Option<u64>,
    /// The total duration of the request in milliseconds. Not a tracing span.
    pub span_ms: u64,
    /// The outcome of the request.
    pub outcome: RecordOutcome,
    /// The reason why the request did not complete; empty if it did.
    pub reason: String,
    /// The attempts in dispatch order.
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

/// The request counts of one class for the burn-rate report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BurnWire {
    /// The class.
    pub class: ClassName,
    /// The counts per time window, shortest window first.
    pub counts: Vec<CountWire>,
}

/// The request counts of one class in one time window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountWire {
    /// The number of all requests.
    pub total: u64,
    /// The number of requests whose first part was later than the latency target.
    pub late: u64,
    /// The number of accepted requests that ended without a complete response.
    pub lost: u64,
    /// The number of requests that may have run more than once. Lost and cancelled attempts are assumed to have run.
    pub duplicated: u64,
    /// The number of refused requests.
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
