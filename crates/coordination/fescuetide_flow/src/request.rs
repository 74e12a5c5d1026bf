//! A request as seen by [`RequestScheduler`](crate::RequestScheduler).

use std::sync::Arc;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_fleet::PoolShare;
use fescuetide_fleet::RouteEntry;
use fescuetide_fleet::WorkKind;
use fescuetide_limits::CrashFingerprint;

use crate::PromptShape;
use crate::StreamKey;

/// A request with its route's limits and deadlines.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkRequest {
    /// Whether and how the request may be retried.
    pub kind: WorkKind,
    /// The pools that may serve the request, with their weights.
    pub pools: Vec<PoolShare>,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of attempts.
    pub attempt_limit: u32,
    /// When the request arrived.
    pub arrived: ClockMillis,
    /// Time from which the response, or the first event of a stream, counts as late.
    pub late_at: ClockMillis,
    /// When the caller times out.
    pub caller_deadline: ClockMillis,
    /// The deadline from the time limit of the route.
    pub route_deadline: ClockMillis,
    /// Maximum pause between events of a stream.
    pub pause_limit: SpanMillis,
    /// The prompt structure, empty for plain services.
    pub prompt: PromptShape,
    /// A number that is uniformly distributed over requests and selects one of the pools by weight.
    pub pool_selector: u64,
    /// Fingerprint for the detection of requests that crash upstreams.
    pub fingerprint: CrashFingerprint,
    /// Fingerprints of the prompt parts that other requests can have as well, for the detection of parts that crash upstreams.
    pub part_fingerprints: Arc<[CrashFingerprint]>,
    /// Identifies the workspace, for fair queueing.
    pub workspace: u64,
    /// The stream that the request begins or takes up, if it can be resumed.
    pub stream: StreamKey,
    /// Whether the caller has received a part of the stream already.
    pub is_taken_up: bool,
}

/// Maximum pause between events if the route sets none.
const DEFAULT_PAUSE_LIMIT: SpanMillis = SpanMillis::new(500);

impl WorkRequest {
    /// Creates a request from its route. `caller_limit` is the timeout of the caller.
    pub fn of_route(
        route: &RouteEntry,
        arrived: ClockMillis,
        caller_limit: Option<SpanMillis>,
    ) -> Self {
        let route_deadline = arrived + route.time_limit;
        Self {
            kind: route.kind,
            pools: route.pools.clone(),
            priority: route.priority,
            attempt_limit: route.attempt_limit.max(1),
            arrived,
            late_at: arrived + route.late_after,
            caller_deadline: caller_limit.map_or(route_deadline, |limit| arrived + limit),
            route_deadline,
            pause_limit: route.pause_limit.unwrap_or(DEFAULT_PAUSE_LIMIT),
            prompt: PromptShape::default(),
            pool_selector: 0,
            fingerprint: CrashFingerprint::default(),
            part_fingerprints: Arc::default(),
            workspace: 0,
            stream: StreamKey::default(),
            is_taken_up: false,
        }
    }

    /// The earlier of the caller's and the route's deadline.
    pub fn deadline(&self) -> ClockMillis {
        self.caller_deadline.min(self.route_deadline)
    }
}
