//! Limits on work: the load bound of an upstream, retry budgets and the breaker for failing upstreams.

mod bound;
mod breaker;
mod budget;

pub use bound::LoadBound;
pub use breaker::BreakerSettings;
pub use breaker::VmBreaker;
pub use budget::BudgetSettings;
pub use budget::RetryBudget;

/// The types most users need.
pub mod prelude {
    pub use crate::BreakerSettings;
    pub use crate::BudgetSettings;
    pub use crate::LoadBound;
    pub use crate::RetryBudget;
    pub use crate::VmBreaker;
}
