//! Connections between routers and side processes that fail during a response.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use fescuetide_bench::fault_client::StreamCall;
use fescuetide_bench::fault_client::StreamResult;
use fescuetide_bench::fleet::FleetProcesses;
use fescuetide_bench::fleet::FleetSettings;
use fescuetide_bench::fleet_faults::fault_settings;
use fescuetide_bench::oracle::check_outcome;
use fescuetide_bench::oracle::content_hash;
use fescuetide_bench::oracle::run_count;
use fescuetide_bench::process::wait_for;
use fescuetide_standin::faults::CutFault;
use fescuetide_standin::faults::ProxyFaults;
use fescuetide_standin::journal::JournalEvent;
use fescuetide_standin::journal::read_journal;
use fescuetide_wire::api::CallOutcome;

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

fn proxied_fleet(router_lines: &[&str], step_ms: u64) -> FleetProcesses {
    FleetProcesses::start(FleetSettings {
        proxied: vec![0],
        router_lines: router_lines.iter().map(|line| (*line).to_owned()).collect(),
        engine_options: vec!["--step-ms".to_owned(), step_ms.to_string()],
        ..fault_settings(1, 1)
    })
    .expect("fleet starts")
}

fn assert_completed(fleet: &FleetProcesses, result: &StreamResult) {
    assert_eq!(result.outcome, Some(CallOutcome::Completed), "{result:?}");
    check_outcome(fleet, result).expect("the outcome agrees with the journals");
}

/// Guards against a half-open connection that blocks its stream, ends it with an error, or loses or repeats text.
#[test]
fn half_open_connection_only_pauses_the_stream() {
    let fleet = proxied_fleet(&[], 20);
    let router = fleet.router_addresses()[0];
    let proxy = fleet.proxy(0).expect("proxy");
    let result = StreamCall::new(router, "half open", 60).run_with(|tokens| {
        if tokens == 10 {
            let faults = ProxyFaults {
                silence_existing: true,
                ..ProxyFaults::default()
            };
            proxy.set_faults(&faults).expect("faults");
        }
        true
    });
    assert_completed(&fleet, &result);
    assert_eq!(result.attempts, 1);
    assert_eq!(
        run_count(&fleet, content_hash(&result.messages)).expect("journals"),
        1
    );
    // Silence is detected after three heartbeats, or 3 s. Undetected, it would last until the deadline of 60 s.
    assert!(result.max_gap >= Duration::from_secs(2), "{result:?}");
    assert!(result.max_gap < Duration::from_secs(30), "{result:?}");
}

/// Guards against a request that ends as `not-run` because an idle connection became half-open although the upstream is
/// healthy.
#[test]
fn silent_idle_connection_is_replaced() {
    let fleet = proxied_fleet(&[], 5);
    let router = fleet.router_addresses()[0];
    assert_completed(&fleet, &StreamCall::new(router, "before", 5).run());
    let faults = ProxyFaults {
        silence_existing: true,
        ..ProxyFaults::default()
    };
    let proxy = fleet.proxy(0).expect("proxy");
    proxy.set_faults(&faults).expect("faults");
    // A request without a chat asks each engine only once under the same admission condition.
    let mut call = StreamCall::new(router, "after", 5);
    call.chat.clear();
    let result = call.run();
    assert_completed(&fleet, &result);
    assert_eq!(
        run_count(&fleet, content_hash(&result.messages)).expect("journals"),
        1
    );
}

/// Guards against lost or repeated text, and against a second run, when a connection closes in the middle of a frame.
#[test]
fn cut_connections_lose_no_text() {
    let fleet = proxied_fleet(&[], 2);
    let router = fleet.router_addresses()[0];
    let proxy = fleet.proxy(0).expect("proxy");
    // With an established connection, the cut affects the dispatch rather than the handshake.
    assert_completed(&fleet, &StreamCall::new(router, "before", 5).run());
    let offsets = [
        0, 1, 3, 4, 5, 20, 37, 38, 39, 60, 90, 91, 140, 200, 333, 500, 777, 900, 990, 1_020, 1_060,
    ];
    for (index, after_bytes) in offsets.into_iter().enumerate() {
        let cut = CutFault {
            after_bytes,
            reset: index % 2 == 0,
        };
        let faults = ProxyFaults {
            cut: Some(cut),
            ..ProxyFaults::default()
        };
        proxy.set_faults(&faults).expect("faults");
        let result = StreamCall::new(router, &format!("cut at {after_bytes}"), 20).run();
        assert_completed(&fleet, &result);
        assert_eq!(
            run_count(&fleet, content_hash(&result.messages)).expect("journals"),
            1
        );
    }
}

/// Starts streams one after another, because a single engine refuses requests that arrive at the same time. Runs `act`
/// once all have started, and checks that each caller receives the complete text of its own response.
fn with_streams(fleet: &FleetProcesses, name: &str, count: usize, act: impl FnOnce()) {
    let router = fleet.router_addresses()[0];
    let started = AtomicUsize::new(0);
    thread::scope(|scope| {
        let mut callers = Vec::new();
        for caller in 0..count {
            let call = StreamCall::new(router, &format!("{name} {caller}"), 80);
            let started = &started;
            callers.push(scope.spawn(move || {
                call.run_with(|tokens| {
                    if tokens == 1 {
                        started.fetch_add(1, Ordering::AcqRel);
                    }
                    true
                })
            }));
            wait_for("start of a stream", WAIT_TIMEOUT, || {
                started.load(Ordering::Acquire) == caller + 1
            })
            .expect("stream");
        }
        act();
        for caller in callers {
            assert_completed(fleet, &caller.join().expect("caller"));
        }
    });
}

/// Guards against a simultaneous reset of all connections that is visible to callers of the streams on them.
#[test]
fn reset_of_all_connections_is_resumed() {
    let fleet = proxied_fleet(&[], 20);
    let proxy = fleet.proxy(0).expect("proxy");
    let faults = ProxyFaults {
        reset_existing: true,
        ..ProxyFaults::default()
    };
    with_streams(&fleet, "reset", 3, || {
        for _ in 0..3 {
            proxy.set_faults(&faults).expect("faults");
            thread::sleep(Duration::from_millis(300));
        }
    });
}

/// Guards against a caller that receives the response to another request when responses are delayed and reordered.
#[test]
fn reordered_responses_reach_their_callers() {
    // The delay is shorter than the silence limit.
    let fleet = proxied_fleet(&["heartbeat_ms = 20000"], 20);
    let proxy = fleet.proxy(0).expect("proxy");
    with_streams(&fleet, "crosswise", 4, || {
        let mut faults = ProxyFaults {
            hold_all: true,
            ..ProxyFaults::default()
        };
        proxy.set_faults(&faults).expect("faults");
        wait_for("end of all runs", WAIT_TIMEOUT, || {
            let lines = read_journal(&fleet.upstreams[0].journal).unwrap_or_default();
            let done = lines.iter().filter(|line| line.event == JournalEvent::Done);
            done.count() == 4
        })
        .expect("runs");
        faults.hold_all = false;
        let connections = proxy.connections().expect("connections");
        faults.held = connections.iter().map(|found| found.number).collect();
        while faults.held.pop().is_some() {
            proxy.set_faults(&faults).expect("faults");
            thread::sleep(Duration::from_millis(100));
        }
    });
}
