//! Upstreams that announce in a response that they leave.

use fescuetide_base::ProcessIncarnation;
use fescuetide_fleet::WorkKind;
use fescuetide_flow::AttemptEvent;
use fescuetide_flow::FlowAction;
use fescuetide_flow::FlowKey;
use fescuetide_flow::RefusalCause;
use fescuetide_flow::UpstreamAnnouncement;

use crate::harness::SchedulerHarness;
use crate::harness::upstream;

const LEAVING: AttemptEvent = AttemptEvent::Announced(UpstreamAnnouncement {
    pause: None,
    is_leaving: true,
    rate_limit: None,
});

impl SchedulerHarness {
    /// Sends a request whose response announces that its upstream leaves. Returns the request and the upstream.
    fn announce_leaving(&mut self, kind: WorkKind) -> (FlowKey, String) {
        let key = self.arrive(kind, 2);
        let upstream = self.expect_send(key).upstream;
        self.note(key, AttemptEvent::Sent);
        self.note(key, LEAVING);
        (key, upstream.to_string())
    }
}

/// Guards against new work for an upstream that leaves, and against the end of the streams that it is still sending.
#[test]
fn leaving_upstream_finishes_its_streams_and_gets_no_more() {
    let mut harness = SchedulerHarness::with_upstreams(2);
    let (stream, leaving) = harness.announce_leaving(WorkKind::ResumableStream);
    harness.note(stream, AttemptEvent::StreamStarted(None));
    assert_eq!(harness.next(), Some(FlowAction::Relay(stream)));
    for _ in 0..10 {
        let key = harness.arrive(WorkKind::Repeatable, 1);
        assert_ne!(harness.expect_send(key).upstream.as_str(), leaving);
        harness.complete(key);
        harness.note(stream, AttemptEvent::StreamProgress);
    }
    harness.note(
        stream,
        AttemptEvent::Completed {
            status: 200,
            load: None,
        },
    );
    assert_eq!(harness.next(), Some(FlowAction::Relay(stream)));
}

/// Guards against requests that reach an upstream after its announcement because they waited for a connection to it.
#[test]
fn unsent_attempts_leave_a_leaving_upstream() {
    let mut harness = SchedulerHarness::with_upstreams(2);
    let mut sends = Vec::new();
    for _ in 0..4 {
        let key = harness.arrive(WorkKind::Once, 1);
        sends.push((key, harness.expect_send(key).upstream));
    }
    let (first, leaving) = sends.remove(0);
    harness.note(first, AttemptEvent::Sent);
    harness.note(first, LEAVING);
    for (key, upstream) in sends {
        if upstream != leaving {
            continue;
        }
        assert_eq!(harness.next(), Some(FlowAction::Cancel(key)));
        let command = harness.expect_send(key);
        assert_ne!(command.upstream, leaving);
        assert_eq!(command.attempt, 1);
    }
    assert_eq!(harness.next(), None);
}

/// Guards against requests that wait for the only upstream after it announced that it leaves.
#[test]
fn request_is_refused_at_once_when_the_only_upstream_leaves() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    let (first, _) = harness.announce_leaving(WorkKind::Once);
    harness.complete(first);
    let key = harness.arrive(WorkKind::Once, 1);
    match harness.next() {
        Some(FlowAction::Refuse(refused, refusal)) => {
            assert_eq!((refused, refusal.cause), (key, RefusalCause::NoUpstream));
        }
        other => panic!("expected a refusal, not {other:?}"),
    }
}

/// Guards against queued requests that expire although their only upstream takes no new work.
#[test]
fn queued_requests_are_refused_when_the_only_upstream_leaves() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    let mut keys = Vec::new();
    // One more than the upstream's slots and queue take.
    for _ in 0..17 {
        keys.push(harness.arrive(WorkKind::Once, 1));
    }
    let queued = keys.pop().unwrap();
    for key in &keys {
        harness.expect_send(*key);
        harness.note(*key, AttemptEvent::Sent);
    }
    harness.note(keys[0], LEAVING);
    assert!(matches!(harness.next(), Some(FlowAction::Refuse(refused, _)) if refused == queued));
    assert_eq!(harness.next(), None);
}

/// Guards against an announcement that is lost because the entry was removed before the response arrived, and is written again
/// afterwards.
#[test]
fn announcement_of_an_upstream_without_an_entry_counts() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    let key = harness.arrive(WorkKind::Once, 1);
    let leaving = harness.expect_send(key).upstream;
    harness.note(key, AttemptEvent::Sent);
    harness.scheduler.set_upstreams(&[], harness.now);
    harness.note(key, LEAVING);
    harness.complete(key);
    let entry = upstream(leaving.as_str(), 8);
    harness.scheduler.set_upstreams(&[entry], harness.now);
    let key = harness.arrive(WorkKind::Once, 1);
    assert!(matches!(harness.next(), Some(FlowAction::Refuse(refused, _)) if refused == key));
}

/// Guards against an announcement of the incarnation before that arrives late and counts for the current one.
#[test]
fn announcement_of_the_incarnation_before_does_not_count() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    let key = harness.arrive(WorkKind::Once, 1);
    let name = harness.expect_send(key).upstream;
    harness.note(key, AttemptEvent::Sent);
    let mut entry = upstream(name.as_str(), 8);
    entry.incarnation = ProcessIncarnation::new(2);
    harness.scheduler.set_upstreams(&[entry], harness.now);
    harness.note(key, LEAVING);
    harness.complete(key);
    let key = harness.arrive(WorkKind::Once, 1);
    harness.expect_send(key);
}

/// Guards against a mark that binds the next incarnation, and against one that an entry of the same incarnation removes.
#[test]
fn announcement_belongs_to_an_incarnation() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    let (first, leaving) = harness.announce_leaving(WorkKind::Once);
    harness.complete(first);
    let mut entry = upstream(&leaving, 8);
    harness.scheduler.set_upstreams(&[], harness.now);
    harness
        .scheduler
        .set_upstreams(&[entry.clone()], harness.now);
    let key = harness.arrive(WorkKind::Once, 1);
    assert!(matches!(harness.next(), Some(FlowAction::Refuse(refused, _)) if refused == key));
    entry.incarnation = ProcessIncarnation::new(2);
    harness.scheduler.set_upstreams(&[entry], harness.now);
    let key = harness.arrive(WorkKind::Once, 1);
    harness.expect_send(key);
}
