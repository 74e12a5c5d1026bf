//! Simulations of all load patterns. Time is simulated, so a seed always gives the same statistics.

use fescuetide_model::LoadPattern;
use fescuetide_model::PlacementPolicy;
use fescuetide_model::SimulationSettings;
use fescuetide_model::SimulationStats;
use fescuetide_model::run_simulation;

/// The maximum share of sends to engines whose load is above the cap set by the operators.
const OVER_CAP_LIMIT: f64 = 0.03;

fn replay(pattern: LoadPattern, policy: PlacementPolicy, seed: u64) -> SimulationStats {
    run_simulation(&SimulationSettings {
        pattern,
        policy,
        seed,
        ..SimulationSettings::default()
    })
}

/// Guards against nondeterminism: if two runs with the same seed differ, policies cannot be compared.
#[test]
fn same_seed_gives_the_same_statistics() {
    let first = replay(LoadPattern::Burst, PlacementPolicy::Fescuetide, 7);
    let second = replay(LoadPattern::Burst, PlacementPolicy::Fescuetide, 7);
    assert_eq!(first.to_string(), second.to_string());
}

/// Guards against requests that the simulation loses: each is counted as served, refused or failed.
#[test]
fn every_request_is_counted_once() {
    for pattern in LoadPattern::ALL {
        for policy in PlacementPolicy::ALL {
            for kind in replay(pattern, policy, 3).kinds {
                let ended = kind.in_time + kind.late + kind.refused + kind.failed;
                assert_eq!(ended, kind.total, "{pattern}, {policy}, {}", kind.name);
            }
        }
    }
}

/// Guards against a scheduler that serves fewer requests in time than the best baseline policy, in any pattern. A
/// difference of 0.5 percentage points is accepted.
#[test]
fn no_baseline_policy_serves_more_requests_in_time() {
    for pattern in LoadPattern::ALL {
        let ours = replay(pattern, PlacementPolicy::Fescuetide, 1).in_time_share();
        for policy in PlacementPolicy::ALL {
            let other = replay(pattern, policy, 1).in_time_share();
            assert!(
                ours + 0.005 >= other,
                "{pattern}: {ours:.4}, {policy} {other:.4}"
            );
        }
    }
}

/// Guards against prompt prefixes that every engine computes again.
#[test]
fn prefixes_are_recomputed_a_tenth_as_often_as_with_random_placement() {
    for pattern in [
        LoadPattern::Calm,
        LoadPattern::HotPart,
        LoadPattern::EnginesLeaving,
    ] {
        let ours = replay(pattern, PlacementPolicy::Fescuetide, 1).recomputed_prefix_tokens;
        let random = replay(pattern, PlacementPolicy::Random, 1).recomputed_prefix_tokens;
        assert!(ours * 10 < random, "{pattern}: {ours}, random {random}");
    }
}

/// Guards against routers that together push engines above the load cap because each counts only its own requests.
#[test]
fn load_cap_is_kept_in_every_pattern() {
    for pattern in LoadPattern::ALL {
        for seed in 1..4 {
            let share = replay(pattern, PlacementPolicy::Fescuetide, seed).over_cap_share;
            assert!(share < OVER_CAP_LIMIT, "{pattern}, seed {seed}: {share:.4}");
        }
    }
}

/// Guards against a workspace that is served much worse than the others while one workspace sends 8 times its usual
/// load.
#[test]
fn hot_workspace_does_not_starve_other_workspaces() {
    let stats = replay(LoadPattern::HotWorkspace, PlacementPolicy::Fescuetide, 1);
    assert!(stats.fairness > 0.95, "fairness {:.3}", stats.fairness);
}
