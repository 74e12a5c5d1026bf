//! Request traces and the burn report of the operators' tool, tested with real processes.

use std::time::Duration;

use fescuetide_base::ClassName;
use fescuetide_base::SpanMillis;
use fescuetide_bench::client::CallerClient;
use fescuetide_bench::config::run_tool;
use fescuetide_bench::fleet::FleetProcesses;
use fescuetide_bench::fleet::FleetSettings;
use fescuetide_bench::process::wait_for;
use fescuetide_bench::workload::MultiTurnChat;
use fescuetide_classes::ClassTargets;
use fescuetide_classes::LatenessTarget;
use serde_json::Value;

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

fn start_fleet() -> FleetProcesses {
    let class: ClassName = "chat".parse().expect("class name");
    let targets = ClassTargets {
        // No response is this fast, so every request counts as late.
        lateness: LatenessTarget {
            within: SpanMillis::new(1),
            ..LatenessTarget::default()
        },
        repeatable: true,
        ..ClassTargets::default()
    };
    FleetProcesses::start(FleetSettings {
        routers: 2,
        engines: 2,
        services: 0,
        classes: vec![(class, targets)],
        router_lines: vec!["record_interval_ms = 100".to_owned()],
        ..FleetSettings::default()
    })
    .expect("fleet starts")
}

fn send_turn(fleet: &FleetProcesses, router: usize) -> String {
    let mut chat = MultiTurnChat::new(5, 0, router, "chat", 50);
    let address = fleet.router_addresses()[router];
    let result = CallerClient::default().chat(address, &chat.next_call());
    assert!(result.is_complete);
    result.request.expect("the last event names the request")
}

fn json_of(fleet: &FleetProcesses, arguments: &[&str]) -> Option<Value> {
    let result = run_tool(fleet, arguments).expect("tool runs");
    (result.code == Some(0)).then_some(result.json)
}

/// Guards against a request that cannot be traced at its router, or after that router was killed.
#[test]
fn request_is_traced_also_when_its_router_is_gone() {
    let mut fleet = start_fleet();
    let request = send_turn(&fleet, 1);
    let arguments = ["trace", &request];
    wait_for("trace at the router", WAIT_TIMEOUT, || {
        json_of(&fleet, &arguments).is_some()
    })
    .expect("request is found");
    let live = json_of(&fleet, &arguments).expect("trace");
    assert_eq!(live["outcome"], "completed");
    assert_eq!(live["attempts"][0]["result"], "completed");
    let log = fleet.log_address;
    wait_for("append of the batch", WAIT_TIMEOUT, || {
        ureq::get(format!("http://{log}/streams/requests"))
            .call()
            .and_then(|mut response| response.body_mut().read_to_string())
            .is_ok_and(|text| text.contains(&request))
    })
    .expect("batch is appended");
    fleet.routers[1].process = None;
    let gone = json_of(&fleet, &arguments).expect("trace from the log");
    assert_eq!(gone, live);
}

/// Guards against a burn report that misses requests of some routers or evaluates a target incorrectly.
#[test]
fn burn_report_sums_over_all_routers() {
    let fleet = start_fleet();
    for turn in 0..4 {
        send_turn(&fleet, turn % 2);
    }
    let mut line = Value::Null;
    wait_for("four requests in the report", WAIT_TIMEOUT, || {
        let Some(report) = json_of(&fleet, &["burn"]) else {
            return false;
        };
        line = report["lines"][0].clone();
        line["count"]["total"] == 4
    })
    .expect("all requests are counted");
    assert_eq!(line["class"], "chat");
    assert_eq!(line["window"], "5m");
    assert_eq!(line["count"]["late"], 4);
    assert_eq!(line["lateness"], 20.0);
    assert_eq!(line["duplication"], 0);
}
