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

use crate::simulation::KeySimulation;
use crate::simulation::SIDE_COUNT;
use crate::simulation::StepFault;

/// Number of cases. With up to 100 steps each, this makes about 10^5 steps.
const CASE_COUNT: u32 = 2_000;
const SEED: u64 = 0x5eed_11ee;

static CONFIG: LazyLock<Config> = LazyLock::new(|| Config {
    max_shrink_iters: 20_000,
    ..fuzz_config(CASE_COUNT, SEED)
});

#[derive(Clone, Debug)]
enum SimulationStep {
    Arrive,
    Step(usize, StepFault),
    RunSide(usize),
    Shed(usize),
    RestartSide(usize),
    KillRouter(usize),
    AppendLateClaims,
    DeliverOffers,
    DeliverOrphanedOffers,
    Advance(u64),
}

struct StepSource;

impl ReferenceStateMachine for StepSource {
    type State = ();
    type Transition = SimulationStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<SimulationStep> {
        let fault = prop_oneof![
            6 => Just(StepFault::None),
            2 => Just(StepFault::Fails),
            1 => Just(StepFault::Late),
            2 => (1..3_usize).prop_map(StepFault::Stale),
        ];
        prop_oneof![
            3 => Just(SimulationStep::Arrive),
            16 => (0..4_usize, fault).prop_map(|(caller, fault)| SimulationStep::Step(caller, fault)),
            3 => (0..SIDE_COUNT).prop_map(SimulationStep::RunSide),
            1 => (0..SIDE_COUNT).prop_map(SimulationStep::Shed),
            1 => (0..SIDE_COUNT).prop_map(SimulationStep::RestartSide),
            1 => (0..4_usize).prop_map(SimulationStep::KillRouter),
            2 => Just(SimulationStep::AppendLateClaims),
            2 => Just(SimulationStep::DeliverOffers),
            1 => Just(SimulationStep::DeliverOrphanedOffers),
            1 => (1..3_000_u64).prop_map(SimulationStep::Advance),
            1 => (8_000..11_000_u64).prop_map(SimulationStep::Advance),
        ]
        .boxed()
    }

    fn apply((): (), _: &SimulationStep) {}
}

struct KeyTest;

impl StateMachineTest for KeyTest {
    type SystemUnderTest = KeySimulation;
    type Reference = StepSource;

    fn init_test((): &()) -> KeySimulation {
        KeySimulation::new()
    }

    fn apply(mut simulation: KeySimulation, (): &(), step: SimulationStep) -> KeySimulation {
        match step {
            SimulationStep::Arrive => simulation.arrive(),
            SimulationStep::Step(caller, fault) => simulation.step(caller, fault),
            SimulationStep::RunSide(side) => simulation.advance_side(side),
            SimulationStep::Shed(side) => simulation.shed(side),
            SimulationStep::RestartSide(side) => simulation.restart_side(side),
            SimulationStep::KillRouter(caller) => simulation.kill_router(caller),
            SimulationStep::AppendLateClaims => simulation.append_late_claims(),
            SimulationStep::DeliverOffers => simulation.deliver_offers(),
            SimulationStep::DeliverOrphanedOffers => simulation.deliver_orphaned_offers(),
            SimulationStep::Advance(millis) => simulation.advance(millis),
        }
        simulation
    }

    fn check_invariants(simulation: &KeySimulation, (): &()) {
        simulation.check();
    }

    fn teardown(mut simulation: KeySimulation) {
        simulation.settle();
        simulation.check();
    }
}

prop_state_machine! {
    #![proptest_config(CONFIG.clone())]

    /// Guards against a key that runs twice, and against the verdict "not run" for a key that ran.
    #[test]
    fn keys_run_at_most_once_and_not_run_verdicts_are_correct(
        sequential 20..100 => KeyTest
    );
}
