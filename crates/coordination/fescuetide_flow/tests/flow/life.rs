//! Lifecycle of single requests.

use crate::harness::SchedulerHarness;
use fescuetide_base::SpanMillis;
use fescuetide_fleet::WorkKind;
use fescuetide_flow::AttemptEvent;
use fescuetide_flow::BreakCause;
use fescuetide_flow::DeclineCause;
use fescuetide_flow::FlowAction;
use fescuetide_flow::FlowFailure;

/// A complete error response of an upstream.
const COMPLETED_WITH_500: AttemptEvent = AttemptEvent::Completed {
    status: 500,
    load: None,
};

/// Guards against a stream that appears complete because the upstream that should resume it returns an error response.
#[test]
fn failure_of_a_resumption_does_not_complete_the_stream() {
    let mut harness = SchedulerHarness::with_upstreams(3);
    let key = harness.arrive(WorkKind::ResumableStream, 2);
    harness.expect_send(key);
    harness.note(key, AttemptEvent::Sent);
    harness.note(key, AttemptEvent::StreamStarted(None));
    assert_eq!(harness.next(), Some(FlowAction::Relay(key)));
    harness.note(key, AttemptEvent::Broken(BreakCause::Closed));
    assert!(harness.expect_send(key).is_resumption);
    harness.note(key, AttemptEvent::Sent);
    harness.note(
        key,
        AttemptEvent::Completed {
            status: 500,
            load: None,
        },
    );
    let failure = FlowFailure::AttemptBroken(BreakCause::Garbled);
    assert_eq!(harness.next(), Some(FlowAction::Fail(key, failure)));
    assert_eq!(harness.next(), None);
}

/// Guards against a second run of an at-most-once request.
#[test]
fn request_that_runs_once_is_not_sent_again_after_a_break() {
    for kind in [WorkKind::Once, WorkKind::OnceStream] {
        let mut harness = SchedulerHarness::with_upstreams(3);
        let key = harness.arrive(kind, 3);
        harness.expect_send(key);
        harness.note(key, AttemptEvent::Sent);
        harness.note(key, AttemptEvent::Broken(BreakCause::Closed));
        let failure = FlowFailure::AttemptBroken(BreakCause::Closed);
        assert_eq!(harness.next(), Some(FlowAction::Fail(key, failure)));
    }
}

/// Guards against a request that fails although none of its bytes were sent.
#[test]
fn unsent_request_is_sent_to_another_upstream() {
    let mut harness = SchedulerHarness::with_upstreams(3);
    let key = harness.arrive(WorkKind::Once, 1);
    let first = harness.expect_send(key).upstream;
    harness.note(key, AttemptEvent::Broken(BreakCause::NotConnected));
    assert_ne!(harness.expect_send(key).upstream, first);
}

/// A request is refused as not run once upstreams have declined as many attempts as its route allows. Guards against
/// further attempts and against a failure.
#[test]
fn declined_request_is_refused_when_its_attempts_are_used_up() {
    let mut harness = SchedulerHarness::with_upstreams(3);
    let key = harness.arrive(WorkKind::Once, 2);
    for _ in 0..2 {
        harness.expect_send(key);
        harness.note(key, AttemptEvent::Sent);
        harness.note(key, AttemptEvent::Declined(DeclineCause::Full, None));
    }
    let Some(FlowAction::Refuse(refused, refusal)) = harness.next() else {
        panic!("the request is refused");
    };
    assert_eq!(refused, key);
    assert_eq!(refusal.evidence.to_string(), "declined_by_upstream");
    assert!(refusal.retry_after.as_millis() > 0);
}

/// A request that one upstream may have run and another declined fails. Guards against reporting it as not run because
/// of the last attempt.
#[test]
fn request_that_may_have_run_is_never_refused() {
    let mut harness = SchedulerHarness::with_upstreams(3);
    let key = harness.arrive(WorkKind::Repeatable, 2);
    harness.expect_send(key);
    harness.note(key, AttemptEvent::Sent);
    harness.note(key, AttemptEvent::Broken(BreakCause::Closed));
    harness.expect_send(key);
    harness.note(key, AttemptEvent::Sent);
    harness.note(key, AttemptEvent::Declined(DeclineCause::Full, None));
    assert!(matches!(harness.next(), Some(FlowAction::Fail(failed, _)) if failed == key));
}

/// Guards against an upstream's error response that is replaced by a failure of the gateway because the second attempt
/// broke.
#[test]
fn kept_error_response_is_relayed_when_the_second_attempt_breaks() {
    let mut harness = SchedulerHarness::with_upstreams(3);
    let key = harness.arrive(WorkKind::Repeatable, 2);
    harness.expect_send(key);
    harness.note(key, AttemptEvent::Sent);
    harness.note(key, COMPLETED_WITH_500);
    harness.expect_send(key);
    harness.note(key, AttemptEvent::Sent);
    harness.note(key, AttemptEvent::Broken(BreakCause::Closed));
    assert_eq!(harness.next(), Some(FlowAction::Relay(key)));
    assert_eq!(harness.next(), None);
}

/// Guards against an upstream's error response that is withheld while the request waits for a second upstream that does
/// not exist.
#[test]
fn error_response_is_relayed_at_once_without_a_second_upstream() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    let key = harness.arrive(WorkKind::Repeatable, 2);
    harness.expect_send(key);
    harness.note(key, AttemptEvent::Sent);
    harness.note(key, COMPLETED_WITH_500);
    assert_eq!(harness.next(), Some(FlowAction::Relay(key)));
    assert_eq!(harness.next(), None);
}

/// Guards against a request that waits until its time limit although every upstream has declined it.
#[test]
fn request_that_all_upstreams_declined_is_refused_at_once() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    let key = harness.arrive(WorkKind::Repeatable, 3);
    harness.expect_send(key);
    harness.note(key, AttemptEvent::Sent);
    harness.note(key, AttemptEvent::Declined(DeclineCause::Full, None));
    assert!(matches!(harness.next(), Some(FlowAction::Refuse(refused, _)) if refused == key));
}

/// Guards against a request that is kept past the time limit of its route, and against one that fails before it.
#[test]
fn request_fails_at_its_time_limit_and_not_before() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    let key = harness.arrive(WorkKind::Once, 1);
    harness.expect_send(key);
    harness.note(key, AttemptEvent::Sent);
    harness.advance(harness.time_limit_ms());
    assert_eq!(harness.next(), None);
    harness.advance(400);
    assert_eq!(harness.next(), Some(FlowAction::Cancel(key)));
    let failure = FlowFailure::TimedOut;
    assert_eq!(harness.next(), Some(FlowAction::Fail(key, failure)));
}

/// Guards against a stream that waits for an unresponsive upstream until its caller disconnects.
#[test]
fn unresponsive_stream_resumes_at_another_upstream() {
    let mut harness = SchedulerHarness::with_upstreams(2);
    let key = harness.arrive(WorkKind::ResumableStream, 2);
    harness.expect_send(key);
    harness.note(key, AttemptEvent::Sent);
    harness.note(key, AttemptEvent::StreamStarted(None));
    assert_eq!(harness.next(), Some(FlowAction::Relay(key)));
    // Callers disconnect from a stream after a pause of 2 s.
    harness.advance(1_900);
    assert_eq!(harness.next(), Some(FlowAction::Cancel(key)));
    assert!(harness.expect_send(key).is_resumption);
}

/// Guards against a second run of an at-most-once request whose upstream runs it and is silent, however long the gateway waits
/// or stood still itself.
#[test]
fn request_that_runs_once_stays_at_a_silent_upstream() {
    for kind in [WorkKind::Once, WorkKind::OnceStream] {
        for stood_still in [false, true] {
            let mut harness = SchedulerHarness::with_upstreams(3);
            let key = harness.arrive(kind, 3);
            harness.expect_send(key);
            harness.note(key, AttemptEvent::Sent);
            if stood_still {
                harness.now = harness.now + SpanMillis::new(5_000);
            }
            harness.advance(4_000);
            assert_eq!(harness.next(), None, "{kind:?}");
            harness.note(
                key,
                AttemptEvent::Completed {
                    status: 200,
                    load: None,
                },
            );
            assert_eq!(harness.next(), Some(FlowAction::Relay(key)), "{kind:?}");
        }
    }
}

/// Guards against an at-most-once request that stays at an upstream that has not received it, or that says late that it did
/// not run it.
#[test]
fn request_that_runs_once_leaves_an_upstream_that_does_not_run_it() {
    for kind in [WorkKind::Once, WorkKind::OnceStream] {
        let mut harness = SchedulerHarness::with_upstreams(3);
        let key = harness.arrive(kind, 3);
        let unsent = harness.expect_send(key).upstream;
        harness.advance(1_100);
        assert_eq!(harness.next(), Some(FlowAction::Cancel(key)), "{kind:?}");
        let declining = harness.expect_send(key).upstream;
        assert_ne!(declining, unsent);
        harness.note(key, AttemptEvent::Sent);
        harness.advance(2_000);
        assert_eq!(harness.next(), None, "{kind:?}");
        harness.note(key, AttemptEvent::Declined(DeclineCause::Full, None));
        let last = harness.expect_send(key).upstream;
        assert!(![&unsent, &declining].contains(&&last));
    }
}

/// Guards against a repeatable request that stays at a silent upstream until its time limit.
#[test]
fn repeatable_request_leaves_a_silent_upstream() {
    for kind in [WorkKind::Repeatable, WorkKind::ResumableStream] {
        let mut harness = SchedulerHarness::with_upstreams(3);
        let key = harness.arrive(kind, 2);
        let silent = harness.expect_send(key).upstream;
        harness.note(key, AttemptEvent::Sent);
        harness.advance(2_000);
        assert_eq!(harness.next(), Some(FlowAction::Cancel(key)), "{kind:?}");
        assert_ne!(harness.expect_send(key).upstream, silent);
    }
}

/// Guards against a request that waits although no upstream is known.
#[test]
fn request_without_upstream_is_refused_at_once() {
    let mut harness = SchedulerHarness::with_upstreams(0);
    let key = harness.arrive(WorkKind::Repeatable, 2);
    let Some(FlowAction::Refuse(refused, refusal)) = harness.next() else {
        panic!("the request is refused");
    };
    assert_eq!(refused, key);
    assert_eq!(refusal.evidence.to_string(), "never_sent");
}

/// Guards against a workspace that floods the queue while all upstreams are full and delays all other workspaces.
#[test]
fn waiting_requests_of_workspaces_take_turns() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    let mut running = Vec::new();
    while harness.scheduler.waiting_count() == 0 {
        let key = harness.arrive_for(9);
        running.push(key);
        if let Some(FlowAction::Send(_)) = harness.next() {
            harness.note(key, AttemptEvent::Sent);
        }
    }
    running.pop();
    let burst: Vec<_> = (0..8).map(|_| harness.arrive_for(1)).collect();
    let other = harness.arrive_for(2);
    // The first request of each workspace is sent before the second one of any workspace.
    let mut served = Vec::new();
    for key in running {
        harness.note(
            key,
            AttemptEvent::Completed {
                status: 200,
                load: None,
            },
        );
        while let Some(action) = harness.next() {
            if let FlowAction::Send(command) = action {
                served.push(command.key);
            }
        }
    }
    let position = |wanted| served.iter().position(|key| *key == wanted);
    assert!(position(other) < position(burst[1]), "{served:?}");
    assert!(position(burst[0]) < position(burst[1]), "{served:?}");
}
