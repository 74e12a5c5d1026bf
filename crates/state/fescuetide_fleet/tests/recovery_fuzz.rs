//! Stateful fuzz tests of recovery from outages of the log: ordering of updates, and retention of upstreams.
//!
//! `fescuetide_fuzz` describes how to run more cases and how to reproduce a run.

use std::collections::HashMap;
use std::sync::LazyLock;

use fescuetide_base::prelude::*;
use fescuetide_fleet::ConfigVersion;
use fescuetide_fleet::OutageDetector;
use fescuetide_fleet::SoftwareVersion;
use fescuetide_fleet::UpdateFilter;
use fescuetide_fleet::UpstreamChange;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_fleet::UpstreamState;
use fescuetide_fleet::UpstreamTable;
use fescuetide_fuzz::fuzz_config;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

/// Number of cases of up to 100 steps. Both tests together run about 10^5 steps.
const CASE_COUNT: u32 = 1_000;
const SEED: u64 = 0x5eed_0f1e;

/// Time after an outage within which an upstream whose entry expired must have been rewritten or dropped.
const RECOVERY_LIMIT_MS: u64 = 2_000;

/// Time after an outage at which all live upstreams have rewritten their entries. Must be below the grace period.
const REWRITE_DELAY_MS: u64 = 1_500;

static CONFIG: LazyLock<Config> = LazyLock::new(|| fuzz_config(CASE_COUNT, SEED));

const GATEWAYS: usize = 3;

#[derive(Clone, Debug)]
enum UpdateStep {
    /// The operators publish a version with this increment.
    Publish(u64),
    /// A gateway reads a configuration that is this many versions behind.
    ReadConfig(usize, usize),
    /// A gateway lists the upstreams.
    List(usize),
    /// A gateway queries another one.
    Ask(usize, usize),
    Restart(usize),
    Wait(u64),
}

struct UpdateSource;

impl ReferenceStateMachine for UpdateSource {
    type State = ();
    type Transition = UpdateStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<UpdateStep> {
        prop_oneof![
            2 => (1..9_u64).prop_map(UpdateStep::Publish),
            4 => (0..GATEWAYS, 0..3_usize).prop_map(|(who, behind)| UpdateStep::ReadConfig(who, behind)),
            2 => (0..GATEWAYS).prop_map(UpdateStep::List),
            4 => (0..GATEWAYS, 0..GATEWAYS).prop_map(|(who, peer)| UpdateStep::Ask(who, peer)),
            2 => (0..GATEWAYS).prop_map(UpdateStep::Restart),
            2 => (1..500_u64).prop_map(UpdateStep::Wait),
        ]
        .boxed()
    }

    fn apply((): (), _: &UpdateStep) {}
}

#[derive(Clone, Debug, Default)]
struct GatewayModel {
    filter: UpdateFilter,
    /// Version of the current configuration.
    version: Option<u64>,
    /// When the current upstreams were read from the log by this gateway or a peer.
    read_at: Option<u64>,
    /// Newest version received since the last restart.
    received_version: Option<u64>,
    /// Time of the newest listing received from peers since the last restart.
    received_listing: Option<u64>,
    has_listed: bool,
}

struct UpdateWorld {
    now: u64,
    versions: Vec<u64>,
    gateways: Vec<GatewayModel>,
}

struct UpdateTest;

impl UpdateWorld {
    fn take_config(&mut self, who: usize, version: u64) {
        let gateway = &mut self.gateways[who];
        gateway.received_version = gateway.received_version.max(Some(version));
        if gateway.filter.accepts_config(ConfigVersion::new(version)) {
            assert!(
                gateway.version < Some(version),
                "an older version replaced a newer one"
            );
            gateway.version = Some(version);
        }
    }

    fn ask(&mut self, who: usize, peer: usize) {
        let reply = self.gateways[peer].clone();
        if who == peer {
            return;
        }
        if let Some(version) = reply.version {
            self.take_config(who, version);
        }
        let Some(read_at) = reply.read_at else {
            return;
        };
        let gateway = &mut self.gateways[who];
        gateway.received_listing = gateway.received_listing.max(Some(read_at));
        if gateway
            .filter
            .accepts_peer_upstreams(ClockMillis::new(read_at))
        {
            assert!(!gateway.has_listed, "a peer's listing replaced the log's");
            gateway.read_at = Some(read_at);
        }
    }
}

impl StateMachineTest for UpdateTest {
    type SystemUnderTest = UpdateWorld;
    type Reference = UpdateSource;

    fn init_test((): &()) -> UpdateWorld {
        UpdateWorld {
            now: 1_000,
            versions: vec![1],
            gateways: vec![GatewayModel::default(); GATEWAYS],
        }
    }

    fn apply(mut world: UpdateWorld, (): &(), step: UpdateStep) -> UpdateWorld {
        match step {
            UpdateStep::Publish(above) => {
                let last = world.versions.last().copied().unwrap_or_default();
                world.versions.push(last + above);
            }
            UpdateStep::ReadConfig(who, behind) => {
                let index = world.versions.len().saturating_sub(1 + behind);
                let version = world.versions[index];
                world.take_config(who, version);
            }
            UpdateStep::List(who) => {
                let gateway = &mut world.gateways[who];
                gateway.filter.note_listing();
                gateway.has_listed = true;
                gateway.read_at = Some(world.now);
            }
            UpdateStep::Ask(who, peer) => world.ask(who, peer),
            UpdateStep::Restart(who) => world.gateways[who] = GatewayModel::default(),
            UpdateStep::Wait(millis) => world.now += millis,
        }
        world
    }

    fn check_invariants(world: &UpdateWorld, (): &()) {
        for gateway in &world.gateways {
            assert_eq!(
                gateway.version, gateway.received_version,
                "the current version is not the newest"
            );
            if !gateway.has_listed {
                assert_eq!(
                    gateway.read_at, gateway.received_listing,
                    "the current listing is not the newest"
                );
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(CONFIG.clone())]

    /// Guards against an older configuration replacing a newer one, a newer one being ignored, and upstreams of a peer
    /// replacing those of the log.
    #[test]
    fn newest_update_wins_from_any_source(sequential 20..60 => UpdateTest);
}

const UPSTREAMS: usize = 3;

#[derive(Clone, Debug)]
enum EntryStep {
    /// An upstream starts or restarts.
    Start(usize),
    /// An upstream announces that it is leaving.
    Leave(usize),
    /// An upstream terminates permanently.
    Terminate(usize),
    /// The log becomes unavailable, and the entries of these upstreams expire.
    LogDown(Vec<usize>),
    /// The log becomes available again, and live upstreams rewrite their entries.
    LogUp,
    Wait(u64),
}

struct EntrySource;

impl ReferenceStateMachine for EntrySource {
    type State = ();
    type Transition = EntryStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<EntryStep> {
        let expired = prop::collection::vec(0..UPSTREAMS, 0..4);
        prop_oneof![
            3 => (0..UPSTREAMS).prop_map(EntryStep::Start),
            1 => (0..UPSTREAMS).prop_map(EntryStep::Leave),
            1 => (0..UPSTREAMS).prop_map(EntryStep::Terminate),
            2 => expired.prop_map(EntryStep::LogDown),
            3 => Just(EntryStep::LogUp),
            4 => (50..2_500_u64).prop_map(EntryStep::Wait),
        ]
        .boxed()
    }

    fn apply((): (), _: &EntryStep) {}
}

#[derive(Clone, Copy, Debug)]
struct UpstreamModel {
    incarnation: u64,
    is_leaving: bool,
    is_alive: bool,
    has_entry: bool,
    /// Whether the log has contained the entry of this incarnation.
    was_listed: bool,
    /// When the upstream terminated.
    terminated_at: Option<u64>,
}

struct EntryWorld {
    now: u64,
    is_unavailable: bool,
    recovered_at: u64,
    upstreams: HashMap<usize, UpstreamModel>,
    table: UpstreamTable,
    outage: OutageDetector,
}

struct EntryTest;

fn name_of(upstream: usize) -> VmName {
    format!("vm-{upstream}").parse().expect("name")
}

fn entry_of(upstream: usize, model: &UpstreamModel) -> UpstreamEntry {
    UpstreamEntry {
        name: name_of(upstream),
        incarnation: ProcessIncarnation::new(model.incarnation),
        pool: "engines".parse().expect("name"),
        address: "127.0.0.1:1".parse().expect("address"),
        zone: "a".parse().expect("name"),
        version: SoftwareVersion::default(),
        slots: 4,
        state: match model.is_leaving {
            true => UpstreamState::Leaving,
            false => UpstreamState::Ready,
        },
    }
}

impl EntryWorld {
    /// Performs a read: a full listing if the log is available, otherwise a failed call.
    fn read(&mut self) {
        let now = ClockMillis::new(self.now);
        if self.is_unavailable {
            self.outage.note_failure();
            return;
        }
        let end = self.outage.note_success(now);
        let after_outage = end.is_some_and(|end| end.may_have_expired);
        if after_outage {
            self.table.note_recovery(now);
        }
        let mut entries = Vec::new();
        for (upstream, model) in &self.upstreams {
            if model.has_entry {
                entries.push(entry_of(*upstream, model));
            }
        }
        self.table.replace(entries, after_outage, now);
        self.table.expire(now);
    }

    /// Advances the clock and reads every 50 ms.
    fn wait(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now = end.min(self.now + 50);
            if !self.is_unavailable && self.now >= self.recovered_at + REWRITE_DELAY_MS {
                self.rewrite_entries();
            }
            self.read();
        }
    }

    /// Lets all live upstreams rewrite their entries.
    fn rewrite_entries(&mut self) {
        for model in self.upstreams.values_mut() {
            model.has_entry |= model.is_alive;
            model.was_listed |= model.is_alive;
        }
    }

    fn write(&mut self, upstream: usize) {
        if self.is_unavailable {
            return;
        }
        let model = &self.upstreams[&upstream];
        let change = UpstreamChange::Written(entry_of(upstream, model));
        self.table.apply(change, false, ClockMillis::new(self.now));
    }
}

impl StateMachineTest for EntryTest {
    type SystemUnderTest = EntryWorld;
    type Reference = EntrySource;

    fn init_test((): &()) -> EntryWorld {
        let now = 100_000;
        EntryWorld {
            now,
            is_unavailable: false,
            recovered_at: 0,
            upstreams: HashMap::new(),
            table: UpstreamTable::default(),
            outage: OutageDetector::new(ClockMillis::new(now)),
        }
    }

    fn apply(mut world: EntryWorld, (): &(), step: EntryStep) -> EntryWorld {
        match step {
            EntryStep::Start(upstream) => {
                let incarnation = world
                    .upstreams
                    .get(&upstream)
                    .map_or(0, |old| old.incarnation);
                let model = UpstreamModel {
                    incarnation: incarnation + 1,
                    is_leaving: false,
                    is_alive: true,
                    has_entry: !world.is_unavailable,
                    was_listed: !world.is_unavailable,
                    terminated_at: None,
                };
                world.upstreams.insert(upstream, model);
                world.write(upstream);
            }
            EntryStep::Leave(upstream) => {
                if let Some(model) = world.upstreams.get_mut(&upstream)
                    && model.is_alive
                    && !world.is_unavailable
                {
                    model.is_leaving = true;
                    world.write(upstream);
                }
            }
            EntryStep::Terminate(upstream) => {
                let now = world.now;
                if let Some(model) = world.upstreams.get_mut(&upstream) {
                    model.is_alive = false;
                    model.has_entry = false;
                    model.terminated_at.get_or_insert(now);
                }
            }
            EntryStep::LogDown(expired) => {
                world.is_unavailable = true;
                for upstream in expired {
                    if let Some(model) = world.upstreams.get_mut(&upstream) {
                        model.has_entry = false;
                    }
                }
                world.read();
                // Entries do not expire in shorter outages.
                world.wait(2_000);
            }
            EntryStep::LogUp => {
                if world.is_unavailable {
                    world.is_unavailable = false;
                    world.recovered_at = world.now;
                }
                world.read();
            }
            EntryStep::Wait(millis) => world.wait(millis),
        }
        world
    }

    fn check_invariants(world: &EntryWorld, (): &()) {
        let known: HashMap<VmName, &UpstreamEntry> = world
            .table
            .iter()
            .map(|entry| (entry.name.clone(), entry))
            .collect();
        for (upstream, model) in &world.upstreams {
            let entry = known.get(&name_of(*upstream));
            if let (Some(entry), false, true) = (entry, world.is_unavailable, model.has_entry) {
                assert_eq!(
                    entry.incarnation.get(),
                    model.incarnation,
                    "an old incarnation is in use"
                );
            }
            let terminated_for = model
                .terminated_at
                .map(|at| world.now - at.max(world.recovered_at));
            let is_overdue = terminated_for.is_some_and(|span| span > RECOVERY_LIMIT_MS);
            assert!(
                !(is_overdue && !world.is_unavailable && entry.is_some()),
                "vm-{upstream} has terminated but is still in use"
            );
        }
        for (upstream, model) in &world.upstreams {
            let is_known = known.contains_key(&name_of(*upstream));
            // This also holds while its entry is missing because it expired in an outage.
            if model.is_alive && model.was_listed && !model.is_leaving {
                assert!(is_known, "vm-{upstream} is alive but not in use");
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(CONFIG.clone())]

    /// Guards against dropping live upstreams whose entries expired in an outage, using terminated upstreams, and using
    /// entries of an earlier incarnation.
    #[test]
    fn upstreams_recover_or_expire_after_an_outage(sequential 20..60 => EntryTest);
}
