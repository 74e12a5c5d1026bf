//! Property test of a retry budget that is divided between routers.

use fescuetide_limits::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

const ROUTERS: usize = 4;

/// Budget of all routers together.
const SHARED: BudgetSettings = BudgetSettings {
    ratio: 0.25,
    burst: 40.0,
};

#[derive(Clone, Debug)]
enum BudgetStep {
    Requests(usize, u32),
    Retries(usize, u32),
    /// Traffic shifts: the router receives this share of it, and the others divide the rest equally.
    Move(usize, f64),
}

struct StepSource;

impl ReferenceStateMachine for StepSource {
    type State = ();
    type Transition = BudgetStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<BudgetStep> {
        prop_oneof![
            3 => (0..ROUTERS, 1..50_u32).prop_map(|(router, count)| BudgetStep::Requests(router, count)),
            3 => (0..ROUTERS, 1..50_u32).prop_map(|(router, count)| BudgetStep::Retries(router, count)),
            1 => (0..ROUTERS, 0.0..1.0_f64).prop_map(|(router, share)| BudgetStep::Move(router, share)),
        ]
        .boxed()
    }

    fn apply((): (), _: &BudgetStep) {}
}

fn settings_of(share: f64) -> BudgetSettings {
    BudgetSettings {
        burst: SHARED.burst * share,
        ..SHARED
    }
}

struct BudgetFleet {
    budgets: Vec<RetryBudget>,
    requests: u32,
    retries: u32,
}

impl StateMachineTest for BudgetFleet {
    type SystemUnderTest = Self;
    type Reference = StepSource;

    fn init_test((): &()) -> Self {
        let share = 1.0 / ROUTERS as f64;
        Self {
            budgets: vec![RetryBudget::new(settings_of(share)); ROUTERS],
            requests: 0,
            retries: 0,
        }
    }

    fn apply(mut fleet: Self, (): &(), step: BudgetStep) -> Self {
        match step {
            BudgetStep::Requests(router, count) => {
                fleet.requests += count;
                for _ in 0..count {
                    fleet.budgets[router].note_request();
                }
            }
            BudgetStep::Retries(router, count) => {
                for _ in 0..count {
                    fleet.retries += u32::from(fleet.budgets[router].try_retry());
                }
            }
            BudgetStep::Move(router, share) => {
                let rest = (1.0 - share) / (ROUTERS - 1) as f64;
                for (index, budget) in fleet.budgets.iter_mut().enumerate() {
                    let share = if index == router { share } else { rest };
                    budget.set(settings_of(share));
                }
            }
        }
        fleet
    }

    fn check_invariants(fleet: &Self, (): &()) {
        let allowed = SHARED.burst + SHARED.ratio * f64::from(fleet.requests);
        assert!(
            f64::from(fleet.retries) <= allowed + 1e-6,
            "{} retries, {allowed} allowed",
            fleet.retries
        );
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(0x5eed_b1d6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against routers that together exceed their shared budget, also while traffic shifts between them.
    #[test]
    fn routers_keep_the_budget_that_they_share(sequential 10..60 => BudgetFleet);
}
