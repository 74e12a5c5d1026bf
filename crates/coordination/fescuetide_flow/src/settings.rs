//! Settings of the gateway's request state machine.

use fescuetide_base::SpanMillis;
use fescuetide_limits::BreakerSettings;
use fescuetide_limits::BudgetSettings;

/// Settings of a [`RequestScheduler`](crate::RequestScheduler).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FlowSettings {
    /// Load cap of an engine as a multiple of the mean load of its pool, without `load_allowance`.
    pub load_multiple: f64,
    /// Number of requests that is added to that multiple, so that low load is not spread unnecessarily.
    pub load_allowance: u32,
    /// Retry budget per pool. The burst is shared by all gateways, and this gateway uses its share.
    pub retries: BudgetSettings,
    /// Time in which the retries of all gateways are limited. A gateway that starts makes no more retries than requests earn
    /// for so long, since the process before it may just have used its burst.
    pub retry_window: SpanMillis,
    /// Circuit breaker for unreachable upstreams.
    pub breaker: BreakerSettings,
    /// Maximum number of requests queued in this gateway, per pool.
    pub waiting_limit: usize,
    /// Minimum time without data after which an attempt is abandoned. The time is longer for requests with a long
    /// latency target or pause limit.
    pub silence_limit: SpanMillis,
    /// Age above which the list of upstreams may lack a version that is in use elsewhere. It must be longer than the longest
    /// time between two reads of the list.
    pub listing_limit: SpanMillis,
}

impl Default for FlowSettings {
    fn default() -> Self {
        Self {
            load_multiple: 1.75,
            load_allowance: 2,
            retries: BudgetSettings {
                ratio: 0.15,
                burst: 40.0,
            },
            retry_window: SpanMillis::new(10_000),
            breaker: BreakerSettings {
                initial_backoff: SpanMillis::new(500),
                max_backoff: SpanMillis::new(4_000),
            },
            waiting_limit: 512,
            silence_limit: SpanMillis::new(1_000),
            listing_limit: SpanMillis::new(1_000),
        }
    }
}
