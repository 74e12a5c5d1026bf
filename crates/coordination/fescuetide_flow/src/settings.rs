//! Settings of the decisions.

use fescuetide_base::SpanMillis;
use fescuetide_limits::BreakerSettings;
use fescuetide_limits::BudgetSettings;

/// Settings of a [`FlowCore`](crate::FlowCore).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FlowSettings {
    /// No engine is given work above this multiple of the mean load of its pool.
    pub load_multiple: f64,
    /// Requests above the multiple that an engine may hold, so that small loads are not spread needlessly.
    pub load_allowance: u32,
    /// Retries of all routers together, for each pool. This router uses its share of the burst.
    pub retries: BudgetSettings,
    /// How long a failing upstream is held back.
    pub breaker: BreakerSettings,
    /// Requests that wait in this router at most, for each pool.
    pub waiting_limit: usize,
    /// The shortest time after which a silent upstream is given up on.
    pub silence_limit: SpanMillis,
}

impl Default for FlowSettings {
    fn default() -> Self {
        Self {
            load_multiple: 1.6,
            load_allowance: 2,
            retries: BudgetSettings {
                ratio: 0.15,
                burst: 40.0,
            },
            breaker: BreakerSettings {
                initial_backoff: SpanMillis::new(500),
                max_backoff: SpanMillis::new(4_000),
            },
            waiting_limit: 512,
            silence_limit: SpanMillis::new(1_000),
        }
    }
}
