//! Partitions of the claim log and selection of their registrars.
//!
//! The registrar of a partition is the router that appends the claims of all routers to this partition, in batches.

use std::fmt;

use fescuetide_base::StableHash;
use fescuetide_base::VmName;

use crate::ClaimKey;

/// Number of partitions of the claim log. The registrar of each partition appends at most one batch every 50 to 100 ms,
/// so the log receives at most 320 appends/s.
pub const PARTITION_COUNT: u8 = 16;

/// Partition of the claim log. `Display` writes the name of its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimPartition(u8);

impl ClaimPartition {
    /// Returns the partition that contains the claims on `key`.
    pub fn of(key: &ClaimKey) -> Self {
        let hash = StableHash::new()
            .field(key.workspace.as_str().as_bytes())
            .field(key.key.as_uuid().as_bytes())
            .finish();
        Self((hash % u64::from(PARTITION_COUNT)) as u8)
    }

    /// Iterates over all partitions.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..PARTITION_COUNT).map(Self)
    }
}

impl fmt::Display for ClaimPartition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "claims-{:02}", self.0)
    }
}

/// Sorts `routers` by their preference as registrar of `partition`, best first.
///
/// Uses rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998).
pub fn rank_registrars(partition: ClaimPartition, routers: &mut [VmName]) {
    routers.sort_by_cached_key(|name| {
        let hash = StableHash::new()
            .field(&[partition.0])
            .field(name.as_str().as_bytes())
            .finish();
        std::cmp::Reverse(hash)
    });
}
