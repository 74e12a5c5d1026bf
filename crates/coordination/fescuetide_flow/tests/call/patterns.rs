//! Load patterns and failures. The first words of each comment name the mechanism under test.

use fescuetide_base::prelude::*;
use fescuetide_flow::AttemptUpdate;
use fescuetide_flow::CallMetadata;
use fescuetide_flow::CallStep;
use fescuetide_flow::CallVerdict;
use fescuetide_flow::DeclineReason;
use fescuetide_flow::DeclineReply;
use fescuetide_flow::OfferCondition;
use fescuetide_limits::CrashFingerprint;

use crate::harness::CallHarness;
use crate::harness::chat;

/// A chat turn that is not the first one of its chat.
fn later_turn(now: ClockMillis) -> CallMetadata {
    CallMetadata {
        turn_messages: Some(5),
        ..chat(now)
    }
}

/// Crash fingerprints: a request crashes every engine that runs it. Guards against a third crash, and against the
/// refusal of unrelated requests.
#[test]
fn request_that_crashes_engines_stops_after_two() {
    let mut harness = CallHarness::new(6, chat);
    let mut crashes = 0;
    let end = loop {
        match harness.step_after_pauses() {
            CallStep::Offer(offer) => assert_eq!(offer.is_suspect, crashes > 0),
            CallStep::End(end) => break end,
            other => panic!("unexpected {other:?}"),
        }
        let tables = &mut harness.fleet.tables;
        harness.flow.note_sent(AttemptId::generate(), tables);
        harness.update(AttemptUpdate::Crashed("engine crashed".to_owned()));
        crashes += 1;
    };
    assert_eq!(crashes, 2);
    assert_eq!(end.verdict, CallVerdict::Failed);

    let again = chat(harness.now);
    harness.restart(again);
    assert!(matches!(harness.end().verdict, CallVerdict::NotRun(_)));

    let other = CallMetadata {
        fingerprint: CrashFingerprint::of(&"atelier".parse().unwrap(), b"other"),
        ..chat(harness.now)
    };
    harness.restart(other);
    assert!(!harness.send_offer().is_suspect);
}

/// Crash fingerprints: an engine answers the request with an error between two crashes. Guards against a request whose
/// crashes no longer count because an engine failed before it could crash.
#[test]
fn error_response_does_not_clear_a_request() {
    let mut harness = CallHarness::new(6, chat);
    for update in [
        AttemptUpdate::Crashed("engine crashed".to_owned()),
        AttemptUpdate::Head(500),
        AttemptUpdate::Crashed("engine crashed".to_owned()),
    ] {
        let request = chat(harness.now);
        harness.restart(request);
        harness.send_offer();
        let is_error = matches!(update, AttemptUpdate::Head(_));
        harness.update(update);
        if is_error {
            harness.update(AttemptUpdate::Completed);
        }
    }
    let request = chat(harness.now);
    harness.restart(request);
    assert!(matches!(harness.end().verdict, CallVerdict::NotRun(_)));
}

/// Crash fingerprints: a request crashes one engine at each of two routers. Guards against crashes that do not add up
/// because each router counts only what it has seen.
#[test]
fn crashes_seen_by_different_routers_add_up() {
    let mut first = CallHarness::new(6, chat);
    let mut second = CallHarness::new(6, chat);
    first.send_offer();
    first.update(AttemptUpdate::Crashed("engine crashed".to_owned()));
    for evidence in first.fleet.tables.suspects().list_evidence(first.now) {
        second.fleet.tables.suspects().merge(evidence, second.now);
    }
    assert!(second.send_offer().is_suspect);
    second.update(AttemptUpdate::Crashed("engine crashed".to_owned()));
    let request = chat(second.now);
    second.restart(request);
    assert!(matches!(second.end().verdict, CallVerdict::NotRun(_)));
}

/// Placement: a later turn of a chat arrives while the chat's engine is at its load cap. Guards against moving the turn
/// to another engine at once, away from the cached prefix, and against waiting too long for its latency target.
#[test]
fn later_turn_waits_briefly_for_its_engine() {
    let mut harness = CallHarness::new(4, later_turn);
    let holder = harness.send_offer();
    assert_eq!(holder.condition, OfferCondition::Held);
    let start = harness.now;
    let mut repeat_offers = 0;
    loop {
        harness.decline(DeclineReason::OverBound);
        let offer = harness.send_offer();
        if offer.vm.name != holder.vm.name {
            assert_eq!(
                offer.copy_from.map(|vm| vm.name),
                Some(holder.vm.name.clone())
            );
            break;
        }
        repeat_offers += 1;
    }
    let waited = harness.now.since(start).as_millis();
    assert!(
        repeat_offers > 1,
        "the holder was offered the turn again {repeat_offers} times"
    );
    assert!((80..=120).contains(&waited), "waited {waited} ms");
}

/// Load bound: all engines decline because of a stale mean during a surge. Guards against a refusal while one of them
/// has capacity according to the loads that they reported.
#[test]
fn engine_with_capacity_is_found_by_reported_loads() {
    let mut harness = CallHarness::new(3, chat);
    let loads = [8, 2, 8];
    let mut with_capacity = None;
    for load in loads {
        let offer = harness.send_offer();
        if load == 2 {
            with_capacity = Some(offer.vm.name);
        }
        harness.update(AttemptUpdate::Declined(DeclineReply {
            reason: DeclineReason::OverBound,
            load: LoadCount::new(load),
            retry_after: SpanMillis::default(),
        }));
    }
    assert_eq!(Some(harness.send_offer().vm.name), with_capacity);
}

/// Circuit breaker: an engine loses every request. Guards against further first offers to it.
#[test]
fn engine_that_lost_a_request_ranks_last() {
    let mut harness = CallHarness::new(3, chat);
    let failed = harness.send_offer().vm.name;
    harness.update(AttemptUpdate::Lost("connection lost".to_owned()));
    for _ in 0..3 {
        let metadata = chat(harness.now);
        harness.restart(metadata);
        assert_ne!(harness.send_offer().vm.name, failed);
    }
}

/// Retry budget: one workspace uses up its retries during an outage of all engines. Guards against another workspace
/// that is left without retries.
#[test]
fn workspaces_have_separate_retry_budgets() {
    let mut harness = CallHarness::new(3, chat);
    while let CallStep::Offer(_) = harness.step_after_pauses() {
        let tables = &mut harness.fleet.tables;
        harness.flow.note_sent(AttemptId::generate(), tables);
        harness.update(AttemptUpdate::Lost("connection lost".to_owned()));
    }
    let metadata = CallMetadata {
        workspace: "studio".parse().unwrap(),
        ..chat(harness.now)
    };
    harness.restart(metadata);
    harness.send_offer();
    harness.update(AttemptUpdate::Lost("connection lost".to_owned()));
    harness.send_offer();
}
