//! A VM list service that is unavailable, stale, inconsistent between readers, or flapping.

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
use fescuetide_bench::process::wait_for;
use fescuetide_standin::faults::VmListFaults;
use fescuetide_wire::api::CallOutcome;

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

fn start_fleet(engines: usize) -> FleetProcesses {
    let interval = vec!["vm_list_interval_ms = 200".to_owned()];
    FleetProcesses::start(FleetSettings {
        router_lines: interval.clone(),
        side_lines: interval,
        ..fault_settings(2, engines)
    })
    .expect("fleet starts")
}

fn assert_completed(fleet: &FleetProcesses, result: &StreamResult) {
    assert_eq!(result.outcome, Some(CallOutcome::Completed), "{result:?}");
    check_outcome(fleet, result).expect("the outcome agrees with the journals");
}

/// Sends requests sequentially to the routers in round-robin order.
fn run_requests(fleet: &FleetProcesses, name: &str, count: usize) {
    let routers = fleet.router_addresses();
    for turn in 0..count {
        let call = StreamCall::new(routers[turn % routers.len()], &format!("{name} {turn}"), 3);
        assert_completed(fleet, &call.run());
    }
}

/// Guards against routers that stop working while the VM list service is unavailable.
#[test]
fn requests_complete_while_the_vm_list_is_down() {
    let mut fleet = start_fleet(2);
    let faults = VmListFaults {
        outage: true,
        ..VmListFaults::default()
    };
    fleet.set_vm_list_faults(&faults).expect("faults");
    thread::sleep(Duration::from_secs(1));
    run_requests(&fleet, "outage", 6);
    fleet.vm_list = None;
    thread::sleep(Duration::from_secs(1));
    run_requests(&fleet, "killed", 6);
}

/// Guards against requests that fail because a stale list still contains a VM that no longer exists.
#[test]
fn removed_vm_is_skipped_with_a_stale_list() {
    let mut fleet = start_fleet(2);
    let faults = VmListFaults {
        lag_ms: 3_600_000,
        ..VmListFaults::default()
    };
    fleet.set_vm_list_faults(&faults).expect("faults");
    run_requests(&fleet, "before", 4);
    fleet.kill_side(0).expect("kill");
    fleet.kill_upstream(0).expect("kill");
    run_requests(&fleet, "after", 8);
}

/// Guards against new work on a leaving VM from a router with a stale list.
#[test]
fn leaving_vm_refuses_work_of_a_router_with_a_stale_list() {
    let mut fleet = start_fleet(2);
    let mut faults = VmListFaults::default();
    faults
        .reader_lag_ms
        .insert("router-1".to_owned(), 3_600_000);
    fleet.set_vm_list_faults(&faults).expect("faults");
    fleet.mark_leaving(0, true).expect("VM list");
    thread::sleep(Duration::from_secs(3));
    for turn in 0..8 {
        let call = StreamCall::new(fleet.router_addresses()[0], &format!("stale {turn}"), 3);
        let result = call.run();
        assert_completed(&fleet, &result);
        let index = latest_upstream(&fleet, content_hash(&result.messages)).expect("runner");
        assert_eq!(index, 1, "new work for a leaving VM");
    }
}

/// Guards against lost requests while routers see different VM lists.
#[test]
fn requests_complete_while_routers_see_different_lists() {
    let fleet = start_fleet(2);
    let mut faults = VmListFaults::default();
    for (reader, hidden) in [("router-1", "engine-1"), ("router-2", "engine-2")] {
        faults
            .reader_hidden
            .insert(reader.to_owned(), vec![hidden.to_owned()]);
    }
    fleet.set_vm_list_faults(&faults).expect("faults");
    run_requests(&fleet, "differing", 12);
}

/// Guards against lost requests and streams while entries of the list flap.
#[test]
fn requests_complete_while_entries_flap() {
    let fleet = start_fleet(3);
    let call = StreamCall::new(fleet.router_addresses()[0], "long stream", 150);
    let stream = thread::spawn(move || call.run());
    for turn in 0..12 {
        let faults = VmListFaults {
            hidden: vec![format!("engine-{}", turn % 3 + 1)],
            ..VmListFaults::default()
        };
        fleet.set_vm_list_faults(&faults).expect("faults");
        run_requests(&fleet, &format!("flapping {turn}"), 2);
    }
    assert_completed(&fleet, &stream.join().expect("caller"));
}

/// Guards against an upstream that stays unused after its VM was listed as leaving by mistake.
#[test]
fn vm_that_is_no_longer_listed_as_leaving_works_again() {
    let mut fleet = FleetProcesses::start(fault_settings(1, 1)).expect("fleet starts");
    let router = fleet.router_addresses()[0];
    fleet.mark_leaving(0, true).expect("VM list");
    wait_for("refusal", WAIT_TIMEOUT, || {
        StreamCall::new(router, "leaving", 1).run().outcome == Some(CallOutcome::NotRun)
    })
    .expect("refusal");
    fleet.mark_leaving(0, false).expect("VM list");
    wait_for("work", WAIT_TIMEOUT, || {
        StreamCall::new(router, "back again", 1).run().outcome == Some(CallOutcome::Completed)
    })
    .expect("work");
}
