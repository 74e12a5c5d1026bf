//! What all requests of a router share.

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

use super::CallFacts;
use super::RoutingPolicy;
use super::policy::PolicyState;
use super::retries::RetryLedger;

/// Settings of the decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct CallSettings {
    /// The router's VM.
    pub router: VmName,
    /// The router's incarnation.
    pub incarnation: ProcessIncarnation,
    /// How candidates are ordered.
    pub policy: RoutingPolicy,
    /// The load that an upstream may have.
    pub load_bound: LoadBound,
    /// How many engines a workspace's chats are spread over before its demand is known.
    pub shard_size: usize,
    /// How long to wait for an engine that holds the chat and is at its cap.
    pub holder_wait: SpanMillis,
}

/// State that all requests of a router share.
#[derive(Debug)]
pub struct CallTables {
    pub(crate) settings: CallSettings,
    pub(crate) breaker: CircuitBreaker,
    pub(crate) retries: RetryLedger,
    pub(crate) policy: PolicyState,
    suspects: SuspectTable,
    demand: DemandTable,
}

impl CallTables {
    /// Creates the state of a router that has served nothing.
    pub fn new(settings: CallSettings) -> Self {
        let demand = DemandTable::new(DemandSettings {
            initial_size: settings.shard_size,
            ..DemandSettings::default()
        });
        Self {
            settings,
            breaker: CircuitBreaker::new(BreakerSettings::default()),
            retries: RetryLedger::default(),
            policy: PolicyState::default(),
            suspects: SuspectTable::default(),
            demand,
        }
    }

    /// The requests that are suspected of crashing upstreams, which routers tell each other.
    pub fn suspects(&mut self) -> &mut SuspectTable {
        &mut self.suspects
    }

    /// Ranks the upstreams for a request; those held back by the breaker and those in `lost_on` come last. Also returns
    /// the number of the others.
    pub(crate) fn rank(
        &mut self,
        facts: &CallFacts,
        view: &CallView<'_>,
        lost_on: &[VmName],
        now: ClockMillis,
    ) -> (Vec<VmEntry>, usize) {
        let Some(route) = view.routes.get(&facts.pool) else {
            return (Vec::new(), 0);
        };
        let key = RankKey {
            workspace: &facts.workspace,
            model: facts.model.as_ref(),
            chat: facts.chat.as_ref(),
        };
        let shard = self
            .demand
            .note_request(&facts.pool, &key, route.len(), now);
        let mut vms = Vec::new();
        let mut held = Vec::new();
        for vm in self.policy.order(self.settings.policy, route, &key, shard) {
            if lost_on.contains(&vm.name) || !self.breaker.allows(&vm.name, now) {
                held.push(vm.clone());
                continue;
            }
            vms.push(vm.clone());
        }
        let allowed = vms.len();
        vms.extend(held);
        (vms, allowed)
    }
}

/// What a router knows of the fleet at one moment.
#[derive(Clone, Copy, Debug)]
pub struct CallView<'a> {
    /// All VMs.
    pub vms: &'a VmTable,
    /// The upstreams of each pool.
    pub routes: &'a IndexMap<PoolName, RankingTable>,
    /// The mean load of each pool, where it is known.
    pub means: &'a IndexMap<PoolName, f64>,
}
