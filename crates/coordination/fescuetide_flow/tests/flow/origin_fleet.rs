//! A fleet of gateways whose callers take up streams while upstreams of two versions serve, with all that may go wrong meanwhile.

mod scenario;
mod simulation;

use fescuetide_base::SpanMillis;

use scenario::Scenario;
use simulation::OriginFleet;

/// Number of streams that may hold events of two versions.
const ALLOWED_MIXED: u64 = 2;

/// Appends to the log per second that a fleet of any size may make: a quarter of what the smallest of the users' platforms allows.
const APPENDS_PER_SECOND: u64 = 100;

/// Runs a scenario with fleets of different sizes. `share` is the least share of the counted streams that go on.
fn run_fleets(scenario: Scenario, share: f64) {
    let seeds = std::env::var("FESCUETIDE_ORIGIN_SEEDS").ok();
    let seeds: u64 = seeds.and_then(|text| text.parse().ok()).unwrap_or(1);
    for seed in 0..seeds {
        for gateways in [2, 5, 31, 103] {
            let scenario = Scenario {
                gateways,
                ..scenario
            };
            let result = OriginFleet::new(seed, scenario).run();
            let run = format!("seed {seed}, {scenario:?}: {result:?}");
            assert!(result.taken_up > 200, "{run}");
            assert!(result.mixed <= ALLOWED_MIXED, "{run}");
            let went_on = result.went_on as f64 / result.taken_up as f64;
            assert!(went_on >= share, "{went_on}, {run}");
            let appends_per_second = result.appends * 1_000 / scenario.length.as_millis();
            assert!(appends_per_second <= APPENDS_PER_SECOND, "{run}");
        }
    }
}

/// Least share of streams that go on while the log answers.
const GO_ON: f64 = 0.9;

/// Guards against streams that go on at another version, or that do not go on: some gateways are killed, again and again, and some
/// streams are from before the release.
#[test]
fn streams_go_on_at_their_version_in_a_fleet_that_loses_gateways() {
    let scenario = Scenario {
        releases: &[1_500],
        some_killed: &[1_600, 2_900, 4_000, 6_000, 9_000],
        ..Scenario::QUIET
    };
    run_fleets(scenario, GO_ON);
}

/// Guards against what is lost with all gateways at once, at each moment of a release.
#[test]
fn streams_go_on_at_their_version_after_all_gateways_are_lost() {
    let scenario = Scenario {
        releases: &[1_500, 8_000],
        all_killed: &[1_400, 1_700, 2_700, 3_900, 7_000, 8_200, 11_000],
        ..Scenario::QUIET
    };
    run_fleets(scenario, GO_ON);
}

/// Guards against gateways that take the version that is left, when they start, for the only one there was.
#[test]
fn streams_of_a_version_that_left_do_not_go_on_at_another() {
    let scenario = Scenario {
        releases: &[1_500],
        old_leaves: Some(5_000),
        all_killed: &[4_990, 5_700, 8_000],
        ..Scenario::QUIET
    };
    run_fleets(scenario, GO_ON);
}

/// Guards against guesses while nothing can be written to or read from the log.
#[test]
fn streams_are_not_mixed_while_the_log_is_away() {
    let scenario = Scenario {
        releases: &[1_500],
        old_leaves: Some(9_000),
        log_away: Some((1_900, 6_000)),
        all_killed: &[5_000],
        some_killed: &[2_500, 3_500],
        ..Scenario::QUIET
    };
    run_fleets(scenario, 0.5);
}

/// Guards against gateways that do not see a release since the log turns them away.
#[test]
fn streams_are_not_mixed_while_the_log_turns_some_gateways_away() {
    let scenario = Scenario {
        releases: &[1_500],
        log_turns_away: Some((1_300, 8_000)),
        some_killed: &[3_500, 5_000],
        ..Scenario::QUIET
    };
    run_fleets(scenario, 0.5);
}

/// Guards against streams that are refused although one version has served all along.
#[test]
fn all_streams_go_on_with_one_version() {
    let scenario = Scenario {
        some_killed: &[2_000, 5_000],
        all_killed: &[3_000, 8_000],
        ..Scenario::QUIET
    };
    run_fleets(scenario, 1.0);
}

/// Guards against streams that are refused while the log is away although one version has served all along.
#[test]
fn all_streams_go_on_with_one_version_while_the_log_is_away() {
    let scenario = Scenario {
        some_killed: &[5_000],
        log_away: Some((3_000, 9_000)),
        ..Scenario::QUIET
    };
    run_fleets(scenario, 1.0);
}

/// A release whose last upstreams of the old version have left 3 s after the start, so that its record becomes obsolete a minute later.
const OLD_RELEASE: Scenario = Scenario {
    gateways: 2,
    length: SpanMillis::new(78_000),
    streams_from: 69_500,
    releases: &[1_500],
    old_leaves: Some(3_000),
    ..Scenario::QUIET
};

/// Runs a scenario with two gateways and checks that `share` of the counted streams go on, and how many versions have records in the
/// end.
fn run_old_release(scenario: Scenario, share: f64, recorded_versions: usize) {
    for seed in 0..4 {
        let result = OriginFleet::new(seed, scenario).run();
        let run = format!("seed {seed}, {scenario:?}: {result:?}");
        assert!(result.taken_up > 200, "{run}");
        assert!(result.mixed <= ALLOWED_MIXED, "{run}");
        let went_on = result.went_on as f64 / result.taken_up as f64;
        assert!(went_on >= share, "{went_on}, {run}");
        assert_eq!(result.recorded_versions, recorded_versions, "{run}");
    }
}

/// Runs a scenario in which one of two gateways is killed at `first_at`, and the other one when streams have begun there, and checks that
/// all streams go on, and that the record of the old version is removed.
fn lose_gateways_in_turn(first_at: u64, scenario: Scenario) {
    for (first, second) in [(0, 1), (1, 0)] {
        let scenario = Scenario {
            killed_in_turn: Some([(first, first_at), (second, 72_000)]),
            ..scenario
        };
        run_old_release(scenario, 1.0, 1);
    }
}

/// Guards against the record of an old version that stays in the log since one call failed. A gateway that starts later would take
/// the version for a recent one, and refuse streams that began at gateways that are gone.
#[test]
fn obsolete_record_is_removed_after_an_outage_of_the_log() {
    let scenario = Scenario {
        log_away: Some((62_500, 67_000)),
        ..OLD_RELEASE
    };
    lose_gateways_in_turn(69_000, scenario);
}

/// Guards against the same if the gateway whose turn it is to remove the record is down at that moment.
#[test]
fn obsolete_record_is_removed_without_the_gateway_that_comes_first() {
    lose_gateways_in_turn(62_900, OLD_RELEASE);
}

/// Guards against a gateway that read the record before it was removed, and takes the version for a recent one for longer than the
/// others do.
#[test]
fn gateway_that_read_an_obsolete_record_learns_of_its_removal() {
    lose_gateways_in_turn(40_000, OLD_RELEASE);
}

/// Guards against the removal of a record that is needed again, since the version serves again while the removal is due.
#[test]
fn record_of_a_version_that_serves_again_stays() {
    for returns in [62_900, 64_000, 66_900, 67_200] {
        let scenario = Scenario {
            old_returns: Some(returns),
            log_away: Some((62_500, 67_000)),
            all_killed: &[72_000],
            ..OLD_RELEASE
        };
        run_old_release(scenario, GO_ON, 2);
    }
}
