//! Processes that are killed or paused during a response.

use std::time::Duration;

use fescuetide_bench::fault_client::StreamCall;
use fescuetide_bench::fault_client::StreamResult;
use fescuetide_bench::fleet::FleetProcesses;
use fescuetide_bench::fleet_faults::fault_settings;
use fescuetide_bench::oracle::check_outcome;
use fescuetide_bench::oracle::content_hash;
use fescuetide_bench::oracle::journal_lines;
use fescuetide_bench::oracle::latest_upstream;
use fescuetide_bench::process::SignalKind;
use fescuetide_bench::process::wait_for;
use fescuetide_standin::journal::JournalEvent;
use fescuetide_wire::api::CallOutcome;

fn start_fleet(routers: usize, engines: usize) -> FleetProcesses {
    FleetProcesses::start(fault_settings(routers, engines)).expect("fleet starts")
}

fn assert_completed(fleet: &FleetProcesses, result: &StreamResult) {
    assert_eq!(result.outcome, Some(CallOutcome::Completed), "{result:?}");
    check_outcome(fleet, result).expect("the outcome agrees with the journals");
}

/// Sends a request and, after 10 tokens, calls `act` with the index of the upstream that runs it.
fn run_and_act(fleet: &FleetProcesses, call: &StreamCall, act: impl Fn(usize)) -> StreamResult {
    call.run_with(|tokens| {
        if tokens == 10 {
            act(latest_upstream(fleet, content_hash(&call.messages())).expect("runner"));
        }
        true
    })
}

/// Checks that a second engine continued after the text that was already delivered.
fn assert_continued(fleet: &FleetProcesses, result: &StreamResult) {
    let lines = journal_lines(fleet, content_hash(&result.messages)).expect("journals");
    let starts: Vec<_> = lines
        .iter()
        .filter(|entry| entry.line.event == JournalEvent::Start)
        .collect();
    assert_eq!(starts.len(), 2, "{lines:?}");
    assert_ne!(starts[0].upstream, starts[1].upstream);
    assert!(
        starts[1].line.prompt_tokens >= starts[0].line.prompt_tokens + 10,
        "{lines:?}"
    );
}

/// Guards against a stream that is interrupted, repeats text or restarts when its side process dies.
#[test]
fn killed_side_process_is_replaced_in_the_middle_of_a_stream() {
    let fleet = start_fleet(1, 2);
    let call = StreamCall::new(fleet.router_addresses()[0], "side killed", 60);
    let result = run_and_act(&fleet, &call, |index| {
        fleet.signal_side(index, SignalKind::Kill).expect("signal");
    });
    assert_completed(&fleet, &result);
    assert_eq!(result.attempts, 2);
    assert_continued(&fleet, &result);
}

/// Guards against a stream that is interrupted, repeats text or restarts when its engine dies.
#[test]
fn killed_engine_is_replaced_in_the_middle_of_a_stream() {
    let fleet = start_fleet(1, 2);
    let call = StreamCall::new(fleet.router_addresses()[0], "engine killed", 60);
    let result = run_and_act(&fleet, &call, |index| {
        fleet
            .signal_upstream(index, SignalKind::Kill)
            .expect("signal");
    });
    assert_completed(&fleet, &result);
    assert_eq!(result.attempts, 2);
    assert_continued(&fleet, &result);
    // The side process of the dead engine still runs; requests that rank it first must be served by another upstream.
    for number in 0..4 {
        let call = StreamCall::new(fleet.router_addresses()[0], &format!("later {number}"), 5);
        assert_completed(&fleet, &call.run());
    }
}

/// Guards against callers that the remaining routers do not serve.
#[test]
fn callers_of_a_killed_router_are_served_by_another() {
    let fleet = start_fleet(2, 2);
    let routers = fleet.router_addresses();
    let lost = StreamCall::new(routers[0], "router killed", 60).run_with(|tokens| {
        if tokens == 10 {
            fleet.signal_router(0, SignalKind::Kill).expect("signal");
        }
        true
    });
    assert_eq!(lost.outcome, None);
    check_outcome(&fleet, &lost).expect("the outcome agrees with the journals");
    let again = StreamCall::new(routers[1], "router killed", 60).run();
    assert_completed(&fleet, &again);
}

/// Guards against a paused side process that blocks its streams, and against faults when it resumes later.
#[test]
fn paused_side_process_is_passed_over_and_comes_back() {
    let fleet = start_fleet(1, 2);
    let router = fleet.router_addresses()[0];
    let call = StreamCall::new(router, "side paused", 60);
    let result = run_and_act(&fleet, &call, |index| {
        fleet.signal_side(index, SignalKind::Pause).expect("signal");
    });
    assert_completed(&fleet, &result);
    assert_eq!(result.attempts, 2);
    assert_continued(&fleet, &result);
    let lines = journal_lines(&fleet, content_hash(&result.messages)).expect("journals");
    let paused = lines[0].upstream;
    let during = StreamCall::new(router, "during the pause", 10).run();
    assert_completed(&fleet, &during);
    fleet
        .signal_side(paused, SignalKind::Resume)
        .expect("signal");
    wait_for(
        "work of the resumed side process",
        Duration::from_secs(90),
        || {
            // Different prompts give different chats, which rank the engines differently.
            static NEXT_PROMPT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
            let number = NEXT_PROMPT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            let call = StreamCall::new(router, &format!("after the pause {number}"), 5);
            let result = call.run();
            assert_completed(&fleet, &result);
            latest_upstream(&fleet, content_hash(&result.messages)).expect("runner") == paused
        },
    )
    .expect("resumed side process works");
}
