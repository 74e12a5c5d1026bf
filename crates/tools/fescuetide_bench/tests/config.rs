//! Class configuration through the operators' tool, routers and the log service, tested with real processes.

use std::time::Duration;

use fescuetide_base::ClassName;
use fescuetide_bench::config::ToolResult;
use fescuetide_bench::config::ToolRun;
use fescuetide_bench::config::router_table;
use fescuetide_bench::config::run_tool;
use fescuetide_bench::fleet::FleetProcesses;
use fescuetide_bench::fleet::FleetSettings;
use fescuetide_bench::fleet::is_ready;
use fescuetide_bench::once::set_log_faults;
use fescuetide_bench::process::SignalKind;
use fescuetide_bench::process::wait_for;
use fescuetide_classes::ClassSnapshot;
use fescuetide_classes::ClassTargets;
use fescuetide_standin::log::LogFaults;
use fescuetide_wire::log::CLASS_STREAM;
use fescuetide_wire::log::ClassRecord;

/// Timeout of waits, far above the durations expected in these tests.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// How long a test watches for a state that must not occur.
const WATCH_TIME: Duration = Duration::from_secs(3);

fn start_fleet(routers: usize, lines: &[&str]) -> FleetProcesses {
    let class: ClassName = "chat".parse().expect("class name");
    let targets = ClassTargets {
        repeatable: true,
        ..ClassTargets::default()
    };
    FleetProcesses::start(FleetSettings {
        routers,
        engines: 1,
        services: 0,
        classes: vec![(class, targets)],
        router_lines: lines.iter().map(|line| (*line).to_owned()).collect(),
        ..FleetSettings::default()
    })
    .expect("fleet starts")
}

fn revise(fleet: &FleetProcesses, lateness: &str, options: &[&str]) -> ToolResult {
    let mut arguments = vec!["class", "revise", "chat", lateness];
    arguments.extend(options);
    run_tool(fleet, &arguments).expect("tool runs")
}

/// The lateness target of the class in a class table, in ms.
fn lateness_in(table: &ClassSnapshot) -> u64 {
    let entry = table.entries.values().next().expect("a class");
    let targets = entry.targets.expect("targets");
    targets.lateness.within.as_millis()
}

fn lateness_of(fleet: &FleetProcesses, router: usize) -> Option<u64> {
    let table = router_table(&fleet.routers[router].vm).ok()??;
    Some(lateness_in(&table))
}

fn wait_for_lateness(fleet: &FleetProcesses, lateness: u64) {
    for router in 0..fleet.routers.len() {
        wait_for("the class on the router", WAIT_TIMEOUT, || {
            lateness_of(fleet, router) == Some(lateness)
        })
        .expect("class is in force");
    }
}

fn restart_router(fleet: &mut FleetProcesses, router: usize) {
    fleet.routers[router].process = None;
    fleet.start_router(router).expect("router starts");
}

fn wait_ready(fleet: &FleetProcesses, router: usize) {
    let address = fleet.routers[router].vm.data;
    wait_for("the router", WAIT_TIMEOUT, || is_ready(address)).expect("router is ready");
}

/// Guards against several accepted changes, or different ones on different routers, when operators change a class
/// concurrently.
#[test]
fn conflicting_changes_have_one_winner_on_every_router() {
    let fleet = start_fleet(3, &["log_interval_ms = 300"]);
    let mut runs = Vec::new();
    for operator in 1..=5 {
        let lateness = format!("lateness_ms={}", 1_000 + operator);
        let arguments = ["class", "revise", "chat", &lateness, "--based-on", "1"];
        runs.push((
            1_000 + operator,
            ToolRun::start(&fleet, &arguments).expect("tool starts"),
        ));
    }
    let mut winners = Vec::new();
    for (lateness, run) in runs {
        let result = run.wait().expect("tool ends");
        match result.code {
            Some(0) => winners.push(lateness),
            Some(2) => assert!(
                result.json["findings"]
                    .to_string()
                    .contains("version 2 is in force"),
                "{result:?}"
            ),
            _ => panic!("{result:?}"),
        }
    }
    assert_eq!(winners.len(), 1, "winners: {winners:?}");
    wait_for_lateness(&fleet, winners[0]);
    let history = run_tool(&fleet, &["class", "history", "chat"]).expect("tool runs");
    let changes = history.json["changes"].as_array().expect("changes");
    let rejected = changes
        .iter()
        .filter(|change| change["verdict"] == "rejected");
    assert_eq!((changes.len(), rejected.count()), (6, 4), "{changes:?}");
}

/// Guards against a change that takes longer than 5 s to be in force on all routers. The routers poll the log at a
/// tenth of the default interval, so that the result does not depend on the load of the machine.
#[test]
fn change_is_in_force_on_all_routers_in_time() {
    let fleet = start_fleet(3, &["log_interval_ms = 300"]);
    for step in 1..=3 {
        let result = revise(
            &fleet,
            &format!("lateness_ms={}", 1_900 + step),
            &["--wait"],
        );
        assert_eq!(result.code, Some(0), "{result:?}");
        assert_eq!(result.json["routers"], 3);
        let millis = result.json["in_force_after_ms"].as_u64().expect("time");
        assert!(millis < 5_000, "in force after {millis} ms");
        for router in 0..3 {
            assert_eq!(lateness_of(&fleet, router), Some(1_900 + step));
        }
    }
}

/// Guards against running routers that drop their classes when the log service returns without its records, and against
/// new routers or the operators' tool preferring such a log to the tables of the routers.
#[test]
fn classes_stay_in_force_when_the_log_starts_empty() {
    let mut fleet = start_fleet(2, &["log_interval_ms = 300"]);
    let result = revise(&fleet, "lateness_ms=777", &["--wait"]);
    assert_eq!(result.code, Some(0), "{result:?}");
    let before = router_table(&fleet.routers[0].vm).expect("router answers");
    fleet.log = None;
    fleet.start_log().expect("log starts");
    std::thread::sleep(WATCH_TIME);
    for router in 0..2 {
        assert!(is_ready(fleet.routers[router].vm.data));
        let table = router_table(&fleet.routers[router].vm).expect("router answers");
        assert_eq!(table, before, "router {router}");
    }
    restart_router(&mut fleet, 1);
    wait_ready(&fleet, 1);
    assert_eq!(lateness_of(&fleet, 1), Some(777));
    // The routers are at a higher offset than the new change but have not applied it.
    std::fs::write(fleet.folder.join("classes.toml"), "[class.late]\n").expect("file is written");
    let arguments = ["class", "publish", "classes.toml", "--wait"];
    let result = run_tool(&fleet, &arguments).expect("tool runs");
    assert_eq!(result.code, Some(1), "{result:?}");
    assert!(
        result.json["error"].to_string().contains("lost records"),
        "{result:?}"
    );
}

/// Guards against a router that cannot start during a log outage although a peer has the class table.
#[test]
fn router_takes_the_table_from_a_peer_in_a_log_outage() {
    for fault in [SignalKind::Kill, SignalKind::Pause] {
        let mut fleet = start_fleet(2, &["log_interval_ms = 300"]);
        let log = fleet.log.as_ref().expect("log runs");
        log.signal(fault).expect("signal is sent");
        restart_router(&mut fleet, 1);
        wait_ready(&fleet, 1);
        let tables = [0, 1].map(|router| router_table(&fleet.routers[router].vm).expect("answer"));
        assert_eq!(tables[0], tables[1], "{fault:?}");
    }
}

/// Guards against a router that accepts requests without a class table.
#[test]
fn router_is_not_ready_with_neither_log_nor_peer() {
    let mut fleet = start_fleet(1, &["log_interval_ms = 300"]);
    fleet.log = None;
    restart_router(&mut fleet, 0);
    let address = fleet.routers[0].vm.data;
    std::thread::sleep(WATCH_TIME);
    assert!(!is_ready(address));
    assert_eq!(
        router_table(&fleet.routers[0].vm).expect("router answers"),
        None
    );
}

/// Guards against a stale snapshot, appended by a writer that was paused, that reverts accepted changes on running
/// routers, on a router that starts from the log, or in the tool.
#[test]
fn stale_snapshot_of_a_paused_writer_reverts_nothing() {
    let mut fleet = start_fleet(2, &["log_interval_ms = 300"]);
    let stale = router_table(&fleet.routers[0].vm).expect("router answers");
    assert_eq!(revise(&fleet, "lateness_ms=555", &["--wait"]).code, Some(0));
    let record = ClassRecord::Snapshot(stale.expect("table"));
    let offset = fleet
        .log_client()
        .append(CLASS_STREAM, &record)
        .expect("append");
    wait_for("the stale snapshot on the routers", WAIT_TIMEOUT, || {
        let table = router_table(&fleet.routers[0].vm).ok().flatten();
        table.is_some_and(|table| table.next_offset > offset)
    })
    .expect("stream is read");
    restart_router(&mut fleet, 1);
    wait_ready(&fleet, 1);
    wait_for_lateness(&fleet, 555);
    let shown = run_tool(&fleet, &["class", "show", "chat"]).expect("tool runs");
    assert_eq!(shown.json["classes"][0]["targets"]["lateness_ms"], 555);
}

/// Guards against records that expire before a snapshot covers them, and against every router writing a snapshot.
#[test]
fn routers_write_a_snapshot_that_covers_all_changes() {
    let lines = [
        "log_interval_ms = 100",
        "snapshot_records = 4",
        "snapshot_jitter_ms = 2000",
    ];
    let fleet = start_fleet(3, &lines);
    for step in 1..=4 {
        let result = revise(&fleet, &format!("lateness_ms={}", 100 + step), &[]);
        assert_eq!(result.code, Some(0), "{result:?}");
    }
    let mut sealed = 0;
    wait_for("a snapshot", WAIT_TIMEOUT, || {
        let Ok(reply) = fleet
            .log_client()
            .read(CLASS_STREAM, Default::default(), 100)
        else {
            return false;
        };
        for record in reply.records {
            let Ok(ClassRecord::Snapshot(snapshot)) = serde_json::from_str(&record.data) else {
                continue;
            };
            if snapshot.next_offset.get() == record.offset && lateness_in(&snapshot) == 104 {
                sealed += 1;
            }
        }
        sealed > 0
    })
    .expect("a snapshot that covers all records before it");
}

/// Guards against a partial publication of a class file that also contains weights, addresses or placement.
#[test]
fn class_file_with_more_than_targets_is_rejected() {
    let fleet = start_fleet(1, &[]);
    let text = "[class.plans]\nlateness_ms = 0\nweight = 3\naddress = \"10.0.0.1\"\n[class.fine]\n";
    std::fs::write(fleet.folder.join("classes.toml"), text).expect("file is written");
    let result = run_tool(&fleet, &["class", "publish", "classes.toml"]).expect("tool runs");
    assert_eq!(result.code, Some(2), "{result:?}");
    let findings = result.json["findings"].as_array().expect("findings");
    let places: Vec<&str> = findings
        .iter()
        .filter_map(|finding| finding["place"].as_str())
        .collect();
    let expected = [
        "classes.toml, line 2, key \"class.plans.lateness_ms\"",
        "classes.toml, line 3, key \"class.plans.weight\"",
        "classes.toml, line 4, key \"class.plans.address\"",
    ];
    assert_eq!(places, expected);
    let shown = run_tool(&fleet, &["class", "show"]).expect("tool runs");
    assert_eq!(shown.json["classes"].as_array().map(Vec::len), Some(1));
}

/// The number of changes in the log that set this lateness target.
fn count_changes(fleet: &FleetProcesses, lateness: u64) -> usize {
    let log = fleet.log_client();
    let reply = log
        .read(CLASS_STREAM, Default::default(), 1_000)
        .expect("log answers");
    let mut count = 0;
    for record in reply.records {
        let Ok(ClassRecord::Change(change)) = serde_json::from_str(&record.data) else {
            continue;
        };
        let targets = change.targets.expect("targets");
        count += usize::from(targets.lateness.within.as_millis() == lateness);
    }
    count
}

/// Guards against a change that is appended twice, or reported as failed, because the reply to its append was lost.
#[test]
fn lost_append_reply_is_looked_up_in_the_log() {
    let fleet = start_fleet(1, &["log_interval_ms = 300"]);
    let lost = LogFaults {
        stream: CLASS_STREAM.to_owned(),
        reply_lost: true,
        ..LogFaults::default()
    };
    set_log_faults(&fleet, &lost).expect("faults are set");
    let result = revise(&fleet, "lateness_ms=321", &["--wait"]);
    assert_eq!(result.code, Some(0), "{result:?}");
    assert_eq!(count_changes(&fleet, 321), 1);
    // Longer than the tool's reply timeout.
    let slow = LogFaults {
        slow_ms: 10_000,
        slow_appends_only: true,
        ..LogFaults::default()
    };
    set_log_faults(&fleet, &slow).expect("faults are set");
    let result = revise(&fleet, "lateness_ms=654", &[]);
    assert_eq!(result.code, Some(0), "{result:?}");
    assert_eq!(count_changes(&fleet, 654), 1);
}

/// Guards against a router that cannot start, or starts with outdated classes, after the first log records expired.
#[test]
fn router_starts_from_a_snapshot_after_records_expired() {
    let lines = ["log_interval_ms = 100", "snapshot_jitter_ms = 500"];
    let mut fleet = start_fleet(2, &lines);
    let retention = LogFaults {
        retention_records: 3,
        ..LogFaults::default()
    };
    set_log_faults(&fleet, &retention).expect("faults are set");
    for step in 1..=8 {
        let result = revise(&fleet, &format!("lateness_ms={}", 100 + step), &["--wait"]);
        assert_eq!(result.code, Some(0), "{result:?}");
    }
    wait_for("a snapshot that counts", WAIT_TIMEOUT, || {
        let log = fleet.log_client();
        let reply = log
            .read(CLASS_STREAM, Default::default(), 100)
            .expect("log answers");
        assert!(reply.first > 0, "records have expired");
        reply
            .records
            .iter()
            .any(|record| match serde_json::from_str(&record.data) {
                Ok(ClassRecord::Snapshot(snapshot)) => snapshot.next_offset.get() >= reply.first,
                _ => false,
            })
    })
    .expect("a router writes a snapshot");
    fleet.routers[0].process = None;
    restart_router(&mut fleet, 1);
    wait_ready(&fleet, 1);
    assert_eq!(lateness_of(&fleet, 1), Some(108));
    let shown = run_tool(&fleet, &["class", "show", "chat"]).expect("tool runs");
    assert_eq!(shown.json["classes"][0]["targets"]["lateness_ms"], 108);
}

/// Guards against a router that starts from a stale snapshot although later changes have expired.
#[test]
fn router_does_not_start_from_a_snapshot_with_expired_successors() {
    let mut fleet = start_fleet(1, &["log_interval_ms = 100", "snapshot_jitter_ms = 60000"]);
    let stale = router_table(&fleet.routers[0].vm).expect("router answers");
    for step in 1..=4 {
        let result = revise(&fleet, &format!("lateness_ms={}", 100 + step), &[]);
        assert_eq!(result.code, Some(0), "{result:?}");
    }
    fleet.routers[0].process = None;
    let retention = LogFaults {
        retention_records: 2,
        ..LogFaults::default()
    };
    set_log_faults(&fleet, &retention).expect("faults are set");
    let record = ClassRecord::Snapshot(stale.expect("table"));
    fleet
        .log_client()
        .append(CLASS_STREAM, &record)
        .expect("append");
    fleet.start_router(0).expect("router starts");
    std::thread::sleep(WATCH_TIME);
    assert!(!is_ready(fleet.routers[0].vm.data));
    assert_eq!(
        router_table(&fleet.routers[0].vm).expect("router answers"),
        None
    );
}
