//! Routing policies. All but [`RoutingPolicy::Fescuetide`] are baselines for measurement only.

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

/// Candidates ranked behind the shard: twice those that a walk asks, since some may be held back or gone.
const HEAD_COUNT: usize = 128;

/// How candidates are ordered. Set anything but the default for measurement only: the baselines ask side processes to
/// admit without load bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutingPolicy {
    /// Rendezvous hashing in nested shards within the load bound.
    #[default]
    Fescuetide,
    /// Plain rendezvous hashing on workspace and chat over all upstreams.
    Rendezvous,
    /// The upstream with the fewest outstanding attempts of this router.
    LeastLoaded,
    /// Each upstream in turn.
    RoundRobin,
    /// Any upstream.
    Random,
}

impl RoutingPolicy {
    /// Whether engines that ran a chat's turn before are asked first.
    pub(crate) fn asks_holders(self) -> bool {
        self == Self::Fescuetide
    }

    /// The rule by which candidates are asked first.
    pub(crate) fn first_rule(self) -> AdmitRule {
        match self {
            Self::Fescuetide => AdmitRule::OwnCap,
            Self::Rendezvous | Self::LeastLoaded | Self::RoundRobin | Self::Random => {
                AdmitRule::AtMost(LoadCount::new(u32::MAX))
            }
        }
    }
}

/// Orders upstreams by the policy and keeps the state of the baselines.
#[derive(Debug, Default)]
pub(crate) struct PolicyState {
    turns: u64,
    outstanding: IndexMap<VmName, u32>,
}

impl PolicyState {
    /// Orders the upstreams of `route`, best first.
    pub(crate) fn order<'a>(
        &mut self,
        policy: RoutingPolicy,
        route: &'a RankingTable,
        key: &RankKey<'_>,
        shard: ShardSize,
    ) -> Vec<&'a VmEntry> {
        match policy {
            RoutingPolicy::Fescuetide => route.rank_head(key, shard, shard.get() + HEAD_COUNT),
            RoutingPolicy::Rendezvous => route.rank(key, ShardSize::at_least(route.len())),
            RoutingPolicy::LeastLoaded => {
                let mut order = self.shuffled(route, key);
                let outstanding = &self.outstanding;
                order.sort_by_key(|vm| outstanding.get(&vm.name).copied().unwrap_or_default());
                order
            }
            RoutingPolicy::RoundRobin => {
                // The rank of a fixed key gives a fixed order of the upstreams.
                let fixed = RankKey { chat: None, ..*key };
                let mut order = route.rank(&fixed, ShardSize::at_least(1));
                order.sort_by(|one, other| one.name.cmp(&other.name));
                if !order.is_empty() {
                    let first = self.next_turn() as usize % order.len();
                    order.rotate_left(first);
                }
                order
            }
            RoutingPolicy::Random => self.shuffled(route, key),
        }
    }

    /// Notes an attempt at `vm`.
    pub(crate) fn note_started(&mut self, vm: &VmName) {
        *self.outstanding.entry(vm.clone()).or_default() += 1;
    }

    /// Notes that an attempt at `vm` is over.
    pub(crate) fn note_over(&mut self, vm: &VmName) {
        let Some(count) = self.outstanding.get_mut(vm) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.outstanding.swap_remove(vm);
        }
    }

    fn next_turn(&mut self) -> u64 {
        let turn = self.turns;
        self.turns += 1;
        turn
    }

    /// The upstreams in an order that differs with each call.
    fn shuffled<'a>(&mut self, route: &'a RankingTable, key: &RankKey<'_>) -> Vec<&'a VmEntry> {
        let turn = self.next_turn().to_le_bytes();
        let chat = key.chat.map_or("", |chat| chat.as_str());
        let mut order = route.rank(key, ShardSize::at_least(1));
        order.sort_by_cached_key(|vm| {
            StableHash::new()
                .field(&turn)
                .field(chat.as_bytes())
                .field(vm.name.as_str().as_bytes())
                .finish()
        });
        order
    }
}
