//! Test harness for one request with a manual clock.

use fescuetide_base::prelude::*;
use fescuetide_claims::ClaimEntry;
use fescuetide_claims::ClaimKey;
use fescuetide_claims::ProcessInstance;
use fescuetide_flow::AttemptUpdate;
use fescuetide_flow::CallEnd;
use fescuetide_flow::CallFlow;
use fescuetide_flow::CallKind;
use fescuetide_flow::CallMetadata;
use fescuetide_flow::CallOffer;
use fescuetide_flow::CallSettings;
use fescuetide_flow::CallStep;
use fescuetide_flow::CallTables;
use fescuetide_flow::CallView;
use fescuetide_flow::DeclineReason;
use fescuetide_flow::DeclineReply;
use fescuetide_flow::KeyMetadata;
use fescuetide_flow::RoutingPolicy;
use fescuetide_flow::UpdateAction;
use fescuetide_limits::CrashFingerprint;
use fescuetide_limits::LoadBound;
use fescuetide_members::RoleKind;
use fescuetide_members::VmEntry;
use fescuetide_members::VmPhase;
use fescuetide_members::VmTable;
use fescuetide_routing::RankingTable;
use indexmap::IndexMap;

/// The pool that all requests go to.
const POOL: &str = "engines";

/// Timeout of callers.
pub(crate) const DEADLINE: SpanMillis = SpanMillis::new(10_000);

/// The latency target.
pub(crate) const LATENCY_TARGET: SpanMillis = SpanMillis::new(2_000);

/// Content hash of the requests.
pub(crate) const CONTENT: u64 = 7;

/// The VM name of an upstream.
pub(crate) fn vm_name(index: usize) -> VmName {
    format!("vm-{index}").parse().unwrap()
}

fn vm(index: usize) -> VmEntry {
    VmEntry {
        name: vm_name(index),
        role: RoleKind::Engine,
        pool: POOL.parse().unwrap(),
        zone: "a".parse().unwrap(),
        region: "r".parse().unwrap(),
        data: "127.0.0.1:1".parse().unwrap(),
        control: "127.0.0.1:2".parse().unwrap(),
        phase: VmPhase::Live,
    }
}

/// A router's state and its view of some upstreams.
pub(crate) struct FleetModel {
    pub(crate) tables: CallTables,
    pub(crate) vms: VmTable,
    pools: IndexMap<PoolName, RankingTable>,
    means: IndexMap<PoolName, f64>,
}

impl FleetModel {
    pub(crate) fn new(upstreams: usize) -> Self {
        let pool: PoolName = POOL.parse().unwrap();
        let list = (0..upstreams).map(vm).collect();
        let vms = VmTable::new(1, list, ClockMillis::new(0));
        let route = RankingTable::new(&vms, &pool, &"r".parse().unwrap());
        let settings = CallSettings {
            router: "router".parse().unwrap(),
            incarnation: ProcessIncarnation::new(1),
            policy: RoutingPolicy::Fescuetide,
            load_bound: LoadBound::default(),
            shard_size: 4,
            holder_wait: SpanMillis::new(100),
        };
        Self {
            tables: CallTables::new(settings),
            vms,
            pools: IndexMap::from([(pool, route)]),
            means: IndexMap::new(),
        }
    }

    /// Runs `action` with the router's shared state and its view of the fleet.
    pub(crate) fn with_tables<T>(
        &mut self,
        action: impl FnOnce(&mut CallTables, &CallView<'_>) -> T,
    ) -> T {
        let view = CallView {
            vms: &self.vms,
            pools: &self.pools,
            means: &self.means,
        };
        action(&mut self.tables, &view)
    }
}

/// A repeatable chat turn.
pub(crate) fn chat(now: ClockMillis) -> CallMetadata {
    let workspace: WorkspaceName = "atelier".parse().unwrap();
    CallMetadata {
        request: RequestId::generate(),
        class: "chat".parse().unwrap(),
        pool: POOL.parse().unwrap(),
        model: Some("deck-1".parse().unwrap()),
        chat: Some("chat-1".parse().unwrap()),
        turn_messages: None,
        kind: CallKind::Engine,
        is_repeatable: true,
        key: None,
        fingerprint: CrashFingerprint::of(&workspace, b"{}"),
        workspace,
        received: now,
        latency_target: LATENCY_TARGET,
        deadline: now + DEADLINE,
    }
}

/// An at-most-once call of a plain service.
pub(crate) fn keyed(key: &ClaimKey, now: ClockMillis) -> CallMetadata {
    CallMetadata {
        model: None,
        chat: None,
        kind: CallKind::Service,
        is_repeatable: false,
        key: Some(KeyMetadata {
            key: key.clone(),
            content: CONTENT,
        }),
        ..chat(now)
    }
}

/// A key that was created at `now`.
pub(crate) fn key_at(now: ClockMillis) -> ClaimKey {
    ClaimKey {
        workspace: "atelier".parse().unwrap(),
        key: IdempotencyKey::from_u128(u128::from(now.as_millis()) << 80 | 1),
    }
}

/// A claim by another router.
pub(crate) fn claim_on(key: &ClaimKey, upstream: usize, now: ClockMillis) -> ClaimEntry {
    let instance = |vm: VmName| ProcessInstance {
        vm,
        incarnation: ProcessIncarnation::new(1),
    };
    ClaimEntry {
        id: ClaimId::from_u128(u128::from(now.as_millis()) << 80 | 2),
        key: key.clone(),
        target: instance(vm_name(upstream)),
        router: instance("other".parse().unwrap()),
        request_hash: CONTENT,
        supersedes: None,
    }
}

/// A request, the router that serves it, and the current time.
pub(crate) struct CallHarness {
    pub(crate) fleet: FleetModel,
    pub(crate) flow: CallFlow,
    pub(crate) now: ClockMillis,
}

impl CallHarness {
    pub(crate) fn new(
        upstreams: usize,
        metadata: impl FnOnce(ClockMillis) -> CallMetadata,
    ) -> Self {
        let now = ClockMillis::new(1_000_000);
        let mut fleet = FleetModel::new(upstreams);
        let metadata = metadata(now);
        let flow = fleet.with_tables(|tables, view| CallFlow::new(metadata, tables, view, now));
        Self { fleet, flow, now }
    }

    /// Replaces the request by a new one at the same router.
    pub(crate) fn restart(&mut self, metadata: CallMetadata) {
        let now = self.now;
        self.flow = self
            .fleet
            .with_tables(|tables, view| CallFlow::new(metadata, tables, view, now));
    }

    /// The next step.
    pub(crate) fn step(&mut self) -> CallStep {
        let (flow, now) = (&mut self.flow, self.now);
        self.fleet
            .with_tables(|tables, view| flow.step(tables, view, now))
    }

    /// The next step after all pauses.
    pub(crate) fn step_after_pauses(&mut self) -> CallStep {
        loop {
            match self.step() {
                CallStep::Wait(until) => self.now = until,
                step => return step,
            }
        }
    }

    /// Expects an offer and reports it as sent.
    pub(crate) fn send_offer(&mut self) -> CallOffer {
        let offer = match self.step_after_pauses() {
            CallStep::Offer(offer) => *offer,
            other => panic!("expected an offer, not {other:?}"),
        };
        self.flow
            .note_sent(AttemptId::generate(), &mut self.fleet.tables);
        offer
    }

    /// Expects an offer and reports that the connection failed.
    pub(crate) fn fail_offer(&mut self) -> CallOffer {
        let offer = match self.step_after_pauses() {
            CallStep::Offer(offer) => *offer,
            other => panic!("expected an offer, not {other:?}"),
        };
        let reason = "refused".to_owned();
        let tables = &mut self.fleet.tables;
        self.flow
            .note_not_sent(AttemptId::generate(), reason, tables, self.now);
        offer
    }

    pub(crate) fn update(&mut self, update: AttemptUpdate) -> UpdateAction {
        self.flow
            .handle_update(update, &mut self.fleet.tables, self.now)
    }

    pub(crate) fn decline(&mut self, reason: DeclineReason) {
        self.update(AttemptUpdate::Declined(DeclineReply {
            reason,
            load: LoadCount::new(5),
            retry_after: SpanMillis::new(400),
        }));
    }

    /// Expects the end of the request.
    pub(crate) fn end(&mut self) -> CallEnd {
        match self.step_after_pauses() {
            CallStep::End(end) => *end,
            other => panic!("expected the end, not {other:?}"),
        }
    }
}
