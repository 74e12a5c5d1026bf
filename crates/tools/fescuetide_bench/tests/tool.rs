//! The operators' tool, tested with a fleet of real processes.

use std::time::Duration;

use fescuetide_bench::config::ToolResult;
use fescuetide_bench::config::run_tool;
use fescuetide_bench::fleet::FleetProcesses;
use fescuetide_bench::fleet::FleetSettings;
use fescuetide_bench::fleet::is_ready;
use fescuetide_bench::process::SignalKind;
use fescuetide_bench::process::wait_for;
use fescuetide_classes::ClassTargets;
use serde_json::Value;

/// Timeout of waits, far above the durations expected in these tests.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

fn start_fleet(routers: usize) -> FleetProcesses {
    let class = "chat".parse().expect("class name");
    FleetProcesses::start(FleetSettings {
        routers,
        engines: 1,
        services: 0,
        classes: vec![(class, ClassTargets::default())],
        router_lines: vec!["log_interval_ms = 300".to_owned()],
        ..FleetSettings::default()
    })
    .expect("fleet starts")
}

fn run(fleet: &FleetProcesses, arguments: &[&str]) -> ToolResult {
    run_tool(fleet, arguments).expect("tool runs")
}

fn verdicts(result: &ToolResult) -> Vec<&str> {
    let changes = result.json["changes"].as_array().expect("changes");
    changes
        .iter()
        .filter_map(|change| change["verdict"].as_str())
        .collect()
}

fn states<'a>(list: &'a Value, name: &str) -> &'a str {
    let list = list.as_array().expect("a list");
    let entry = list.iter().find(|entry| entry["vm"] == name).expect(name);
    entry["state"].as_str().expect("state")
}

/// Guards against example classes that cannot be published, a repeated publish that changes something, and a removal
/// that leaves the class in force.
#[test]
fn example_classes_are_published_once() {
    let fleet = start_fleet(1);
    for operator in ["foliengut", "corrib"] {
        let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../../examples");
        let path = format!("{folder}/{operator}/classes.toml");
        let result = run(&fleet, &["class", "publish", &path, "--wait"]);
        assert_eq!(result.code, Some(0), "{result:?}");
        assert!(
            verdicts(&result)
                .iter()
                .all(|verdict| *verdict == "accepted")
        );
        let again = run(&fleet, &["class", "publish", &path, "--wait"]);
        assert_eq!(again.code, Some(0), "{again:?}");
        assert!(
            verdicts(&again)
                .iter()
                .all(|verdict| *verdict == "unchanged")
        );
    }
    let removed = run(&fleet, &["class", "remove", "chat", "--wait"]);
    assert_eq!(
        (removed.code, verdicts(&removed)),
        (Some(0), vec!["accepted"])
    );
    assert_eq!(run(&fleet, &["class", "show", "chat"]).code, Some(2));
    assert_eq!(run(&fleet, &["class", "remove", "chat"]).code, Some(2));
    assert_eq!(
        run(&fleet, &["class", "show", "export-receipt"]).code,
        Some(0)
    );
}

/// Guards against a drain that does not reach the process, and a status that does not report it.
#[test]
fn status_shows_drained_processes() {
    let fleet = start_fleet(2);
    let status = run(&fleet, &["status"]);
    assert_eq!(status.code, Some(0), "{status:?}");
    assert_eq!(states(&status.json["routers"], "router-1"), "ready");
    assert_eq!(states(&status.json["sides"], "engine-1"), "ready");
    for vm in ["router-1", "engine-1"] {
        assert_eq!(run(&fleet, &["drain", vm]).code, Some(0), "{vm}");
    }
    let status = run(&fleet, &["status"]);
    assert_eq!(states(&status.json["routers"], "router-1"), "draining");
    assert_eq!(states(&status.json["routers"], "router-2"), "ready");
    assert_eq!(states(&status.json["sides"], "engine-1"), "draining");
    assert!(!is_ready(fleet.routers[0].vm.data));
    assert_eq!(run(&fleet, &["drain", "router-9"]).code, Some(2));
}

/// Guards against `--wait` and `status` ignoring a router that does not answer.
#[test]
fn silent_router_is_named() {
    let fleet = start_fleet(2);
    let router = fleet.routers[1].process.as_ref().expect("router runs");
    router.signal(SignalKind::Pause).expect("signal is sent");
    let arguments = ["class", "revise", "chat", "lateness_ms=5", "--wait"];
    let options = ["--wait-limit-ms", "500"];
    let result = run(&fleet, &[&arguments[..], &options[..]].concat());
    assert_eq!(
        (result.code, verdicts(&result)),
        (Some(1), vec!["accepted"])
    );
    let error = result.json["error"].as_str().expect("error");
    assert!(error.contains("router-2"), "{error}");
    let status = run(&fleet, &["status"]);
    assert_eq!(status.code, Some(1));
    assert_eq!(states(&status.json["routers"], "router-2"), "no answer");
    router.signal(SignalKind::Resume).expect("signal is sent");
    wait_for("the router", WAIT_TIMEOUT, || {
        run(&fleet, &["status"]).code == Some(0)
    })
    .expect("router answers");
}
