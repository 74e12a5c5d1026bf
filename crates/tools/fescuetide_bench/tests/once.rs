//! At-most-once execution of non-repeatable requests: resends, refusals and log faults, tested with real processes.

use std::thread;
use std::time::Duration;

use fescuetide_bench::fleet::is_ready;
use fescuetide_bench::once::OnceCall;
use fescuetide_bench::once::OnceCaller;
use fescuetide_bench::once::read_journals;
use fescuetide_bench::once_fleet::OnceFleet;
use fescuetide_bench::once_fleet::WAIT_TIMEOUT;
use fescuetide_bench::ports::free_address;
use fescuetide_bench::probe::StatusProbe;
use fescuetide_bench::process::wait_for;
use fescuetide_standin::journal::JournalEvent;
use fescuetide_standin::log::LogFaults;
use fescuetide_standin::vms::VmListStandIn;
use fescuetide_wire::api::CallOutcome;

const COMPLETED: Option<CallOutcome> = Some(CallOutcome::Completed);
const NOT_RUN: Option<CallOutcome> = Some(CallOutcome::NotRun);
const UNKNOWN: Option<CallOutcome> = Some(CallOutcome::Unknown);

/// Limit for responses that must not wait; requests of class `slow` may wait ten times as long for the log.
const IMMEDIATE_LIMIT: Duration = Duration::from_secs(10);

/// Guards against a resend that runs again, and against a retained response that is lost or belongs to another request.
#[test]
fn resend_after_completion_gets_the_same_answer() {
    let fleet = OnceFleet::start(2, 3, 5);
    let caller = fleet.caller("export");
    for number in 0..20 {
        let call = OnceCall::new().in_chat(&format!("c-{number}"));
        let first = caller.send(fleet.router(0), &call);
        let second = caller.send(fleet.router(1), &call.in_chat("c-other"));
        assert_eq!(first.outcome, COMPLETED, "{}", first.body);
        assert_eq!(second.outcome, COMPLETED, "{}", second.body);
        assert_eq!(first.body, second.body);
        assert_eq!(second.attempts, 0);
    }
    fleet.verify(&caller);
}

/// Guards against a second run when two routers append claims of a key before either has read them back.
#[test]
fn same_key_at_two_routers_at_once_runs_once() {
    let fleet = OnceFleet::start(2, 3, 100);
    let caller = fleet.caller("export");
    send_pairs(&fleet, &caller, 20);
    fleet.verify(&caller);
}

/// Sends each key to two routers at about the same time, from chats that prefer different services.
fn send_pairs(fleet: &OnceFleet, caller: &OnceCaller, count: u64) {
    for number in 0..count {
        let call = OnceCall::new();
        let other = call.in_chat(&format!("c-{}", number + 1));
        thread::scope(|scope| {
            let first = scope.spawn(|| caller.send(fleet.router(0), &call));
            // The delays span the duration of a claim, so that the two appends overlap in every order.
            thread::sleep(Duration::from_millis(number * 3 % 40));
            let second = caller.send(fleet.router(1), &other);
            let first = first.join().expect("caller");
            assert_eq!(first.outcome, COMPLETED, "{}", first.body);
            assert_eq!(second.outcome, COMPLETED, "{}", second.body);
        });
    }
}

/// Guards against two registrars that both admit a request. Here, each router sees itself as the only one.
#[test]
fn two_registrars_at_once_run_a_key_once() {
    let mut fleet = OnceFleet::start(1, 3, 100);
    let address = free_address().expect("free port");
    thread::spawn(move || VmListStandIn::default().serve(address));
    let first_list = std::mem::replace(&mut fleet.fleet.vm_list_address, address);
    fleet.fleet.add_router(1).expect("router starts");
    let (first, second) = (fleet.fleet.routers.remove(0), fleet.fleet.routers.remove(0));
    fleet.fleet.routers.push(second);
    wait_for("VM list", WAIT_TIMEOUT, || {
        fleet.fleet.publish_vm_list().is_ok()
    })
    .expect("list is taken");
    fleet.fleet.routers.insert(0, first);
    fleet.fleet.vm_list_address = first_list;
    wait_for("second router", WAIT_TIMEOUT, || is_ready(fleet.router(1))).expect("router is ready");
    let caller = fleet.caller("export");
    fleet.set_faults(LogFaults {
        stream: "claims-".to_owned(),
        slow_ms: 60,
        uneven: true,
        ..LogFaults::default()
    });
    send_pairs(&fleet, &caller, 40);
    fleet.verify(&caller);
}

/// Guards against a resend that does not wait for the running request, runs again or is refused.
#[test]
fn resend_while_running_joins() {
    let fleet = OnceFleet::start(2, 2, 2_000);
    let caller = fleet.caller("export");
    let call = OnceCall::new();
    thread::scope(|scope| {
        let first = scope.spawn(|| caller.send(fleet.router(0), &call));
        fleet.wait_for_run(call.key);
        let second = caller.send(fleet.router(1), &call);
        let first = first.join().expect("caller");
        assert_eq!(first.outcome, COMPLETED, "{}", first.body);
        assert_eq!(second.outcome, COMPLETED, "{}", second.body);
        assert_eq!(first.body, second.body);
    });
    fleet.verify(&caller);
}

/// Guards against a run that is cancelled or started again because its caller disconnected.
#[test]
fn run_goes_on_when_the_caller_leaves() {
    let fleet = OnceFleet::start(2, 2, 3_000);
    let caller = fleet.caller("export");
    let call = OnceCall::new();
    let impatient = OnceCall {
        timeout: Duration::from_millis(1_500),
        ..call.clone()
    };
    let left = caller.send(fleet.router(0), &impatient);
    assert_eq!(left.outcome, None);
    let again = caller.send(fleet.router(1), &call);
    assert_eq!(again.outcome, COMPLETED, "{}", again.body);
    let lines = read_journals(&fleet.fleet).expect("journals");
    let done = lines.iter().any(|line| line.event == JournalEvent::Done);
    assert!(done, "{lines:?}");
    fleet.verify(&caller);
}

/// Guards against a refusal by one upstream that ends the request although other upstreams could run it.
#[test]
fn refused_claim_passes_to_the_next_upstream() {
    let fleet = OnceFleet::start(2, 3, 5);
    StatusProbe::new()
        .and_then(|probe| probe.drain_side(fleet.fleet.upstreams[0].vm.control))
        .expect("side process drains");
    let caller = fleet.caller("export");
    let mut attempts = 0;
    for number in 0..12 {
        let call = OnceCall::new().in_chat(&format!("c-{number}"));
        let response = caller.send(fleet.router(0), &call);
        assert_eq!(response.outcome, COMPLETED, "{}", response.body);
        attempts += response.attempts;
    }
    assert!(attempts > 12, "no request was refused");
    fleet.verify(&caller);
}

/// Guards against requests that wait for a claim while the log is down, requests that run without a claim, repeatable
/// requests that stop, and retained responses that are refused.
#[test]
fn log_down_refuses_at_once() {
    let fleet = OnceFleet::start(2, 2, 5);
    let caller = fleet.caller("slow");
    let done = OnceCall::new();
    assert_eq!(caller.send(fleet.router(0), &done).outcome, COMPLETED);
    fleet.set_faults(LogFaults {
        down: true,
        ..LogFaults::default()
    });
    let call = OnceCall::new();
    for router in [0, 1, 0, 1] {
        let response = caller.send(fleet.router(router), &call);
        assert_eq!(response.outcome, NOT_RUN, "{}", response.body);
        assert!(response.retry_after.is_some());
        assert!(
            response.latency < IMMEDIATE_LIMIT,
            "answer took {:?}",
            response.latency
        );
    }
    assert_eq!(caller.send(fleet.router(1), &done).outcome, COMPLETED);
    let repeatable = fleet.caller("report");
    let response = repeatable.send(fleet.router(0), &OnceCall::new());
    assert_eq!(response.outcome, COMPLETED);
    fleet.set_faults(LogFaults::default());
    wait_for("recovery", WAIT_TIMEOUT, || {
        caller.send(fleet.router(0), &call).outcome == COMPLETED
    })
    .expect("requests run again");
    fleet.verify(&caller);
}

/// Guards against a request that waits, or runs, although its claim cannot be made within the lateness target.
#[test]
fn slow_log_refuses_and_recovers() {
    let fleet = OnceFleet::start(2, 2, 5);
    let caller = fleet.caller("export");
    fleet.set_faults(LogFaults {
        stream: "claims-".to_owned(),
        slow_ms: 2_500,
        ..LogFaults::default()
    });
    let call = OnceCall::new();
    for router in [0, 1, 0, 1] {
        let response = caller.send(fleet.router(router), &OnceCall::new());
        assert_eq!(response.outcome, NOT_RUN, "{}", response.body);
        assert!(response.retry_after.is_some());
        // The claim of the earlier send may be in the log by now. The router cannot read in time whether it was
        // superseded, so the outcome of a resend may also be unknown.
        let response = caller.send(fleet.router(router), &call);
        assert!(
            matches!(response.outcome, NOT_RUN | UNKNOWN),
            "{}",
            response.body
        );
        assert!(response.retry_after.is_some());
    }
    fleet.set_faults(LogFaults {
        stream: "claims-".to_owned(),
        slow_ms: 50,
        ..LogFaults::default()
    });
    wait_for("recovery", WAIT_TIMEOUT, || {
        caller.send(fleet.router(0), &call).outcome == COMPLETED
    })
    .expect("requests run again");
    fleet.verify(&caller);
}

/// Guards against a claim that is abandoned or made twice because the reply to its append was lost, and against claims
/// that are lost while the log limits the rate of appends.
#[test]
fn lost_append_replies_are_resolved_by_reading() {
    let fleet = OnceFleet::start(2, 2, 5);
    let caller = fleet.caller("slow");
    fleet.set_faults(LogFaults {
        stream: "claims-".to_owned(),
        reply_lost: true,
        appends_per_second: 5,
        ..LogFaults::default()
    });
    for number in 0..10 {
        let call = OnceCall::new();
        let response = caller.send(fleet.router(number % 2), &call);
        assert!(
            matches!(response.outcome, COMPLETED | NOT_RUN),
            "{}",
            response.body
        );
        wait_for("completion", WAIT_TIMEOUT, || {
            caller.send(fleet.router(0), &call).outcome == COMPLETED
        })
        .expect("request completes");
    }
    fleet.verify(&caller);
}
