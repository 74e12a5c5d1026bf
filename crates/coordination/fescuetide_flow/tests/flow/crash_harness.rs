//! Requests that crash upstreams, for the tests of their detection.

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
pub(crate) const RESEND_PAUSE: SpanMillis = SpanMillis::new(200);

pub(crate) fn fingerprint(content: &[u8]) -> CrashFingerprint {
    CrashFingerprint::of_parts(&[content])
}

impl SchedulerHarness {
    pub(crate) fn arrive_with(&mut self, content: &[u8]) -> FlowKey {
        let route = route(WorkKind::Repeatable, 1);
        let request = WorkRequest {
            fingerprint: fingerprint(content),
            ..WorkRequest::of_route(&route, self.now, None)
        };
        self.scheduler.arrive(request, self.now)
    }

    /// Adds a request that comes again a moment after the last one, so that their crashes are two events.
    pub(crate) fn arrive_later(&mut self, content: &[u8]) -> FlowKey {
        self.now = self.now + RESEND_PAUSE;
        self.arrive_with(content)
    }

    /// Breaks the attempt of a request and expects it to fail. Returns the upstream.
    pub(crate) fn break_one(&mut self, key: FlowKey) -> VmName {
        let upstream = self.expect_send(key).upstream;
        self.note(key, AttemptEvent::Sent);
        self.now = self.now + SpanMillis::new(10);
        self.note(key, AttemptEvent::Broken(BreakCause::Closed));
        self.now = self.now + SpanMillis::new(10);
        assert!(matches!(self.next(), Some(FlowAction::Fail(failed, _)) if failed == key));
        upstream
    }

    /// Expects that the last request has ended and that its upstream is to be probed.
    pub(crate) fn expect_probe(&mut self, upstream: &VmName) {
        while self.next().is_some() {}
        assert_eq!(self.probes.pop_front().as_ref(), Some(upstream));
    }

    /// Sends a request that ends as `event` says, and ends the probe of its upstream with `outcome`. Returns the upstream.
    pub(crate) fn crash_with(&mut self, event: AttemptEvent, outcome: ProbeOutcome) -> VmName {
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
    pub(crate) fn hear_from_other(&mut self, except: &VmName) {
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

    pub(crate) fn expect_sent(&mut self) {
        let key = self.arrive_later(b"crashing");
        self.expect_send(key);
    }

    /// Sends other requests until one finds that the upstream refuses connections.
    pub(crate) fn detect_down(&mut self, down: &VmName) {
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

    pub(crate) fn complete(&mut self, key: FlowKey) {
        self.complete_with(key, 200);
    }

    pub(crate) fn complete_with(&mut self, key: FlowKey, status: u16) {
        self.note(key, AttemptEvent::Sent);
        self.note(key, AttemptEvent::Completed { status, load: None });
        assert_eq!(self.next(), Some(FlowAction::Relay(key)));
    }

    pub(crate) fn expect_refused(&mut self, key: FlowKey) {
        match self.next() {
            Some(FlowAction::Refuse(refused, refusal)) if refused == key => {
                assert_eq!(refusal.cause, RefusalCause::CrashesUpstreams);
            }
            other => panic!("expected a refusal, not {other:?}"),
        }
    }
}
