//! What the decisions know of a request.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_fleet::PoolShare;
use fescuetide_fleet::RouteEntry;
use fescuetide_fleet::WorkKind;
use fescuetide_limits::CrashFingerprint;

use crate::PromptShape;

/// A request that asks to be served.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkRequest {
    /// What may be repeated.
    pub kind: WorkKind,
    /// The pools that may serve it.
    pub pools: Vec<PoolShare>,
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// Most upstreams that it may be sent to.
    pub attempt_limit: u32,
    /// When it had arrived.
    pub arrived: ClockMillis,
    /// When its response, or the first event of it, is late.
    pub late_at: ClockMillis,
    /// When its caller gives up.
    pub caller_deadline: ClockMillis,
    /// When the operator wants it answered at the latest.
    pub route_deadline: ClockMillis,
    /// The longest pause between events that is in time.
    pub pause_limit: SpanMillis,
    /// The prompt, empty for plain services.
    pub prompt: PromptShape,
    /// A number that spreads requests over the pools of a route.
    pub spread: u64,
    /// Identifies the request among those that crash upstreams.
    pub print: CrashFingerprint,
    /// Identifies the workspace that it belongs to, for fair turns.
    pub workspace: u64,
}

/// The longest pause between events where a route does not say.
const DEFAULT_PAUSE_LIMIT: SpanMillis = SpanMillis::new(500);

impl WorkRequest {
    /// Creates a request from its route. `caller_limit` is the time that its caller waits.
    pub fn of_route(
        route: &RouteEntry,
        arrived: ClockMillis,
        caller_limit: Option<SpanMillis>,
    ) -> Self {
        let route_deadline = arrived + route.time_limit;
        Self {
            kind: route.kind,
            pools: route.pools.clone(),
            rank: route.rank,
            attempt_limit: route.attempt_limit.max(1),
            arrived,
            late_at: arrived + route.late_after,
            caller_deadline: caller_limit.map_or(route_deadline, |limit| arrived + limit),
            route_deadline,
            pause_limit: route.pause_limit.unwrap_or(DEFAULT_PAUSE_LIMIT),
            prompt: PromptShape::default(),
            spread: 0,
            print: CrashFingerprint::default(),
            workspace: 0,
        }
    }

    /// When the request must be answered.
    pub fn deadline(&self) -> ClockMillis {
        self.caller_deadline.min(self.route_deadline)
    }
}
