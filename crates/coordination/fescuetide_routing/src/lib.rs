//! Cache-affine ranking of upstreams.
//!
//! Applies rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998) in two
//! steps: first to the workspace and model, which selects a small shard of the pool, then to the chat within the shard.
//! Every router computes the same order from the same VMs, and adding or removing a VM moves only its own share of
//! chats.

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
pub use table::RankingTable;
pub use transfer::TransferEstimate;

/// Re-exports of the commonly used types.
pub mod prelude {
    pub use crate::DemandSettings;
    pub use crate::DemandTable;
    pub use crate::RankKey;
    pub use crate::RankingTable;
    pub use crate::ShardSize;
}
