//! Ranking of upstreams for returning chats.
//!
//! Rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998) in two steps:
//! first on the workspace and model, which gives a small shard of the pool, then on the chat within the shard. Every
//! router computes the same order from the same VMs, and a VM that comes or goes moves only its own share of chats.

mod demand;
mod rank;
mod table;
mod transfer;

pub use demand::DemandSettings;
pub use demand::DemandTable;
pub use rank::RankKey;
pub use rank::ShardSize;
pub use rank::rank_upstreams;
pub use rank::score_upstream;
pub use table::RouteTable;
pub use transfer::TransferEstimate;

/// The types most users need.
pub mod prelude {
    pub use crate::DemandSettings;
    pub use crate::DemandTable;
    pub use crate::RankKey;
    pub use crate::RouteTable;
    pub use crate::ShardSize;
}
