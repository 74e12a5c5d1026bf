//! Distributed aggregation of load: computes the mean load of a pool from partial sums.
//!
//! Side processes report to a collector, and collectors aggregate over a tree. The mean is a ratio of two sums, so an
//! upstream that is missed or counted twice hardly changes it. All state is soft and expires.

mod collector;
mod sum;
mod tree;

pub use collector::CollectorSettings;
pub use collector::LoadCollector;
pub use collector::UpstreamReport;
pub use sum::PoolSum;
pub use tree::SummaryTree;
pub use tree::TREE_FAN_IN;

/// Re-exports of the commonly used types.
pub mod prelude {
    pub use crate::CollectorSettings;
    pub use crate::LoadCollector;
    pub use crate::PoolSum;
    pub use crate::SummaryTree;
    pub use crate::TREE_FAN_IN;
    pub use crate::UpstreamReport;
}
