//! Limits on work: the load bound of an upstream, retry budgets and the breaker for failing upstreams.

mod bound;
mod breaker;
mod budget;
mod gate;
mod walk;

pub use bound::LoadBound;
pub use breaker::BreakerSettings;
pub use breaker::VmBreaker;
pub use budget::BudgetSettings;
pub use budget::RetryBudget;
pub use gate::AdmitError;
pub use gate::AdmitRule;
pub use gate::LoadGate;
pub use walk::CandidateWalk;

/// The types most users need.
pub mod prelude {
    pub use crate::AdmitError;
    pub use crate::AdmitRule;
    pub use crate::BreakerSettings;
    pub use crate::BudgetSettings;
    pub use crate::CandidateWalk;
    pub use crate::LoadBound;
    pub use crate::LoadGate;
    pub use crate::RetryBudget;
    pub use crate::VmBreaker;
}
