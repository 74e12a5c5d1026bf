//! Callers that disconnect, and deadlines.

use std::time::Duration;

use fescuetide_bench::fault_client::StreamCall;
use fescuetide_bench::fleet::FleetProcesses;
use fescuetide_bench::fleet::FleetSettings;
use fescuetide_bench::fleet_faults::fault_settings;
use fescuetide_bench::oracle::check_outcome;
use fescuetide_bench::oracle::content_hash;
use fescuetide_bench::oracle::journal_lines;
use fescuetide_bench::process::SignalKind;
use fescuetide_bench::process::wait_for;
use fescuetide_standin::faults::EngineFaults;
use fescuetide_standin::faults::ProxyFaults;
use fescuetide_standin::journal::JournalEvent;
use fescuetide_wire::api::CallOutcome;

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Starts a fleet whose side processes do not cancel responses without readers within the duration of a test.
fn start_fleet(router_lines: &[&str]) -> FleetProcesses {
    FleetProcesses::start(FleetSettings {
        proxied: vec![0],
        router_lines: router_lines.iter().map(|line| (*line).to_owned()).collect(),
        side_lines: vec!["orphan_timeout_ms = 600000".to_owned()],
        ..fault_settings(1, 1)
    })
    .expect("fleet starts")
}

fn wait_cancelled(fleet: &FleetProcesses, call: &StreamCall) {
    let content = content_hash(&call.messages());
    wait_for("cancellation at the engine", WAIT_TIMEOUT, || {
        let lines = journal_lines(fleet, content).unwrap_or_default();
        lines
            .iter()
            .any(|entry| entry.line.event == JournalEvent::Cancelled)
    })
    .expect("cancellation");
}

/// Guards against an engine that continues to generate tokens after the caller disconnected.
#[test]
fn engine_stops_when_the_caller_leaves() {
    let fleet = start_fleet(&[]);
    let call = StreamCall::new(fleet.router_addresses()[0], "caller leaves", 100_000);
    let result = call.run_with(|tokens| tokens < 10);
    check_outcome(&fleet, &result).expect("the outcome agrees with the journals");
    wait_cancelled(&fleet, &call);
}

/// Guards against a disconnect of the caller that is not detected while the engine sends nothing.
#[test]
fn engine_that_pauses_drops_the_request_of_a_caller_that_left() {
    let fleet = start_fleet(&[]);
    let call = StreamCall::new(fleet.router_addresses()[0], "leaves in a pause", 100_000);
    let paused = EngineFaults {
        paused: true,
        ..EngineFaults::default()
    };
    call.run_with(|tokens| {
        if tokens == 10 {
            fleet.set_engine_faults(0, &paused).expect("faults");
        }
        tokens < 10
    });
    wait_cancelled(&fleet, &call);
}

/// Guards against a cancellation that is lost on a half-open connection.
#[test]
fn engine_stops_when_the_caller_leaves_a_half_open_stream() {
    let fleet = start_fleet(&[]);
    let proxy = fleet.proxy(0).expect("proxy");
    let call = StreamCall::new(fleet.router_addresses()[0], "leaves half open", 100_000);
    let faults = ProxyFaults {
        silence_existing: true,
        ..ProxyFaults::default()
    };
    call.run_with(|tokens| {
        if tokens == 10 {
            proxy.set_faults(&faults).expect("faults");
        }
        tokens < 10
    });
    wait_cancelled(&fleet, &call);
}

/// Guards against a silent side process that delays the final response past the deadline.
#[test]
fn deadline_limits_the_wait_on_a_silent_connection() {
    // A connection counts as silent after 60 s, so only the deadline can end the wait earlier.
    let fleet = start_fleet(&["heartbeat_ms = 20000"]);
    let router = fleet.router_addresses()[0];
    let before = StreamCall::new(router, "before", 2).run();
    assert_eq!(before.outcome, Some(CallOutcome::Completed));
    fleet.signal_side(0, SignalKind::Pause).expect("signal");
    let mut call = StreamCall::new(router, "deadline", 2);
    call.deadline = Some(Duration::from_millis(500));
    let result = call.run();
    assert_eq!(result.outcome, Some(CallOutcome::Failed), "{result:?}");
    assert!(result.retry_after_secs.is_some(), "{result:?}");
    assert!(result.elapsed >= Duration::from_millis(500), "{result:?}");
    assert!(result.elapsed < Duration::from_secs(5), "{result:?}");
}

/// Guards against a response that is delayed until the deadline although no upstream can run the request.
#[test]
fn request_without_a_usable_upstream_is_refused_at_once() {
    let mut fleet = start_fleet(&[]);
    fleet.kill_side(0).expect("kill");
    fleet.kill_upstream(0).expect("kill");
    let mut call = StreamCall::new(fleet.router_addresses()[0], "nobody", 2);
    call.deadline = Some(Duration::from_secs(60));
    let result = call.run();
    assert_eq!(result.outcome, Some(CallOutcome::NotRun), "{result:?}");
    assert!(result.retry_after_secs.is_some(), "{result:?}");
    assert!(result.elapsed < Duration::from_secs(10), "{result:?}");
    check_outcome(&fleet, &result).expect("the outcome agrees with the journals");
}
