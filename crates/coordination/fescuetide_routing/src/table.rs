//! Upstreams of one pool, with their hashes precomputed for ranking.

use fescuetide_base::PoolName;
use fescuetide_base::RegionName;
use fescuetide_members::VmEntry;
use fescuetide_members::VmTable;

use crate::RankKey;
use crate::ShardSize;
use crate::rank::hash_vm;
use crate::rank_upstreams;

/// The live upstreams of one pool in one region.
#[derive(Clone, Debug, Default)]
pub struct RankingTable {
    entries: Vec<VmEntry>,
    hashes: Vec<u64>,
}

impl RankingTable {
    /// Collects the live upstreams of `pool` within `region`. Requests never leave their region.
    pub fn new(vms: &VmTable, pool: &PoolName, region: &RegionName) -> Self {
        let entries: Vec<VmEntry> = vms.live_upstreams(pool, region).cloned().collect();
        let hashes = entries.iter().map(|entry| hash_vm(&entry.name)).collect();
        Self { entries, hashes }
    }

    /// Returns the number of upstreams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the pool has no live upstream.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Ranks all upstreams for a request, best first.
    pub fn rank(&self, key: &RankKey<'_>, shard: ShardSize) -> Vec<&VmEntry> {
        self.rank_head(key, shard, self.entries.len())
    }

    /// Returns the `count` best upstreams for a request, best first, but always the whole shard.
    pub fn rank_head(&self, key: &RankKey<'_>, shard: ShardSize, count: usize) -> Vec<&VmEntry> {
        rank_upstreams(key, &self.hashes, shard, count)
            .into_iter()
            .map(|index| &self.entries[index as usize])
            .collect()
    }
}
