//! Detection of requests that crash upstreams.

use fescuetide_base::prelude::*;
use fescuetide_fleet::WorkKind;
use fescuetide_flow::AttemptEvent;
use fescuetide_flow::BreakCause;
use fescuetide_flow::FlowAction;
use fescuetide_flow::FlowKey;
use fescuetide_flow::ProbeOutcome;
use fescuetide_flow::RefusalCause;
use fescuetide_flow::WorkRequest;
use fescuetide_limits::CrashFingerprint;

use crate::harness::SchedulerHarness;
use crate::harness::route;

/// Pause before a request comes again.
const RESEND_PAUSE: SpanMillis = SpanMillis::new(200);

fn fingerprint(content: &[u8]) -> CrashFingerprint {
    CrashFingerprint::of_parts(&[content])
}

impl SchedulerHarness {
    fn arrive_with(&mut self, content: &[u8]) -> FlowKey {
        let route = route(WorkKind::Repeatable, 1);
        let request = WorkRequest {
            fingerprint: fingerprint(content),
            ..WorkRequest::of_route(&route, self.now, None)
        };
        self.scheduler.arrive(request, self.now)
    }

    /// Adds a request that comes again a moment after the last one, so that their crashes are two events.
    fn arrive_later(&mut self, content: &[u8]) -> FlowKey {
        self.now = self.now + RESEND_PAUSE;
        self.arrive_with(content)
    }

    /// Breaks the attempt of a request and expects it to fail. Returns the upstream.
    fn break_one(&mut self, key: FlowKey) -> VmName {
        let upstream = self.expect_send(key).upstream;
        self.note(key, AttemptEvent::Sent);
        self.now = self.now + SpanMillis::new(10);
        self.note(key, AttemptEvent::Broken(BreakCause::Closed));
        self.now = self.now + SpanMillis::new(10);
        assert!(matches!(self.next(), Some(FlowAction::Fail(failed, _)) if failed == key));
        upstream
    }

    /// Expects that the last request has ended and that its upstream is to be probed.
    fn expect_probe(&mut self, upstream: &VmName) {
        while self.next().is_some() {}
        assert_eq!(self.probes.pop_front().as_ref(), Some(upstream));
    }

    /// Sends a request that ends as `event` says, and ends the probe of its upstream with `outcome`. Returns the upstream.
    fn crash_with(&mut self, event: AttemptEvent, outcome: ProbeOutcome) -> VmName {
        let key = self.arrive_later(b"crashing");
        let upstream = self.expect_send(key).upstream;
        self.note(key, AttemptEvent::Sent);
        self.note(key, event);
        self.expect_probe(&upstream);
        self.now = self.now + SpanMillis::new(10);
        self.scheduler.note_probe(&upstream, outcome, self.now);
        upstream
    }

    /// Completes another request at an upstream that is not `except`.
    fn hear_from_other(&mut self, except: &VmName) {
        for number in 0..100_u32 {
            let key = self.arrive_with(&number.to_le_bytes());
            let is_other = self.expect_send(key).upstream != *except;
            self.now = self.now + SpanMillis::new(10);
            self.complete(key);
            if is_other {
                return;
            }
        }
        panic!("all requests were sent to {except}");
    }

    fn expect_sent(&mut self) {
        let key = self.arrive_later(b"crashing");
        self.expect_send(key);
    }

    /// Sends other requests until one finds that the upstream refuses connections.
    fn detect_down(&mut self, down: &VmName) {
        for number in 0..100_u32 {
            let key = self.arrive_with(&number.to_le_bytes());
            let command = self.expect_send(key);
            if command.upstream == *down {
                self.note(key, AttemptEvent::Broken(BreakCause::Refused));
                self.expect_send(key);
                self.complete(key);
                return;
            }
            self.complete(key);
        }
        panic!("no request was sent to {down}");
    }

    fn complete(&mut self, key: FlowKey) {
        self.complete_with(key, 200);
    }

    fn complete_with(&mut self, key: FlowKey, status: u16) {
        self.note(key, AttemptEvent::Sent);
        self.note(key, AttemptEvent::Completed { status, load: None });
        assert_eq!(self.next(), Some(FlowAction::Relay(key)));
    }

    fn expect_refused(&mut self, key: FlowKey) {
        match self.next() {
            Some(FlowAction::Refuse(refused, refusal)) if refused == key => {
                assert_eq!(refusal.cause, RefusalCause::CrashesUpstreams);
            }
            other => panic!("expected a refusal, not {other:?}"),
        }
    }
}

/// Guards against a request that crashes one upstream after another.
#[test]
fn request_that_crashed_three_upstreams_is_refused() {
    let mut harness = SchedulerHarness::with_upstreams(6);
    for _ in 0..3 {
        let key = harness.arrive_later(b"crashing");
        let upstream = harness.break_one(key);
        harness.detect_down(&upstream);
    }
    let key = harness.arrive_later(b"crashing");
    harness.expect_refused(key);
    let other = harness.arrive_with(b"other");
    harness.expect_send(other);
}

/// Guards against refusing requests whose responses were truncated by upstreams that did not crash.
#[test]
fn breaks_without_a_crash_make_no_suspects() {
    let mut harness = SchedulerHarness::with_upstreams(6);
    for _ in 0..10 {
        let key = harness.arrive_with(b"cut");
        harness.break_one(key);
    }
    let key = harness.arrive_with(b"cut");
    harness.expect_send(key);
}

/// Guards against refusing a request that many callers send because several of its runs were involved in one crash.
#[test]
fn one_crash_counts_once_for_a_request() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    let keys: Vec<FlowKey> = (0..4).map(|_| harness.arrive_with(b"popular")).collect();
    for key in &keys {
        harness.expect_send(*key);
        harness.note(*key, AttemptEvent::Sent);
    }
    for key in &keys {
        harness.note(*key, AttemptEvent::Broken(BreakCause::Closed));
        assert!(matches!(harness.next(), Some(FlowAction::Fail(..))));
    }
    harness.scheduler.set_upstreams(&[], harness.now);
    harness
        .scheduler
        .set_upstreams(&[crate::harness::upstream("vm-0", 8)], harness.now);
    let key = harness.arrive_with(b"popular");
    harness.expect_send(key);
}

/// Guards against refusing a request that many callers send because three upstreams went down together.
#[test]
fn upstreams_that_go_down_together_count_once() {
    let mut harness = SchedulerHarness::with_upstreams(3);
    let keys: Vec<FlowKey> = (0..9).map(|_| harness.arrive_with(b"popular")).collect();
    for key in &keys {
        harness.expect_send(*key);
        harness.note(*key, AttemptEvent::Sent);
    }
    harness.now = harness.now + SpanMillis::new(100);
    for key in &keys {
        harness.note(*key, AttemptEvent::Broken(BreakCause::Closed));
        assert!(matches!(harness.next(), Some(FlowAction::Fail(..))));
    }
    harness.scheduler.set_upstreams(&[], harness.now);
    harness
        .scheduler
        .set_upstreams(&[crate::harness::upstream("vm-9", 8)], harness.now);
    let key = harness.arrive_with(b"popular");
    harness.expect_send(key);
}

/// Guards against refusing a request that was involved in several crashes but completed between them.
#[test]
fn completed_request_is_cleared() {
    let mut harness = SchedulerHarness::with_upstreams(6);
    for _ in 0..5 {
        let key = harness.arrive_later(b"innocent");
        let upstream = harness.break_one(key);
        harness.detect_down(&upstream);
        let key = harness.arrive_later(b"innocent");
        harness.expect_send(key);
        harness.complete(key);
    }
}

/// A new incarnation of an upstream counts as a crash of the attempts that broke there. Guards against a missed crash
/// when the upstream restarts before the gateway tries to connect again.
#[test]
fn new_incarnation_counts_as_a_crash() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    for incarnation in 2..5 {
        let key = harness.arrive_later(b"crashing");
        harness.break_one(key);
        let entry = fescuetide_fleet::UpstreamEntry {
            incarnation: ProcessIncarnation::new(incarnation),
            ..crate::harness::upstream("vm-0", 8)
        };
        harness.scheduler.set_upstreams(&[entry], harness.now);
    }
    let key = harness.arrive_later(b"crashing");
    harness.expect_refused(key);
}

/// Reports what one gateway has found to all.
fn share_evidence(gateways: &mut [SchedulerHarness], from: usize) {
    let now = gateways[from].now;
    let evidence = gateways[from].scheduler.take_crash_evidence(now);
    for gateway in gateways {
        let now = gateway.now;
        gateway
            .scheduler
            .merge_crash_evidence(evidence.clone(), now);
    }
}

fn new_gateways(count: usize) -> Vec<SchedulerHarness> {
    (0..count)
        .map(|_| SchedulerHarness::with_upstreams(6))
        .collect()
}

/// Guards against a crashing request that is retried at every gateway: a refusal at one gateway applies at the others,
/// and they do not report it again.
#[test]
fn refusals_are_shared_with_other_gateways() {
    let mut harness = SchedulerHarness::with_upstreams(6);
    assert_eq!(harness.scheduler.take_crash_evidence(harness.now), []);
    for _ in 0..3 {
        let key = harness.arrive_later(b"crashing");
        let upstream = harness.break_one(key);
        harness.detect_down(&upstream);
    }
    let evidence = harness.scheduler.take_crash_evidence(harness.now);
    assert_eq!(evidence.len(), 1);
    assert_eq!(evidence[0].fingerprint, fingerprint(b"crashing"));
    assert_eq!(harness.scheduler.take_crash_evidence(harness.now), []);

    let mut other = SchedulerHarness::with_upstreams(6);
    other.scheduler.merge_crash_evidence(evidence, other.now);
    let key = other.arrive_later(b"crashing");
    other.expect_refused(key);
    assert_eq!(other.scheduler.take_crash_evidence(other.now), []);
    assert_eq!(other.scheduler.list_crash_evidence(other.now).len(), 1);
}

/// Guards against a request that no gateway refuses, because each has seen fewer crashes than the limit.
#[test]
fn crashes_seen_by_different_gateways_add_up() {
    let mut gateways = new_gateways(4);
    for index in 0..3 {
        let gateway = &mut gateways[index];
        let key = gateway.arrive_later(b"crashing");
        let upstream = gateway.break_one(key);
        gateway.detect_down(&upstream);
        share_evidence(&mut gateways, index);
    }
    for gateway in &mut gateways {
        let key = gateway.arrive_later(b"crashing");
        gateway.expect_refused(key);
    }
}

/// Guards against refusing a harmless request that many callers send, because several upstreams went down together while
/// different gateways had it running there. They find out one after the other.
#[test]
fn upstreams_that_go_down_together_at_several_gateways_count_once() {
    let mut gateways = new_gateways(4);
    let mut keys = Vec::new();
    for gateway in &mut gateways {
        keys.push(gateway.arrive_with(b"popular"));
    }
    for (index, key) in keys.into_iter().enumerate() {
        let upstream = gateways[index].break_one(key);
        gateways[index].detect_down(&upstream);
        share_evidence(&mut gateways, index);
    }
    for gateway in &mut gateways {
        let key = gateway.arrive_with(b"popular");
        gateway.expect_send(key);
    }
}

/// Guards against a request that was queued when it became known that it crashes upstreams, and is sent afterwards.
#[test]
fn queued_request_is_refused_when_its_crashes_become_known() {
    let mut gateways = vec![
        SchedulerHarness::with_upstreams(6),
        SchedulerHarness::with_upstreams(1),
    ];
    for _ in 0..3 {
        let key = gateways[0].arrive_later(b"crashing");
        let upstream = gateways[0].break_one(key);
        gateways[0].detect_down(&upstream);
    }
    let harness = &mut gateways[1];
    let mut running = Vec::new();
    loop {
        let key = harness.arrive_with(&running.len().to_le_bytes());
        if harness.next().is_none() {
            break;
        }
        running.push(key);
    }
    let queued = harness.arrive_later(b"crashing");
    assert_eq!(harness.scheduler.waiting_count(), 2);
    share_evidence(&mut gateways, 0);
    let harness = &mut gateways[1];
    for key in running.into_iter().take(2) {
        harness.note(key, AttemptEvent::Sent);
        harness.note(
            key,
            AttemptEvent::Completed {
                status: 200,
                load: None,
            },
        );
    }
    let mut refused = false;
    while let Some(action) = harness.next() {
        refused |= matches!(action, FlowAction::Refuse(key, _) if key == queued);
        assert!(!matches!(action, FlowAction::Send(command) if command.key == queued));
    }
    assert!(refused);
}

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
        let cause = fescuetide_flow::DeclineCause::Misdirected;
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
