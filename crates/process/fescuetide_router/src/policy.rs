//! Routing policies. All but [`RoutingPolicy::Fescuetide`] are baselines for measurement only.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use fescuetide_base::LoadCount;
use fescuetide_base::StableHash;
use fescuetide_base::VmName;
use fescuetide_members::VmEntry;
use fescuetide_routing::RankKey;
use fescuetide_routing::RouteTable;
use fescuetide_routing::ShardSize;
use fescuetide_wire::frame::AdmissionRule;
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

/// State of the baselines.
#[derive(Debug, Default)]
pub(crate) struct PolicyState {
    turns: AtomicU64,
    outstanding: Mutex<IndexMap<VmName, u32>>,
}

impl PolicyState {
    /// Orders the upstreams of `route`, best first.
    pub(crate) fn order<'a>(
        &self,
        policy: RoutingPolicy,
        route: &'a RouteTable,
        key: &RankKey<'_>,
        shard: ShardSize,
    ) -> Vec<&'a VmEntry> {
        match policy {
            RoutingPolicy::Fescuetide => route.rank_head(key, shard, shard.get() + HEAD_COUNT),
            RoutingPolicy::Rendezvous => route.rank(key, ShardSize::at_least(route.len())),
            RoutingPolicy::LeastLoaded => {
                let mut order = self.shuffled(route, key);
                let outstanding = self.lock();
                order.sort_by_key(|vm| outstanding.get(&vm.name).copied().unwrap_or_default());
                order
            }
            RoutingPolicy::RoundRobin => {
                // The rank of a fixed key gives a fixed order of the upstreams.
                let fixed = RankKey { chat: None, ..*key };
                let mut order = route.rank(&fixed, ShardSize::at_least(1));
                order.sort_by(|one, other| one.name.cmp(&other.name));
                if !order.is_empty() {
                    let turn = self.turns.fetch_add(1, Ordering::Relaxed) as usize;
                    let first = turn % order.len();
                    order.rotate_left(first);
                }
                order
            }
            RoutingPolicy::Random => self.shuffled(route, key),
        }
    }

    /// Counts an attempt at `vm` until the result is dropped.
    pub(crate) fn count_attempt(self: &Arc<Self>, vm: &VmName) -> AttemptCount {
        *self.lock().entry(vm.clone()).or_default() += 1;
        AttemptCount {
            state: Arc::clone(self),
            vm: vm.clone(),
        }
    }

    /// The upstreams in an order that differs with each call.
    fn shuffled<'a>(&self, route: &'a RouteTable, key: &RankKey<'_>) -> Vec<&'a VmEntry> {
        let turn = self.turns.fetch_add(1, Ordering::Relaxed).to_le_bytes();
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

    fn lock(&self) -> MutexGuard<'_, IndexMap<VmName, u32>> {
        self.outstanding
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// One outstanding attempt in the count of its upstream.
#[derive(Debug)]
pub(crate) struct AttemptCount {
    state: Arc<PolicyState>,
    vm: VmName,
}

impl Drop for AttemptCount {
    fn drop(&mut self) {
        if let Some(count) = self.state.lock().get_mut(&self.vm) {
            *count = count.saturating_sub(1);
        }
    }
}

impl RoutingPolicy {
    /// Whether engines that ran a chat's turn before are asked first.
    pub(crate) fn asks_holders(self) -> bool {
        self == Self::Fescuetide
    }

    /// The rule by which candidates are asked first.
    pub(crate) fn first_rule(self) -> AdmissionRule {
        match self {
            Self::Fescuetide => AdmissionRule::OwnCap,
            Self::Rendezvous | Self::LeastLoaded | Self::RoundRobin | Self::Random => {
                AdmissionRule::AtMost(LoadCount::new(u32::MAX))
            }
        }
    }
}
