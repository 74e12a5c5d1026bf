//! Combinations of two failures.

use std::thread;
use std::time::Duration;

use fescuetide_bench::fault_client::StreamCall;
use fescuetide_bench::fault_client::StreamResult;
use fescuetide_bench::fleet::FleetProcesses;
use fescuetide_bench::fleet::FleetSettings;
use fescuetide_bench::fleet_faults::fault_settings;
use fescuetide_bench::oracle::check_outcome;
use fescuetide_bench::oracle::content_hash;
use fescuetide_bench::oracle::latest_upstream;
use fescuetide_bench::oracle::run_count;
use fescuetide_bench::process::SignalKind;
use fescuetide_bench::process::wait_for;
use fescuetide_standin::faults::ProxyFaults;
use fescuetide_standin::faults::VmListFaults;
use fescuetide_wire::api::CallOutcome;

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

fn start_fleet() -> FleetProcesses {
    FleetProcesses::start(FleetSettings {
        proxied: vec![0, 1],
        ..fault_settings(2, 2)
    })
    .expect("fleet starts")
}

fn assert_completed(fleet: &FleetProcesses, result: &StreamResult) {
    assert_eq!(result.outcome, Some(CallOutcome::Completed), "{result:?}");
    check_outcome(fleet, result).expect("the outcome agrees with the journals");
}

fn runs(fleet: &FleetProcesses, result: &StreamResult) -> usize {
    run_count(fleet, content_hash(&result.messages)).expect("journals")
}

/// Sends a request to the first router and, after 10 tokens, calls `act` with the index of the upstream that runs it.
fn run_and_act(fleet: &FleetProcesses, name: &str, act: impl Fn(usize)) -> (StreamResult, usize) {
    let call = StreamCall::new(fleet.router_addresses()[0], name, 60);
    let content = content_hash(&call.messages());
    let mut index = usize::MAX;
    let result = call.run_with(|tokens| {
        if tokens == 10 {
            index = latest_upstream(fleet, content).expect("runner");
            act(index);
        }
        true
    });
    (result, index)
}

fn silence_connections(fleet: &FleetProcesses, index: usize) {
    let faults = ProxyFaults {
        silence_existing: true,
        ..ProxyFaults::default()
    };
    let proxy = fleet.proxy(index).expect("proxy");
    proxy.set_faults(&faults).expect("faults");
}

/// Guards against a lost stream when its connection is half-open and its side process dies before that is detected.
#[test]
fn half_open_connection_and_killed_side_process() {
    let fleet = start_fleet();
    let (result, _) = run_and_act(&fleet, "half open, side killed", |index| {
        silence_connections(&fleet, index);
        fleet.signal_side(index, SignalKind::Kill).expect("signal");
    });
    assert_completed(&fleet, &result);
    assert_eq!(result.attempts, 2);
    assert_eq!(runs(&fleet, &result), 2);
}

/// Guards against a lost stream when its connection is half-open and its engine dies before that is detected.
#[test]
fn half_open_connection_and_killed_engine() {
    let fleet = start_fleet();
    let (result, _) = run_and_act(&fleet, "half open, engine killed", |index| {
        silence_connections(&fleet, index);
        fleet
            .signal_upstream(index, SignalKind::Kill)
            .expect("signal");
    });
    assert_completed(&fleet, &result);
    assert_eq!(result.attempts, 2);
    assert_eq!(runs(&fleet, &result), 2);
}

/// Guards against a side process that exits on SIGTERM before the router has resumed its stream.
#[test]
fn half_open_connection_and_terminated_side_process() {
    let mut fleet = start_fleet();
    let (result, index) = run_and_act(&fleet, "half open, side stops", |index| {
        silence_connections(&fleet, index);
        fleet
            .signal_side(index, SignalKind::Terminate)
            .expect("signal");
    });
    assert_completed(&fleet, &result);
    assert_eq!(result.attempts, 1, "the stream had to move");
    assert_eq!(runs(&fleet, &result), 1, "the stream had to move");
    let process = fleet.upstreams[index].side.as_mut().expect("process");
    assert!(
        process.wait_ended(WAIT_TIMEOUT).expect("wait"),
        "side process still runs"
    );
}

/// Guards against a leaving VM that refuses to resume a stream.
#[test]
fn half_open_connection_and_leaving_vm() {
    let mut fleet = start_fleet();
    let call = StreamCall::new(fleet.router_addresses()[0], "half open, leaving", 100);
    let content = content_hash(&call.messages());
    let stream = thread::spawn(move || call.run());
    wait_for("start of the stream", WAIT_TIMEOUT, || {
        latest_upstream(&fleet, content).is_ok()
    })
    .expect("stream");
    let index = latest_upstream(&fleet, content).expect("runner");
    fleet.mark_leaving(index, true).expect("VM list");
    silence_connections(&fleet, index);
    let result = stream.join().expect("caller");
    assert_completed(&fleet, &result);
    assert_eq!(result.attempts, 1, "the stream had to move");
    assert_eq!(runs(&fleet, &result), 1, "the stream had to move");
}

/// Guards against requests that fail because a stale VM list still contains a dead engine.
#[test]
fn stale_vm_list_and_killed_engine() {
    let fleet = start_fleet();
    let faults = VmListFaults {
        lag_ms: 3_600_000,
        ..VmListFaults::default()
    };
    fleet.set_vm_list_faults(&faults).expect("faults");
    let (result, index) = run_and_act(&fleet, "stale list, engine killed", |index| {
        fleet
            .signal_upstream(index, SignalKind::Kill)
            .expect("signal");
    });
    assert_completed(&fleet, &result);
    for turn in 0..8 {
        let router = fleet.router_addresses()[turn % 2];
        let result = StreamCall::new(router, &format!("later {turn}"), 3).run();
        assert_completed(&fleet, &result);
        let latest = latest_upstream(&fleet, content_hash(&result.messages)).expect("runner");
        assert_ne!(latest, index);
    }
}

/// Guards against a router that exits during a retry.
#[test]
fn terminated_router_and_killed_side_process() {
    let mut fleet = start_fleet();
    let (result, _) = run_and_act(&fleet, "router stops, side killed", |index| {
        fleet
            .signal_router(0, SignalKind::Terminate)
            .expect("signal");
        fleet.signal_side(index, SignalKind::Kill).expect("signal");
    });
    assert_completed(&fleet, &result);
    let process = fleet.routers[0].process.as_mut().expect("process");
    assert!(
        process.wait_ended(WAIT_TIMEOUT).expect("wait"),
        "router still runs"
    );
}

/// Guards against lost streams when one side process is paused and the connections of the other become half-open.
#[test]
fn paused_side_process_and_half_open_connections() {
    let fleet = start_fleet();
    let (result, index) = run_and_act(&fleet, "paused and half open", |index| {
        fleet.signal_side(index, SignalKind::Pause).expect("signal");
        silence_connections(&fleet, 1 - index);
    });
    assert_completed(&fleet, &result);
    fleet
        .signal_side(index, SignalKind::Resume)
        .expect("signal");
}
