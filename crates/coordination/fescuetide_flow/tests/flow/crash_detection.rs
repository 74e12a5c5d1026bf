//! Finding out whether an upstream is down, and which requests were running there.

use fescuetide_base::prelude::*;
use fescuetide_fleet::WorkKind;
use fescuetide_flow::AttemptEvent;
use fescuetide_flow::BreakCause;
use fescuetide_flow::CrashEvent;
use fescuetide_flow::DeclineCause;
use fescuetide_flow::FlowAction;
use fescuetide_flow::ProbeOutcome;
use fescuetide_flow::WorkRequest;

use crate::crash_harness::RESEND_PAUSE;
use crate::crash_harness::fingerprint;
use crate::harness::SchedulerHarness;
use crate::harness::route;

/// Guards against crashes that only count if other requests or the log show that the upstream is down.
#[test]
fn refused_probe_counts_as_a_crash() {
    let mut harness = SchedulerHarness::with_upstreams(6);
    for _ in 0..3 {
        let event = AttemptEvent::Broken(BreakCause::Closed);
        harness.crash_with(event, ProbeOutcome::Refused);
    }
    let key = harness.arrive_later(b"crashing");
    harness.expect_refused(key);
}

/// Guards against crashes that do not count because the response broke off in a malformed way.
#[test]
fn malformed_response_of_an_upstream_that_is_down_counts_as_a_crash() {
    let mut harness = SchedulerHarness::with_upstreams(6);
    for _ in 0..3 {
        let event = AttemptEvent::Broken(BreakCause::Garbled);
        harness.crash_with(event, ProbeOutcome::Refused);
    }
    let key = harness.arrive_later(b"crashing");
    harness.expect_refused(key);
}

/// Guards against refusing a request whose attempts broke at upstreams that are not down.
#[test]
fn connected_probe_counts_as_no_crash() {
    let mut harness = SchedulerHarness::with_upstreams(6);
    for _ in 0..4 {
        let event = AttemptEvent::Broken(BreakCause::Closed);
        harness.crash_with(event, ProbeOutcome::Connected);
        harness.now = harness.now + SpanMillis::new(11_000);
    }
    harness.expect_sent();
}

/// Guards against crashes that do not count because the upstream went silent and its connections hang.
#[test]
fn upstreams_that_do_not_answer_count_as_crashed() {
    let mut harness = SchedulerHarness::with_upstreams(6);
    for _ in 0..3 {
        let key = harness.arrive_later(b"crashing");
        let upstream = harness.expect_send(key).upstream;
        harness.note(key, AttemptEvent::Sent);
        harness.note(key, AttemptEvent::Broken(BreakCause::Closed));
        harness.expect_probe(&upstream);
        harness.hear_from_other(&upstream);
        let outcome = ProbeOutcome::NotConnected;
        let now = harness.now;
        harness.scheduler.note_probe(&upstream, outcome, now);
    }
    let key = harness.arrive_later(b"crashing");
    harness.expect_refused(key);
}

/// Guards against counting crashes at a gateway that is itself cut off from the upstreams.
#[test]
fn upstreams_that_a_cut_off_gateway_cannot_reach_count_as_no_crash() {
    let mut harness = SchedulerHarness::with_upstreams(6);
    for _ in 0..4 {
        let event = AttemptEvent::Broken(BreakCause::Closed);
        harness.crash_with(event, ProbeOutcome::NotConnected);
    }
    harness.expect_sent();
}

/// Guards against crashes that do not count because the upstream's successor at the same address is up before anyone
/// notices that the upstream is down, and the log cannot say so.
#[test]
fn misdirected_request_shows_that_the_upstream_has_ended() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    for _ in 0..3 {
        let event = AttemptEvent::Broken(BreakCause::Closed);
        harness.crash_with(event, ProbeOutcome::Connected);
        let key = harness.arrive_with(b"other");
        harness.expect_send(key);
        harness.note(key, AttemptEvent::Sent);
        let cause = DeclineCause::Misdirected;
        harness.note(key, AttemptEvent::Declined(cause, None));
        while harness.next().is_some() {}
    }
    let key = harness.arrive_later(b"crashing");
    harness.expect_refused(key);
}

/// Guards against crashes that do not count because the gateway gave the silent attempt up first.
#[test]
fn silent_attempt_is_part_of_a_crash() {
    let mut harness = SchedulerHarness::with_upstreams(6);
    for _ in 0..3 {
        let key = harness.arrive_later(b"crashing");
        let upstream = harness.expect_send(key).upstream;
        harness.note(key, AttemptEvent::Sent);
        harness.now = harness.now + SpanMillis::new(11_000);
        harness.scheduler.tick(harness.now);
        harness.expect_probe(&upstream);
        let outcome = ProbeOutcome::Refused;
        let now = harness.now;
        harness.scheduler.note_probe(&upstream, outcome, now);
    }
    let key = harness.arrive_later(b"crashing");
    harness.expect_refused(key);
}

/// Guards against crashes that no longer count because an upstream that fails a part of its requests answered the request
/// with an error.
#[test]
fn error_response_does_not_clear_a_request() {
    let mut harness = SchedulerHarness::with_upstreams(6);
    for crash in 0..3 {
        let event = AttemptEvent::Broken(BreakCause::Closed);
        harness.crash_with(event, ProbeOutcome::Refused);
        if crash < 2 {
            for status in [400, 429, 500, 503] {
                let key = harness.arrive_later(b"crashing");
                harness.expect_send(key);
                harness.complete_with(key, status);
            }
        }
    }
    let key = harness.arrive_later(b"crashing");
    harness.expect_refused(key);
}

/// Guards against counting upstreams that go down together as several crashes of a harmless request, which moves from one to
/// the next while they do.
#[test]
fn request_that_moves_between_upstreams_that_go_down_together_crashes_once() {
    let mut harness = SchedulerHarness::with_upstreams(6);
    for _ in 0..4 {
        let key = harness.arrive_with(b"popular");
        let upstream = harness.break_one(key);
        let now = harness.now;
        harness
            .scheduler
            .note_probe(&upstream, ProbeOutcome::Refused, now);
    }
    let key = harness.arrive_later(b"popular");
    harness.expect_send(key);
}

/// Guards against a suspect that crashes a second upstream within one request of its caller.
#[test]
fn suspect_is_not_sent_again_after_another_break() {
    let mut harness = SchedulerHarness::with_upstreams(6);
    for is_suspect in [false, true] {
        let request = WorkRequest {
            fingerprint: fingerprint(b"crashing"),
            ..WorkRequest::of_route(&route(WorkKind::Repeatable, 2), harness.now, None)
        };
        let key = harness.scheduler.arrive(request, harness.now);
        let upstream = harness.expect_send(key).upstream;
        harness.note(key, AttemptEvent::Sent);
        harness.note(key, AttemptEvent::Broken(BreakCause::Closed));
        match is_suspect {
            false => {
                harness.expect_send(key);
                harness.scheduler.caller_left(key, harness.now);
            }
            true => assert!(matches!(harness.next(), Some(FlowAction::Fail(..)))),
        }
        let now = harness.now;
        harness
            .scheduler
            .note_probe(&upstream, ProbeOutcome::Refused, now);
        harness.now = now + RESEND_PAUSE;
    }
}

/// Guards against crashes that are forgotten at a gateway with few requests, which has not heard from any other upstream when
/// the probe ends.
#[test]
fn upstream_is_probed_again_once_another_one_answers() {
    let mut harness = SchedulerHarness::with_upstreams(6);
    for _ in 0..3 {
        let event = AttemptEvent::Broken(BreakCause::Closed);
        let upstream = harness.crash_with(event, ProbeOutcome::NotConnected);
        harness.scheduler.tick(harness.now);
        assert!(harness.next().is_none() && harness.probes.is_empty());
        harness.hear_from_other(&upstream);
        harness.scheduler.tick(harness.now);
        harness.expect_probe(&upstream);
        let now = harness.now;
        let outcome = ProbeOutcome::NotConnected;
        harness.scheduler.note_probe(&upstream, outcome, now);
    }
    let key = harness.arrive_later(b"crashing");
    harness.expect_refused(key);
}

/// Guards against probes of upstreams that are up: the caller left while its stream was flowing, or soon after its request.
#[test]
fn upstream_of_a_caller_that_left_is_only_probed_if_it_is_silent() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    for (pause, is_probed) in [(100, false), (400, true)] {
        let key = harness.arrive_later(b"stream");
        let upstream = harness.expect_send(key).upstream;
        harness.note(key, AttemptEvent::Sent);
        harness.note(key, AttemptEvent::StreamStarted(None));
        harness.now = harness.now + SpanMillis::new(pause);
        let now = harness.now;
        harness.scheduler.caller_left(key, now);
        while harness.next().is_some() {}
        assert_eq!(harness.probes.pop_front().is_some(), is_probed, "{pause}");
        let outcome = ProbeOutcome::Connected;
        harness.scheduler.note_probe(&upstream, outcome, now);
    }
}

/// Guards against crashes that leave no trace in logs and counters: an upstream that goes down together with another one, and
/// one that is back before it is probed.
#[test]
fn crashes_that_add_nothing_are_told() {
    let mut harness = SchedulerHarness::with_upstreams(6);
    // Of a request that completes at other times, upstreams that go down together count once.
    let key = harness.arrive_with(b"popular");
    harness.expect_send(key);
    harness.complete(key);
    let mut attempts = Vec::new();
    for _ in 0..2 {
        let key = harness.arrive_with(b"popular");
        attempts.push((key, harness.expect_send(key).upstream));
        harness.note(key, AttemptEvent::Sent);
    }
    assert_ne!(attempts[0].1, attempts[1].1);
    for (key, _) in &attempts {
        harness.note(*key, AttemptEvent::Broken(BreakCause::Closed));
    }
    let now = harness.now;
    for (outcome, upstream) in [
        (ProbeOutcome::Connected, &attempts[0].1),
        (ProbeOutcome::Refused, &attempts[0].1),
        (ProbeOutcome::Refused, &attempts[1].1),
    ] {
        harness.scheduler.note_probe(upstream, outcome, now);
    }
    let events = harness.scheduler.take_crash_events();
    let [first, second, third] = &events[..] else {
        panic!("expected three events, not {events:?}");
    };
    assert_eq!(*first, CrashEvent::Accepting(attempts[0].1.clone()));
    assert!(matches!(second, CrashEvent::Counted { upstream, .. } if *upstream == attempts[0].1));
    assert!(matches!(third, CrashEvent::Coinciding { upstream, .. } if *upstream == attempts[1].1));
}

impl SchedulerHarness {
    /// Sends a request whose response ends with its connection. Returns the upstream.
    fn end_by_close(&mut self, content: &[u8]) -> VmName {
        let key = self.arrive_later(content);
        let upstream = self.expect_send(key).upstream;
        self.note(key, AttemptEvent::Sent);
        let event = AttemptEvent::EndedByClose {
            status: 200,
            load: None,
        };
        self.note(key, event);
        assert_eq!(self.next(), Some(FlowAction::Relay(key)));
        upstream
    }
}

/// Guards against a crash that looks like a complete response, since the response has no length.
#[test]
fn response_that_ends_with_the_connection_counts_if_its_upstream_is_down() {
    let mut harness = SchedulerHarness::with_upstreams(6);
    for _ in 0..3 {
        let upstream = harness.end_by_close(b"crashing");
        harness.detect_down(&upstream);
    }
    let key = harness.arrive_later(b"crashing");
    harness.expect_refused(key);
}

/// Guards against refusing a request of a service that ends all responses with the connection, because its upstreams leave one
/// after the other, some seconds after their last response.
#[test]
fn response_that_ends_with_the_connection_completes_if_its_upstream_lives_on() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    for incarnation in 2..8 {
        harness.end_by_close(b"sound");
        harness.advance(2_000);
        let entry = fescuetide_fleet::UpstreamEntry {
            incarnation: ProcessIncarnation::new(incarnation),
            ..crate::harness::upstream("vm-0", 8)
        };
        harness.scheduler.set_upstreams(&[entry], harness.now);
    }
    let key = harness.arrive_later(b"sound");
    harness.expect_send(key);
}
