//! Stateful fuzz test of idempotency keys: claims, seals, kills, restarts and lost replies, checked against actual
//! runs.
//!
//! See `fescuetide_fuzz` for running more cases and repeating a run.

use std::sync::LazyLock;

use fescuetide_fuzz::fuzz_config;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use crate::world::KeyWorld;
use crate::world::SIDES;
use crate::world::StepFault;

/// Number of cases. With up to 100 steps each, this makes about 10^5 steps.
const CASE_COUNT: u32 = 2_000;
const SEED: u64 = 0x5eed_11ee;

static CONFIG: LazyLock<Config> = LazyLock::new(|| Config {
    max_shrink_iters: 20_000,
    ..fuzz_config(CASE_COUNT, SEED)
});

#[derive(Clone, Debug)]
enum WorldStep {
    Arrive,
    Step(usize, StepFault),
    RunSide(usize),
    Shed(usize),
    RestartSide(usize),
    KillRouter(usize),
    LandClaims,
    LandOffers,
    LandStrays,
    Pass(u64),
}

struct StepSource;

impl ReferenceStateMachine for StepSource {
    type State = ();
    type Transition = WorldStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<WorldStep> {
        let fault = prop_oneof![
            6 => Just(StepFault::None),
            2 => Just(StepFault::Fails),
            1 => Just(StepFault::Late),
            2 => (1..3_usize).prop_map(StepFault::Stale),
        ];
        prop_oneof![
            3 => Just(WorldStep::Arrive),
            16 => (0..4_usize, fault).prop_map(|(caller, fault)| WorldStep::Step(caller, fault)),
            3 => (0..SIDES).prop_map(WorldStep::RunSide),
            1 => (0..SIDES).prop_map(WorldStep::Shed),
            1 => (0..SIDES).prop_map(WorldStep::RestartSide),
            1 => (0..4_usize).prop_map(WorldStep::KillRouter),
            2 => Just(WorldStep::LandClaims),
            2 => Just(WorldStep::LandOffers),
            1 => Just(WorldStep::LandStrays),
            1 => (1..3_000_u64).prop_map(WorldStep::Pass),
            1 => (8_000..11_000_u64).prop_map(WorldStep::Pass),
        ]
        .boxed()
    }

    fn apply((): (), _: &WorldStep) {}
}

struct KeyTest;

impl StateMachineTest for KeyTest {
    type SystemUnderTest = KeyWorld;
    type Reference = StepSource;

    fn init_test((): &()) -> KeyWorld {
        KeyWorld::new()
    }

    fn apply(mut world: KeyWorld, (): &(), step: WorldStep) -> KeyWorld {
        match step {
            WorldStep::Arrive => world.arrive(),
            WorldStep::Step(caller, fault) => world.step(caller, fault),
            WorldStep::RunSide(side) => world.run_side(side),
            WorldStep::Shed(side) => world.shed(side),
            WorldStep::RestartSide(side) => world.restart_side(side),
            WorldStep::KillRouter(caller) => world.kill_router(caller),
            WorldStep::LandClaims => world.land_late_claims(),
            WorldStep::LandOffers => world.land_offers(),
            WorldStep::LandStrays => world.land_strays(),
            WorldStep::Pass(millis) => world.pass(millis),
        }
        world
    }

    fn check_invariants(world: &KeyWorld, (): &()) {
        world.check();
    }

    fn teardown(mut world: KeyWorld) {
        world.settle();
        world.check();
    }
}

prop_state_machine! {
    #![proptest_config(CONFIG.clone())]

    /// Guards against a key that runs twice, and against the verdict "not run" for a key that ran.
    #[test]
    fn keys_run_at_most_once_and_refusals_are_true(
        sequential 20..100 => KeyTest
    );
}
