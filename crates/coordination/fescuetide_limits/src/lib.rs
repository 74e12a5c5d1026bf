//! Overload protection: load bounds and admission queues of upstreams, retry budgets, a circuit breaker, a rate
//! limiter, and what is known about requests suspected of crashing upstreams.

mod average;
mod backlog;
mod blame;
mod bound;
mod breaker;
mod budget;
mod completions;
mod ends;
mod evidence;
mod fingerprint;
mod fixed_window;
mod limiter;
mod order;
mod pause;
mod queue;
mod rate_bucket;
mod selector;
mod suspects;

pub use average::MovingAverage;
pub use backlog::ReportBacklog;
pub use bound::LoadBound;
pub use breaker::BreakerSettings;
pub use breaker::CircuitBreaker;
pub use budget::BudgetSettings;
pub use budget::RetryBudget;
pub use completions::CompletionHistory;
pub use completions::HistorySettings;
pub use ends::END_LIMIT;
pub use ends::EndSet;
pub use evidence::CrashCount;
pub use evidence::CrashEvidence;
pub use fingerprint::CrashFingerprint;
pub use fixed_window::FixedWindowLimiter;
pub use limiter::AdmitError;
pub use limiter::AdmitRule;
pub use limiter::LoadLimiter;
pub use pause::RequestPause;
pub use queue::AdmissionQueue;
pub use queue::QueueEvent;
pub use queue::QueuedWork;
pub use queue::TooLate;
pub use rate_bucket::RateBucket;
pub use selector::CandidateSelector;
pub use suspects::SuspectSettings;
pub use suspects::SuspectTable;

/// Re-exports of the commonly used types.
pub mod prelude {
    pub use crate::AdmissionQueue;
    pub use crate::AdmitError;
    pub use crate::AdmitRule;
    pub use crate::BreakerSettings;
    pub use crate::BudgetSettings;
    pub use crate::CandidateSelector;
    pub use crate::CircuitBreaker;
    pub use crate::CompletionHistory;
    pub use crate::CrashCount;
    pub use crate::CrashEvidence;
    pub use crate::CrashFingerprint;
    pub use crate::EndSet;
    pub use crate::LoadBound;
    pub use crate::LoadLimiter;
    pub use crate::QueueEvent;
    pub use crate::QueuedWork;
    pub use crate::RateBucket;
    pub use crate::ReportBacklog;
    pub use crate::RequestPause;
    pub use crate::RetryBudget;
    pub use crate::SuspectSettings;
    pub use crate::SuspectTable;
    pub use crate::TooLate;
}
