//! Routing policies. All policies except [`RoutingPolicy::Fescuetide`] are baselines for benchmarks.

use fescuetide_base::LoadCount;
use fescuetide_base::StableHash;
use fescuetide_base::VmName;
use fescuetide_limits::AdmitRule;
use fescuetide_members::VmEntry;
use fescuetide_routing::RankKey;
use fescuetide_routing::RankingTable;
use fescuetide_routing::ShardSize;
use indexmap::IndexMap;
use serde::Deserialize;

/// Number of candidates ranked in addition to the shard. Twice the 64 candidates to which
/// [`CandidateSelector`](fescuetide_limits::CandidateSelector) offers a request with [`AdmitRule::OwnCap`], since some
/// may be gone or excluded by the circuit breaker.
const EXTRA_CANDIDATES: usize = 128;

/// The policy that orders candidates. Use other policies than the default only for benchmarks: they make side processes
/// admit requests without a load bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutingPolicy {
    /// Rendezvous hashing by chat over a shard of the pool, within the load bound. The shard is the first `n` upstreams
    /// of the ranking by workspace and model; `n` is a power of two that follows demand. A shard therefore contains all
    /// smaller ones, and half of the chats keep their engine when `n` doubles.
    #[default]
    Fescuetide,
    /// Plain rendezvous hashing on workspace and chat over all upstreams.
    Rendezvous,
    /// The upstream with the fewest outstanding attempts of this router.
    LeastLoaded,
    /// The upstreams in rotation.
    RoundRobin,
    /// A random upstream.
    Random,
}

impl RoutingPolicy {
    /// Whether engines that ran an earlier turn of the chat are tried first.
    pub(crate) fn probes_holders(self) -> bool {
        self == Self::Fescuetide
    }

    /// The admission rule of the first offer to a candidate.
    pub(crate) fn initial_rule(self) -> AdmitRule {
        match self {
            Self::Fescuetide => AdmitRule::OwnCap,
            Self::Rendezvous | Self::LeastLoaded | Self::RoundRobin | Self::Random => {
                AdmitRule::AtMost(LoadCount::new(u32::MAX))
            }
        }
    }
}

/// Orders upstreams by policy and holds the state of the baselines.
#[derive(Debug, Default)]
pub(crate) struct PolicyState {
    rotation: u64,
    outstanding: IndexMap<VmName, u32>,
}

impl PolicyState {
    /// Orders the upstreams of `pool`, best first.
    pub(crate) fn order<'a>(
        &mut self,
        policy: RoutingPolicy,
        pool: &'a RankingTable,
        key: &RankKey<'_>,
        shard: ShardSize,
    ) -> Vec<&'a VmEntry> {
        match policy {
            RoutingPolicy::Fescuetide => pool.rank_head(key, shard, shard.get() + EXTRA_CANDIDATES),
            RoutingPolicy::Rendezvous => pool.rank(key, ShardSize::at_least(pool.len())),
            RoutingPolicy::LeastLoaded => {
                let mut order = self.shuffled(pool, key);
                let outstanding = &self.outstanding;
                order.sort_by_key(|vm| outstanding.get(&vm.name).copied().unwrap_or_default());
                order
            }
            RoutingPolicy::RoundRobin => {
                // The ranking only supplies the list of upstreams, which is then sorted by name.
                let fixed = RankKey { chat: None, ..*key };
                let mut order = pool.rank(&fixed, ShardSize::at_least(1));
                order.sort_by(|one, other| one.name.cmp(&other.name));
                if !order.is_empty() {
                    let first = self.next_rotation() as usize % order.len();
                    order.rotate_left(first);
                }
                order
            }
            RoutingPolicy::Random => self.shuffled(pool, key),
        }
    }

    /// Records the start of an attempt at `vm`.
    pub(crate) fn start_attempt(&mut self, vm: &VmName) {
        *self.outstanding.entry(vm.clone()).or_default() += 1;
    }

    /// Records the end of an attempt at `vm`.
    pub(crate) fn finish_attempt(&mut self, vm: &VmName) {
        let Some(count) = self.outstanding.get_mut(vm) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.outstanding.swap_remove(vm);
        }
    }

    fn next_rotation(&mut self) -> u64 {
        let rotation = self.rotation;
        self.rotation += 1;
        rotation
    }

    /// The upstreams in a pseudo-random order that differs with each call.
    fn shuffled<'a>(&mut self, pool: &'a RankingTable, key: &RankKey<'_>) -> Vec<&'a VmEntry> {
        let rotation = self.next_rotation().to_le_bytes();
        let chat = key.chat.map_or("", |chat| chat.as_str());
        let mut order = pool.rank(key, ShardSize::at_least(1));
        order.sort_by_cached_key(|vm| {
            StableHash::new()
                .field(&rotation)
                .field(chat.as_bytes())
                .field(vm.name.as_str().as_bytes())
                .finish()
        });
        order
    }
}
