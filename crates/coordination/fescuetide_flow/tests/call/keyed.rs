//! Requests that may run once.

use fescuetide_base::prelude::*;
use fescuetide_claims::ClaimEntry;
use fescuetide_claims::ProcessInstance;
use fescuetide_flow::AttemptNews;
use fescuetide_flow::CallStep;
use fescuetide_flow::CallVerdict;
use fescuetide_flow::ClaimAnswer;
use fescuetide_flow::ClaimOrder;
use fescuetide_flow::DeclineReason;
use fescuetide_flow::KeyFate;

use crate::harness::CONTENT;
use crate::harness::CallHarness;
use crate::harness::claim_on;
use crate::harness::key_at;
use crate::harness::keyed;

/// The incarnation of all side processes.
const INCARNATION: ProcessIncarnation = ProcessIncarnation::new(1);

fn harness(upstreams: usize) -> CallHarness {
    CallHarness::new(upstreams, |now| keyed(&key_at(now), now))
}

impl CallHarness {
    /// Opens the connection and expects the claim that follows.
    fn expect_claim(&mut self) -> ClaimOrder {
        loop {
            match self.step() {
                CallStep::Connect(_) => self.flow.note_connected(INCARNATION),
                CallStep::Claim(order) => return order,
                other => panic!("expected a claim, not {other:?}"),
            }
        }
    }

    /// Answers the claim that was ordered.
    fn answer(&mut self, order: &ClaimOrder, answer: ClaimAnswer) {
        let key = key_at(ClockMillis::new(1_000_000));
        let router = ProcessInstance {
            vm: "router".parse().unwrap(),
            incarnation: INCARNATION,
        };
        let claim = ClaimEntry {
            id: ClaimId::generate(),
            key,
            target: order.target.clone().unwrap_or_else(|| router.clone()),
            router,
            content: CONTENT,
            supersedes: order.replaces,
        };
        let tables = &mut self.fleet.tables;
        self.flow.note_claim(claim, answer, tables, self.now);
    }

    fn held_by(&self, upstream: usize, caught_up: bool) -> ClaimAnswer {
        let key = key_at(ClockMillis::new(1_000_000));
        ClaimAnswer::Held {
            claim: Box::new(claim_on(&key, upstream, self.now)),
            caught_up,
        }
    }

    fn fate(&mut self, fate: KeyFate) {
        self.flow.note_fate(fate, &mut self.fleet.tables, self.now);
    }
}

/// Guards against an offer that goes out before its claim is the current one.
#[test]
fn request_is_offered_only_after_its_claim() {
    let mut harness = harness(2);
    let order = harness.expect_claim();
    harness.answer(&order, ClaimAnswer::Claimed);
    let offer = harness.send_offer();
    assert_eq!(Some(offer.vm.name), order.target.map(|target| target.vm));
    harness.news(AttemptNews::Completed);
    assert_eq!(harness.end().verdict, CallVerdict::Completed);
}

/// Guards against a second run of a request whose attempt was lost.
#[test]
fn lost_attempt_is_unknown() {
    let mut harness = harness(2);
    let order = harness.expect_claim();
    harness.answer(&order, ClaimAnswer::Claimed);
    harness.send_offer();
    harness.news(AttemptNews::Lost("connection lost".to_owned()));
    assert_eq!(harness.end().verdict, CallVerdict::Unknown);
}

/// Guards against a resend that runs again instead of getting the response of the first send.
#[test]
fn resend_joins_the_attempt_of_the_first_send() {
    let mut harness = harness(2);
    let order = harness.expect_claim();
    let held = harness.held_by(1, true);
    harness.answer(&order, held);
    assert!(matches!(harness.step(), CallStep::Ask(order) if order.vm.name.as_str() == "vm-1"));
    harness.fate(KeyFate::Joined(AttemptId::generate()));
    assert_eq!(harness.step(), CallStep::Listen);
    harness.news(AttemptNews::Completed);
    assert_eq!(harness.end().verdict, CallVerdict::Completed);
}

/// Guards against "not run" for a key whose sealed claim another request has replaced, and run.
#[test]
fn sealed_claim_alone_does_not_prove_that_the_key_never_ran() {
    let mut harness = harness(1);
    let order = harness.expect_claim();
    let held = harness.held_by(0, true);
    harness.answer(&order, held);
    assert!(matches!(harness.step(), CallStep::Ask(_)));
    harness.fate(KeyFate::NeverSeen);
    let order = harness.expect_claim();
    assert_eq!(order.target, None, "the key is sealed at the only upstream");
    let answer = ClaimAnswer::Unavailable {
        retry_after: SpanMillis::new(1_000),
        is_free: true,
    };
    harness.answer(&order, answer);
    assert_eq!(harness.end().verdict, CallVerdict::Unknown);
}

/// Guards against "not run" while the holder of the key has not answered.
#[test]
fn key_whose_holder_does_not_answer_is_unknown_at_the_deadline() {
    let mut harness = harness(2);
    let order = harness.expect_claim();
    let held = harness.held_by(1, true);
    harness.answer(&order, held);
    assert!(matches!(harness.step(), CallStep::Ask(_)));
    harness.now = harness.now + crate::harness::DEADLINE;
    assert_eq!(harness.end().verdict, CallVerdict::Unknown);
}

/// Guards against "not run" at the deadline after a side process refused because it had seen the key.
#[test]
fn key_that_was_seen_is_unknown_at_the_deadline() {
    let mut harness = harness(2);
    let order = harness.expect_claim();
    harness.answer(&order, ClaimAnswer::Claimed);
    harness.send_offer();
    harness.decline(DeclineReason::KeySeen);
    harness.now = harness.now + crate::harness::DEADLINE;
    assert_eq!(harness.end().verdict, CallVerdict::Unknown);
}

/// Guards against "not run" for a resend that is given up before it asked who holds its key, while the first send ran.
#[test]
fn request_that_asked_nobody_is_unknown_at_the_deadline() {
    let mut harness = harness(2);
    assert!(matches!(harness.step(), CallStep::Connect(_)));
    harness.now = harness.now + crate::harness::DEADLINE;
    assert_eq!(harness.end().verdict, CallVerdict::Unknown);
}

/// Guards against "not run" for a request that reaches its deadline after its claim and before its offer: another
/// request may have sealed and replaced the claim, and run.
#[test]
fn claim_without_offer_is_unknown_at_the_deadline() {
    let mut harness = harness(2);
    let order = harness.expect_claim();
    harness.answer(&order, ClaimAnswer::Claimed);
    harness.now = harness.now + crate::harness::DEADLINE;
    assert_eq!(harness.end().verdict, CallVerdict::Unknown);
}

/// Guards against "not run" for a request that reaches its deadline after its offer was refused because the key had been
/// sealed: the request that had it sealed may have run elsewhere.
#[test]
fn refused_offer_is_unknown_at_the_deadline() {
    let mut harness = harness(2);
    let order = harness.expect_claim();
    harness.answer(&order, ClaimAnswer::Claimed);
    harness.send_offer();
    harness.decline(DeclineReason::Sealed);
    harness.now = harness.now + crate::harness::DEADLINE;
    assert_eq!(harness.end().verdict, CallVerdict::Unknown);
}

/// Guards against a request that is never refused while the log is away, and against an untrue refusal.
#[test]
fn refusal_without_the_log_says_what_is_known() {
    for (is_free, may_refuse) in [(true, true), (false, false)] {
        let mut harness = harness(2);
        let order = harness.expect_claim();
        let answer = ClaimAnswer::Unavailable {
            retry_after: SpanMillis::new(1_000),
            is_free,
        };
        harness.answer(&order, answer);
        let end = harness.end();
        assert_eq!(matches!(end.verdict, CallVerdict::NotRun(_)), may_refuse);
        assert_eq!(end.retry_after, Some(SpanMillis::new(1_000)));
    }
}
