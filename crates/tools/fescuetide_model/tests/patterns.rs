//! Load patterns replayed through the decisions. The model has no clock of its own: a seed always gives the same figures.

use fescuetide_model::LoadPattern;
use fescuetide_model::PlacementPolicy;
use fescuetide_model::SimulationSettings;
use fescuetide_model::SimulationStats;
use fescuetide_model::run_simulation;

/// The share of sends that may reach an engine above the operators' cap.
const OVER_CAP_LIMIT: f64 = 0.03;

fn replay(pattern: LoadPattern, policy: PlacementPolicy, seed: u64) -> SimulationStats {
    run_simulation(&SimulationSettings {
        pattern,
        policy,
        seed,
        ..SimulationSettings::default()
    })
}

/// Guards against two runs of one seed that differ, which would make comparisons worthless.
#[test]
fn same_seed_gives_the_same_statistics() {
    let first = replay(LoadPattern::Burst, PlacementPolicy::Fescuetide, 7);
    let second = replay(LoadPattern::Burst, PlacementPolicy::Fescuetide, 7);
    assert_eq!(first.to_string(), second.to_string());
}

/// Guards against requests that the model loses: each ends as served, refused or failed.
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

/// Guards against placement that serves callers worse than the best of the plain policies does, in any pattern.
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

/// Guards against shared parts of prompts that are read at every engine.
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

/// Guards against engines that are filled above the cap, each router for itself.
#[test]
fn load_cap_is_kept_in_every_pattern() {
    for pattern in LoadPattern::ALL {
        for seed in 1..4 {
            let share = replay(pattern, PlacementPolicy::Fescuetide, seed).over_cap_share;
            assert!(share < OVER_CAP_LIMIT, "{pattern}, seed {seed}: {share:.4}");
        }
    }
}

/// Guards against a workspace that is served much worse than all others while one sends eight times its usual.
#[test]
fn hot_workspace_does_not_starve_other_workspaces() {
    let stats = replay(LoadPattern::HotWorkspace, PlacementPolicy::Fescuetide, 1);
    assert!(stats.fairness > 0.95, "fairness {:.3}", stats.fairness);
}
