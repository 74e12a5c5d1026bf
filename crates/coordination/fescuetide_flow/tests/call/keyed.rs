//! At-most-once requests.

use fescuetide_base::prelude::*;
use fescuetide_claims::ClaimEntry;
use fescuetide_claims::ProcessInstance;
use fescuetide_flow::AttemptUpdate;
use fescuetide_flow::CallStep;
use fescuetide_flow::CallVerdict;
use fescuetide_flow::ClaimAnswer;
use fescuetide_flow::ClaimCommand;
use fescuetide_flow::DeclineReason;
use fescuetide_flow::KeyStatus;

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
    /// Opens the connection and expects the claim.
    fn expect_claim(&mut self) -> ClaimCommand {
        loop {
            match self.step() {
                CallStep::Connect(_) => self.flow.note_connected(INCARNATION),
                CallStep::Claim(command) => return command,
                other => panic!("expected a claim, not {other:?}"),
            }
        }
    }

    /// Replies to the claim.
    fn answer(&mut self, command: &ClaimCommand, answer: ClaimAnswer) {
        let key = key_at(ClockMillis::new(1_000_000));
        let router = ProcessInstance {
            vm: "router".parse().unwrap(),
            incarnation: INCARNATION,
        };
        let claim = ClaimEntry {
            id: ClaimId::generate(),
            key,
            target: command.target.clone().unwrap_or_else(|| router.clone()),
            router,
            request_hash: CONTENT,
            supersedes: command.supersedes,
        };
        let tables = &mut self.fleet.tables;
        self.flow.note_claim(claim, answer, tables, self.now);
    }

    /// The reply that another router has claimed the key for `upstream`.
    fn claimed_by(&self, upstream: usize, caught_up: bool) -> ClaimAnswer {
        let key = key_at(ClockMillis::new(1_000_000));
        ClaimAnswer::ClaimedByOther {
            claim: Box::new(claim_on(&key, upstream, self.now)),
            caught_up,
        }
    }

    fn report_status(&mut self, status: KeyStatus) {
        self.flow
            .handle_key_status(status, &mut self.fleet.tables, self.now);
    }
}

/// Guards against an offer that is sent before its claim is the current one.
#[test]
fn request_is_offered_only_after_its_claim() {
    let mut harness = harness(2);
    let command = harness.expect_claim();
    harness.answer(&command, ClaimAnswer::Claimed);
    let offer = harness.send_offer();
    assert_eq!(Some(offer.vm.name), command.target.map(|target| target.vm));
    harness.update(AttemptUpdate::Completed);
    assert_eq!(harness.end().verdict, CallVerdict::Completed);
}

/// Guards against a second run of a request whose first attempt was lost.
#[test]
fn lost_attempt_is_unknown() {
    let mut harness = harness(2);
    let command = harness.expect_claim();
    harness.answer(&command, ClaimAnswer::Claimed);
    harness.send_offer();
    harness.update(AttemptUpdate::Lost("connection lost".to_owned()));
    assert_eq!(harness.end().verdict, CallVerdict::Unknown);
}

/// Guards against a resend that runs again instead of receiving the response of the first attempt.
#[test]
fn resend_joins_the_attempt_of_the_first_send() {
    let mut harness = harness(2);
    let command = harness.expect_claim();
    let claimed = harness.claimed_by(1, true);
    harness.answer(&command, claimed);
    assert!(
        matches!(harness.step(), CallStep::QueryKey(query) if query.vm.name.as_str() == "vm-1")
    );
    harness.report_status(KeyStatus::Joined(AttemptId::generate()));
    assert_eq!(harness.step(), CallStep::Listen);
    harness.update(AttemptUpdate::Completed);
    assert_eq!(harness.end().verdict, CallVerdict::Completed);
}

/// The key is sealed at the side process that a claim names. Guards against the verdict "not run", since another
/// request may have superseded the claim and run elsewhere.
#[test]
fn seal_alone_does_not_prove_that_the_key_never_ran() {
    let mut harness = harness(1);
    let command = harness.expect_claim();
    let claimed = harness.claimed_by(0, true);
    harness.answer(&command, claimed);
    assert!(matches!(harness.step(), CallStep::QueryKey(_)));
    harness.report_status(KeyStatus::NeverSeen);
    let command = harness.expect_claim();
    assert_eq!(
        command.target, None,
        "the key is sealed at the only upstream"
    );
    let answer = ClaimAnswer::Unavailable {
        retry_after: SpanMillis::new(1_000),
        is_free: true,
    };
    harness.answer(&command, answer);
    assert_eq!(harness.end().verdict, CallVerdict::Unknown);
}

/// Guards against the verdict "not run" while the side process that the claim names has not replied.
#[test]
fn key_whose_claim_target_does_not_reply_is_unknown_at_the_deadline() {
    let mut harness = harness(2);
    let command = harness.expect_claim();
    let claimed = harness.claimed_by(1, true);
    harness.answer(&command, claimed);
    assert!(matches!(harness.step(), CallStep::QueryKey(_)));
    harness.now = harness.now + crate::harness::DEADLINE;
    assert_eq!(harness.end().verdict, CallVerdict::Unknown);
}

/// Guards against the verdict "not run" at the deadline after a side process declined because it had seen the key.
#[test]
fn key_that_was_seen_is_unknown_at_the_deadline() {
    let mut harness = harness(2);
    let command = harness.expect_claim();
    harness.answer(&command, ClaimAnswer::Claimed);
    harness.send_offer();
    harness.decline(DeclineReason::KeySeen);
    harness.now = harness.now + crate::harness::DEADLINE;
    assert_eq!(harness.end().verdict, CallVerdict::Unknown);
}

/// A resend that reaches its deadline before the registrar replies ends as unknown. Guards against the verdict "not
/// run" although the first send ran.
#[test]
fn request_without_a_claim_reply_is_unknown_at_the_deadline() {
    let mut harness = harness(2);
    assert!(matches!(harness.step(), CallStep::Connect(_)));
    harness.now = harness.now + crate::harness::DEADLINE;
    assert_eq!(harness.end().verdict, CallVerdict::Unknown);
}

/// Guards against the verdict "not run" for a request that reaches its deadline between its claim and its offer.
/// Another request may have had the key sealed, superseded the claim, and run.
#[test]
fn claim_without_offer_is_unknown_at_the_deadline() {
    let mut harness = harness(2);
    let command = harness.expect_claim();
    harness.answer(&command, ClaimAnswer::Claimed);
    harness.now = harness.now + crate::harness::DEADLINE;
    assert_eq!(harness.end().verdict, CallVerdict::Unknown);
}

/// Guards against the verdict "not run" for a request that reaches its deadline after its offer was declined because
/// the key was sealed. The request for which it was sealed may have run elsewhere.
#[test]
fn declined_offer_is_unknown_at_the_deadline() {
    let mut harness = harness(2);
    let command = harness.expect_claim();
    harness.answer(&command, ClaimAnswer::Claimed);
    harness.send_offer();
    harness.decline(DeclineReason::Sealed);
    harness.now = harness.now + crate::harness::DEADLINE;
    assert_eq!(harness.end().verdict, CallVerdict::Unknown);
}

/// Guards against requests that are never refused while the log is unavailable, and against incorrect refusals.
#[test]
fn refusal_without_the_log_requires_a_free_key() {
    for (is_free, may_refuse) in [(true, true), (false, false)] {
        let mut harness = harness(2);
        let command = harness.expect_claim();
        let answer = ClaimAnswer::Unavailable {
            retry_after: SpanMillis::new(1_000),
            is_free,
        };
        harness.answer(&command, answer);
        let end = harness.end();
        assert_eq!(matches!(end.verdict, CallVerdict::NotRun(_)), may_refuse);
        assert_eq!(end.retry_after, Some(SpanMillis::new(1_000)));
    }
}
