//! Lifecycle of single requests.

use fescuetide_base::prelude::*;
use fescuetide_flow::AttemptUpdate;
use fescuetide_flow::CallKind;
use fescuetide_flow::CallMetadata;
use fescuetide_flow::CallStep;
use fescuetide_flow::CallVerdict;
use fescuetide_flow::DeclineReason;
use fescuetide_flow::OfferCondition;
use fescuetide_flow::UpdateAction;

use crate::harness::CallHarness;
use crate::harness::DEADLINE;
use crate::harness::chat;

fn lost() -> AttemptUpdate {
    AttemptUpdate::Lost("connection lost".to_owned())
}

/// Guards against a response that is not relayed, or a request that continues after its end.
#[test]
fn completed_response_ends_the_request() {
    let mut harness = CallHarness::new(3, chat);
    harness.send_offer();
    assert_eq!(harness.step(), CallStep::Listen);
    assert_eq!(
        harness.update(AttemptUpdate::Head(200)),
        UpdateAction::Forward
    );
    assert_eq!(harness.update(AttemptUpdate::Chunk), UpdateAction::Forward);
    assert_eq!(
        harness.update(AttemptUpdate::Completed),
        UpdateAction::Finished
    );
    let end = harness.end();
    assert_eq!(end.verdict, CallVerdict::Completed);
    assert_eq!(end.attempts, 1);
}

/// Guards against a request that is offered to an unreachable upstream twice, or ends although others are available.
#[test]
fn unreachable_upstreams_are_skipped() {
    let mut harness = CallHarness::new(3, chat);
    let first = harness.fail_offer().vm.name;
    let second = harness.fail_offer().vm.name;
    let third = harness.send_offer().vm.name;
    assert!(first != second && second != third && first != third);
}

/// A request that every upstream declined is reported as not run, with the retry delay that the upstreams suggested.
/// Guards against another verdict or delay.
#[test]
fn request_that_all_upstreams_declined_has_not_run() {
    let mut harness = CallHarness::new(2, chat);
    for _ in 0..2 {
        harness.send_offer();
        harness.decline(DeclineReason::TooLate);
    }
    let end = harness.end();
    assert!(matches!(end.verdict, CallVerdict::NotRun(_)));
    assert_eq!(end.retry_after, Some(SpanMillis::new(400)));
}

/// Guards against the verdict "not run" for a request that was lost at one upstream and then declined by the others.
#[test]
fn request_that_was_lost_never_ends_as_not_run() {
    let mut harness = CallHarness::new(2, chat);
    harness.send_offer();
    harness.update(lost());
    for _ in 0..2 {
        harness.send_offer();
        harness.decline(DeclineReason::TooLate);
    }
    assert_eq!(harness.end().verdict, CallVerdict::Failed);
}

/// Guards against retries without a pause, which would reach the next upstream all at once.
#[test]
fn retry_pauses_and_uses_another_upstream() {
    let mut harness = CallHarness::new(3, chat);
    let first = harness.send_offer().vm.name;
    harness.update(lost());
    let before = harness.now;
    let second = harness.send_offer();
    assert!(harness.now > before);
    assert_ne!(second.vm.name, first);
    assert_eq!(second.queue_limit, second.time_left);
}

/// Guards against retries beyond the budget of the workspace and class.
#[test]
fn retries_end_with_the_budget() {
    let mut harness = CallHarness::new(3, chat);
    let mut attempts = 0;
    loop {
        match harness.step_after_pauses() {
            CallStep::Offer(_) => {}
            CallStep::End(end) => {
                assert_eq!(end.verdict, CallVerdict::Failed);
                break;
            }
            other => panic!("unexpected {other:?}"),
        }
        harness
            .flow
            .note_sent(AttemptId::generate(), &mut harness.fleet.tables);
        harness.update(lost());
        attempts += 1;
        assert!(attempts < 100, "retries without end");
    }
    assert!(attempts > 1);
}

/// Guards against a response that is spliced together from two attempts at a plain service.
#[test]
fn response_of_a_service_is_not_joined_with_another() {
    let mut harness = CallHarness::new(3, |now| CallMetadata {
        kind: CallKind::Service,
        ..chat(now)
    });
    harness.send_offer();
    harness.update(AttemptUpdate::Head(200));
    harness.update(lost());
    assert_eq!(harness.end().verdict, CallVerdict::Failed);
}

/// Guards against an error response that is appended to the delivered part of a chat response.
#[test]
fn other_status_of_a_later_attempt_is_not_relayed() {
    let mut harness = CallHarness::new(3, chat);
    harness.send_offer();
    harness.update(AttemptUpdate::Head(200));
    harness.update(lost());
    harness.send_offer();
    assert_eq!(
        harness.update(AttemptUpdate::Head(500)),
        UpdateAction::Finished
    );
    assert_eq!(harness.step(), CallStep::Cancel);
    assert_eq!(harness.end().verdict, CallVerdict::Failed);
}

/// Guards against a request that outlives its caller, and an upstream that keeps running it.
#[test]
fn attempt_is_cancelled_at_the_deadline() {
    let mut harness = CallHarness::new(1, chat);
    harness.send_offer();
    harness.now = harness.now + DEADLINE;
    assert_eq!(harness.step(), CallStep::Cancel);
    assert_eq!(harness.end().verdict, CallVerdict::Failed);
}

/// Guards against skipping an upstream because the offer was lost on a stale connection.
#[test]
fn sealed_offer_is_repeated_once_at_the_same_upstream() {
    let mut harness = CallHarness::new(2, chat);
    let first = harness.send_offer().vm.name;
    harness.decline(DeclineReason::Sealed);
    assert_eq!(harness.send_offer().vm.name, first);
    harness.decline(DeclineReason::Sealed);
    assert_ne!(harness.send_offer().vm.name, first);
}

/// Guards against conditional offers that are reported to callers as attempts.
#[test]
fn declined_conditional_offers_are_not_attempts() {
    const ENGINES: usize = 3;
    let mut harness = CallHarness::new(ENGINES, |now| CallMetadata {
        turn_messages: Some(5),
        ..chat(now)
    });
    let mut declined_offers = 0;
    loop {
        let offer = harness.send_offer();
        match offer.condition {
            OfferCondition::Held => harness.decline(DeclineReason::NotHeld),
            OfferCondition::BelowMean => harness.decline(DeclineReason::AboveMean),
            OfferCondition::Always => break,
        }
        declined_offers += 1;
    }
    // Each engine receives one offer for each of the two conditions.
    assert_eq!(declined_offers, 2 * ENGINES);
    harness.update(AttemptUpdate::Completed);
    let end = harness.end();
    assert_eq!(end.attempts, 1);
    assert_eq!(end.record.attempts.len(), 1);
}
