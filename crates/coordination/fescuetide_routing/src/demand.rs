//! Shard sizing by demand.

use fescuetide_base::ClockMillis;
use fescuetide_base::PoolName;
use fescuetide_base::SpanMillis;
use fescuetide_base::StableHash;
use indexmap::IndexMap;

use crate::RankKey;
use crate::ShardSize;

/// Number of entries that are compared to find one to evict.
const EVICTION_SAMPLE_SIZE: usize = 8;

/// Settings of a demand table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandSettings {
    /// Size of a shard before enough requests have been observed.
    pub initial_size: usize,
    /// Minimum decayed number of requests to the pool. Below it, shards keep their size.
    pub min_requests: f64,
    /// Factor by which a shard is larger than its share of the demand. 2 leaves headroom for an uneven distribution of
    /// chats within the shard.
    pub headroom_factor: f64,
    /// A shard is halved if the wanted size is below this fraction of its size. Must be below one half, since the size
    /// would otherwise oscillate when demand is near the threshold.
    pub shrink_below: f64,
    /// Time in which the weight of a request halves.
    pub half_life: SpanMillis,
    /// Maximum number of entries. The default is 6,000 workspaces × 23 models, which takes about 8 MB.
    pub entry_limit: usize,
}

impl Default for DemandSettings {
    fn default() -> Self {
        Self {
            initial_size: 4,
            min_requests: 100.0,
            headroom_factor: 2.0,
            shrink_below: 0.35,
            half_life: SpanMillis::new(30_000),
            entry_limit: 138_000,
        }
    }
}

/// Exponentially decaying count of requests.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCount {
    weight: f64,
    updated_at: ClockMillis,
}

impl DecayingCount {
    fn value_at(&self, now: ClockMillis, half_life: SpanMillis) -> f64 {
        let age = now.since(self.updated_at).as_millis() as f64;
        self.weight * (-age / half_life.as_millis().max(1) as f64).exp2()
    }

    fn add(&mut self, now: ClockMillis, half_life: SpanMillis) {
        self.weight = self.value_at(now, half_life) + 1.0;
        self.updated_at = now;
    }
}

#[derive(Clone, Copy, Debug)]
struct DemandEntry {
    count: DecayingCount,
    size: u32,
}

/// Sizes the shard of each workspace and model by its share of the requests that this router receives.
///
/// Demand is measured as a share, so that routers with different amounts of the same traffic compute the same sizes.
/// Sizes are powers of two: a shard of twice the size contains the smaller one, so half of the chats keep their
/// upstream.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    settings: DemandSettings,
    pools: IndexMap<PoolName, DecayingCount>,
    entries: IndexMap<u64, DemandEntry>,
    cursor: usize,
}

impl DemandTable {
    /// Creates an empty table.
    pub fn new(settings: DemandSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records a request to a pool with `upstreams` members and returns the size of its shard.
    pub fn note_request(
        &mut self,
        pool: &PoolName,
        key: &RankKey<'_>,
        upstreams: usize,
        now: ClockMillis,
    ) -> ShardSize {
        let settings = self.settings;
        if !self.pools.contains_key(pool) {
            self.pools.insert(pool.clone(), DecayingCount::default());
        }
        let total = &mut self.pools[pool];
        total.add(now, settings.half_life);
        let total = total.value_at(now, settings.half_life);
        let entry_hash = StableHash::new()
            .field(pool.as_str().as_bytes())
            .field(&key.shard_hash().to_le_bytes())
            .finish();
        self.evict_if_full(entry_hash, now);
        let entry = self.entries.entry(entry_hash).or_insert(DemandEntry {
            count: DecayingCount::default(),
            size: ShardSize::at_least(settings.initial_size).get() as u32,
        });
        entry.count.add(now, settings.half_life);
        if total >= settings.min_requests {
            let share = entry.count.value_at(now, settings.half_life) / total;
            let wanted = share * upstreams as f64 * settings.headroom_factor;
            entry.size = next_size(entry.size, wanted, settings.shrink_below);
        }
        ShardSize::at_least(entry.size as usize)
    }

    /// Returns the number of tracked combinations of workspace and model.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// At the size limit, evicts the entry with the least demand in a small sample.
    fn evict_if_full(&mut self, entry_hash: u64, now: ClockMillis) {
        let length = self.entries.len();
        if length < self.settings.entry_limit || self.entries.contains_key(&entry_hash) {
            return;
        }
        let half_life = self.settings.half_life;
        let first = self.cursor;
        self.cursor = (first + EVICTION_SAMPLE_SIZE) % length;
        let weight = |index: usize| self.entries[index].count.value_at(now, half_life);
        let sample = (first..first + EVICTION_SAMPLE_SIZE).map(|index| index % length);
        let least = sample.min_by(|one, other| weight(*one).total_cmp(&weight(*other)));
        if let Some(least) = least {
            self.entries.swap_remove_index(least);
        }
    }
}

/// Returns the new size of a shard, given the size that matches the current demand.
fn next_size(size: u32, wanted: f64, shrink_below: f64) -> u32 {
    if wanted > f64::from(size) {
        return (wanted.ceil() as u32).next_power_of_two();
    }
    if size > 1 && wanted < f64::from(size) * shrink_below {
        return size / 2;
    }
    size
}
