//! State shared by all requests of a router.

use fescuetide_base::ClockMillis;
use fescuetide_base::PoolName;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_limits::BreakerSettings;
use fescuetide_limits::CircuitBreaker;
use fescuetide_limits::LoadBound;
use fescuetide_limits::SuspectTable;
use fescuetide_members::VmEntry;
use fescuetide_members::VmTable;
use fescuetide_routing::DemandSettings;
use fescuetide_routing::DemandTable;
use fescuetide_routing::RankKey;
use fescuetide_routing::RankingTable;
use indexmap::IndexMap;

use super::CallMetadata;
use super::RoutingPolicy;
use super::policy::PolicyState;
use super::retries::RetryBudgets;

/// Settings of [`CallFlow`](super::CallFlow).
#[derive(Clone, Debug, PartialEq)]
pub struct CallSettings {
    /// The router's VM.
    pub router: VmName,
    /// The router's incarnation.
    pub incarnation: ProcessIncarnation,
    /// The routing policy.
    pub policy: RoutingPolicy,
    /// The load bound: the rule by which the load cap of an upstream, its maximum load, follows from the mean load of
    /// its pool.
    pub load_bound: LoadBound,
    /// Number of engines that a workspace's chats are distributed over before its demand is known.
    pub shard_size: usize,
    /// Maximum wait for an engine that ran an earlier turn of the chat but is at its load cap.
    pub holder_wait: SpanMillis,
}

/// State shared by all requests of a router, such as circuit breakers and retry budgets.
#[derive(Debug)]
pub struct CallTables {
    pub(crate) settings: CallSettings,
    pub(crate) breaker: CircuitBreaker,
    pub(crate) retries: RetryBudgets,
    pub(crate) policy: PolicyState,
    suspects: SuspectTable,
    demand: DemandTable,
}

impl CallTables {
    /// Creates the initial state of a router.
    pub fn new(settings: CallSettings) -> Self {
        let demand = DemandTable::new(DemandSettings {
            initial_size: settings.shard_size,
            ..DemandSettings::default()
        });
        Self {
            settings,
            breaker: CircuitBreaker::new(BreakerSettings::default()),
            retries: RetryBudgets::default(),
            policy: PolicyState::default(),
            suspects: SuspectTable::default(),
            demand,
        }
    }

    /// The requests suspected of crashing upstreams. Routers exchange this list.
    pub fn suspects(&mut self) -> &mut SuspectTable {
        &mut self.suspects
    }

    /// Ranks the upstreams for a request. Those excluded by the circuit breaker and those in `lost_on` come last. Also
    /// returns the number of upstreams before them.
    pub(crate) fn rank(
        &mut self,
        metadata: &CallMetadata,
        view: &CallView<'_>,
        lost_on: &[VmName],
        now: ClockMillis,
    ) -> (Vec<VmEntry>, usize) {
        let Some(pool) = view.pools.get(&metadata.pool) else {
            return (Vec::new(), 0);
        };
        let key = RankKey {
            workspace: &metadata.workspace,
            model: metadata.model.as_ref(),
            chat: metadata.chat.as_ref(),
        };
        let shard = self
            .demand
            .note_request(&metadata.pool, &key, pool.len(), now);
        let mut vms = Vec::new();
        let mut excluded = Vec::new();
        for vm in self.policy.order(self.settings.policy, pool, &key, shard) {
            if lost_on.contains(&vm.name) || !self.breaker.allows(&vm.name, now) {
                excluded.push(vm.clone());
                continue;
            }
            vms.push(vm.clone());
        }
        let allowed = vms.len();
        vms.extend(excluded);
        (vms, allowed)
    }
}

/// A snapshot of the router's view of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct CallView<'a> {
    /// All VMs.
    pub vms: &'a VmTable,
    /// The upstreams of each pool, prepared for ranking.
    pub pools: &'a IndexMap<PoolName, RankingTable>,
    /// The mean load of each pool, where it is known.
    pub means: &'a IndexMap<PoolName, f64>,
}
