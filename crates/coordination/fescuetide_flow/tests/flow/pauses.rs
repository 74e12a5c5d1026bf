//! Upstreams that turn a request away and want no more of them for some time.

use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_fleet::PoolShare;
use fescuetide_fleet::RouteEntry;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_fleet::WorkKind;
use fescuetide_flow::AttemptEvent;
use fescuetide_flow::BreakCause;
use fescuetide_flow::DeclineCause;
use fescuetide_flow::FlowAction;
use fescuetide_flow::FlowKey;
use fescuetide_flow::FlowNotice;
use fescuetide_flow::FlowRefusal;
use fescuetide_flow::PromptPart;
use fescuetide_flow::PromptShape;
use fescuetide_flow::RefusalCause;
use fescuetide_flow::UpstreamAnnouncement;
use fescuetide_flow::WorkRequest;

use crate::harness::SchedulerHarness;
use crate::harness::route;
use crate::harness::upstream;

/// A pause longer than any request is queued.
const LONG_PAUSE: SpanMillis = SpanMillis::new(5_000);

/// The longest pause that is kept.
const MAX_PAUSE_MS: u64 = 600_000;

impl SchedulerHarness {
    /// Sends a request and lets its upstream decline it with a pause. Returns the request and the upstream.
    fn decline_with_pause(&mut self, attempt_limit: u32, pause: SpanMillis) -> (FlowKey, String) {
        let key = self.arrive(WorkKind::Repeatable, attempt_limit);
        let upstream = self.expect_send(key).upstream;
        self.note(key, AttemptEvent::Sent);
        self.note_decline_with_pause(key, pause);
        (key, upstream.to_string())
    }

    /// Lets the upstream of a sent request decline it with a pause.
    fn note_decline_with_pause(&mut self, key: FlowKey, pause: SpanMillis) {
        let announcement = UpstreamAnnouncement {
            pause: Some(pause),
            ..UpstreamAnnouncement::default()
        };
        self.note(key, AttemptEvent::Announced(announcement));
        self.note(key, AttemptEvent::Declined(DeclineCause::Full, None));
    }

    /// Sends and completes a request. Returns its upstream.
    fn serve_one(&mut self) -> String {
        let key = self.arrive(WorkKind::Repeatable, 1);
        let upstream = self.expect_send(key).upstream;
        self.complete(key);
        upstream.to_string()
    }

    pub(crate) fn expect_refusal(&mut self, key: FlowKey) -> FlowRefusal {
        match self.next() {
            Some(FlowAction::Refuse(refused, refusal)) if refused == key => refusal,
            other => panic!("expected a refusal, not {other:?}"),
        }
    }
}

fn entries(count: usize) -> Vec<UpstreamEntry> {
    let names = (0..count).map(|index| format!("vm-{index}"));
    names.map(|name| upstream(&name, 8)).collect()
}

/// Adds an upstream of another pool to the first `count` ones, and returns the route with both pools.
fn add_pool_of_others(
    harness: &mut SchedulerHarness,
    count: usize,
    route: RouteEntry,
) -> RouteEntry {
    let other = UpstreamEntry {
        pool: "others".parse().unwrap(),
        ..upstream("vm-other", 8)
    };
    let mut entries = entries(count);
    entries.push(other.clone());
    harness.scheduler.set_upstreams(&entries, harness.now);
    let share = PoolShare {
        pool: other.pool,
        weight: 1,
    };
    RouteEntry {
        pools: vec![route.pools[0].clone(), share],
        ..route
    }
}

/// Guards against requests that reach an upstream in its pause, and against an upstream that stays excluded after it.
#[test]
fn paused_upstream_gets_requests_only_after_its_pause() {
    let mut harness = SchedulerHarness::with_upstreams(2);
    let (key, paused) = harness.decline_with_pause(2, LONG_PAUSE);
    let command = harness.expect_send(key);
    assert_ne!(command.upstream.as_str(), paused);
    harness.complete(key);
    for _ in 0..20 {
        assert_ne!(harness.serve_one(), paused);
        harness.advance(LONG_PAUSE.as_millis() / 25);
    }
    harness.advance(LONG_PAUSE.as_millis() / 5);
    let served: Vec<String> = (0..20).map(|_| harness.serve_one()).collect();
    assert!(served.contains(&paused));
}

/// Guards against a request that waits until its deadline for an upstream that will not accept it, and against a
/// `Retry-After` that is too short.
#[test]
fn request_is_refused_at_once_when_all_upstreams_are_paused() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    let (key, _) = harness.decline_with_pause(1, LONG_PAUSE);
    let refusal = harness.expect_refusal(key);
    assert_eq!(refusal.retry_after, LONG_PAUSE);
    harness.advance(1_000);
    let key = harness.arrive(WorkKind::Once, 1);
    let refusal = harness.expect_refusal(key);
    assert_eq!(refusal.cause, RefusalCause::Paused);
    assert_eq!(refusal.evidence.to_string(), "never_sent");
    assert_eq!(refusal.retry_after, SpanMillis::new(4_000));
}

/// Guards against refusals that a short wait would avoid.
#[test]
fn request_waits_for_the_end_of_a_short_pause() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    let (first, _) = harness.decline_with_pause(1, SpanMillis::new(100));
    harness.expect_refusal(first);
    let key = harness.arrive(WorkKind::Repeatable, 1);
    harness.advance(80);
    assert_eq!(harness.next(), None);
    harness.advance(40);
    harness.expect_send(key);
}

/// Guards against queued requests that expire although it is known that they cannot be served.
#[test]
fn queued_requests_are_refused_when_the_last_upstream_pauses() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    let mut keys = Vec::new();
    // One more than the upstream's slots and queue take.
    for _ in 0..17 {
        keys.push(harness.arrive(WorkKind::Repeatable, 1));
    }
    let queued = keys.pop().unwrap();
    for key in &keys {
        harness.expect_send(*key);
        harness.note(*key, AttemptEvent::Sent);
    }
    assert_eq!(harness.next(), None);
    harness.note_decline_with_pause(keys[0], LONG_PAUSE);
    assert_eq!(harness.expect_refusal(queued).retry_after, LONG_PAUSE);
    harness.expect_refusal(keys[0]);
    assert_eq!(harness.next(), None);
}

/// Guards against attempts that wait for a connection when the pause starts, and reach the upstream in it.
#[test]
fn unsent_attempts_leave_a_paused_upstream() {
    let mut harness = SchedulerHarness::with_upstreams(2);
    let (first, second) = (
        harness.arrive(WorkKind::Once, 1),
        harness.arrive(WorkKind::Once, 1),
    );
    let paused = harness.expect_send(first).upstream;
    let other = harness.expect_send(second).upstream;
    assert_ne!(paused, other);
    let unsent = harness.arrive(WorkKind::Once, 1);
    let target = harness.expect_send(unsent).upstream;
    let declined = if target == paused { first } else { second };
    harness.note(declined, AttemptEvent::Sent);
    harness.note_decline_with_pause(declined, LONG_PAUSE);
    assert_eq!(harness.next(), Some(FlowAction::Cancel(unsent)));
    let command = harness.expect_send(unsent);
    assert_ne!(command.upstream, target);
    assert_eq!(command.attempt, 1);
    harness.expect_refusal(declined);
}

/// Guards against attempts that are moved because of a pause without length.
#[test]
fn pause_without_length_changes_nothing() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    let (first, second) = (
        harness.arrive(WorkKind::Once, 1),
        harness.arrive(WorkKind::Once, 1),
    );
    harness.expect_send(first);
    harness.expect_send(second);
    harness.note(first, AttemptEvent::Sent);
    harness.note_decline_with_pause(first, SpanMillis::default());
    harness.expect_refusal(first);
    assert_eq!(harness.next(), None);
    let notices = harness.scheduler.take_notices();
    let is_pause = |notice: &FlowNotice| matches!(notice, FlowNotice::PauseStarted { .. });
    assert!(!notices.iter().any(is_pause));
}

/// Guards against a pause that is forgotten when the upstream's entry is removed and written again, and against one that
/// binds the next incarnation.
#[test]
fn pause_belongs_to_an_incarnation_and_not_to_its_entry() {
    let mut harness = SchedulerHarness::with_upstreams(2);
    let (key, paused) = harness.decline_with_pause(1, LONG_PAUSE);
    harness.expect_refusal(key);
    let mut entries = entries(2);
    harness.scheduler.set_upstreams(&[], harness.now);
    harness.scheduler.set_upstreams(&entries, harness.now);
    for _ in 0..20 {
        assert_ne!(harness.serve_one(), paused);
    }
    for entry in &mut entries {
        entry.incarnation = ProcessIncarnation::new(2);
    }
    harness.scheduler.set_upstreams(&entries, harness.now);
    let served: Vec<String> = (0..20).map(|_| harness.serve_one()).collect();
    assert!(served.contains(&paused));
}

/// Guards against a later and shorter pause that ends an earlier one, and against a value that excludes an upstream for good.
#[test]
fn longest_pause_counts_up_to_the_limit() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    let keys: Vec<FlowKey> = (0..2)
        .map(|_| harness.arrive(WorkKind::Repeatable, 1))
        .collect();
    for key in &keys {
        harness.expect_send(*key);
        harness.note(*key, AttemptEvent::Sent);
    }
    for (key, pause) in keys.iter().zip([u64::MAX, 1_000]) {
        harness.note_decline_with_pause(*key, SpanMillis::new(pause));
        let refusal = harness.expect_refusal(*key);
        assert_eq!(refusal.retry_after.as_millis(), MAX_PAUSE_MS);
    }
    harness.now = harness.now + SpanMillis::new(MAX_PAUSE_MS);
    harness.serve_one();
}

/// Guards against cached prefixes that are taken for lost, so that other upstreams compute them again.
#[test]
fn prefixes_of_a_paused_upstream_are_copied_from_it() {
    let mut harness = SchedulerHarness::with_upstreams(3);
    let request = |harness: &SchedulerHarness| {
        let part = |id| PromptPart { id, tokens: 1_000 };
        WorkRequest {
            prompt: PromptShape {
                parts: vec![part(7), part(harness.now.as_millis())],
            },
            ..WorkRequest::of_route(&route(WorkKind::ResumableStream, 2), harness.now, None)
        }
    };
    let work = request(&harness);
    let key = harness.scheduler.arrive(work, harness.now);
    let holder = harness.expect_send(key).upstream;
    harness.complete(key);
    let work = request(&harness);
    let key = harness.scheduler.arrive(work, harness.now);
    assert_eq!(harness.expect_send(key).upstream, holder);
    harness.note(key, AttemptEvent::Sent);
    harness.note_decline_with_pause(key, LONG_PAUSE);
    let command = harness.expect_send(key);
    assert_ne!(command.upstream, holder);
    assert_eq!(command.copy_from, Some(holder));
}

/// Guards against a stream that goes on in another pool of its route, whose upstreams may not continue it.
#[test]
fn stream_that_has_begun_does_not_change_its_pool() {
    let mut harness = SchedulerHarness::with_upstreams(2);
    let both = add_pool_of_others(&mut harness, 2, route(WorkKind::ResumableStream, 3));
    let request = WorkRequest::of_route(&both, harness.now, None);
    let stream = harness.scheduler.arrive(request, harness.now);
    harness.expect_send(stream);
    harness.note(stream, AttemptEvent::Sent);
    let leaving = UpstreamAnnouncement {
        is_leaving: true,
        ..UpstreamAnnouncement::default()
    };
    harness.note(stream, AttemptEvent::Announced(leaving));
    harness.note(stream, AttemptEvent::StreamStarted(None));
    assert_eq!(harness.next(), Some(FlowAction::Relay(stream)));
    // The other upstream of its pool is paused when the first one breaks.
    let (key, _) = harness.decline_with_pause(1, LONG_PAUSE);
    harness.expect_refusal(key);
    harness.note(stream, AttemptEvent::Broken(BreakCause::Closed));
    assert!(matches!(harness.next(), Some(FlowAction::Fail(failed, _)) if failed == stream));
}

/// Guards against refusals although another pool of the route accepts requests.
#[test]
fn requests_leave_a_pool_whose_upstreams_are_paused() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    let (key, _) = harness.decline_with_pause(1, LONG_PAUSE);
    harness.expect_refusal(key);
    let both = add_pool_of_others(&mut harness, 1, route(WorkKind::Once, 1));
    for pool_selector in 0..2 {
        let request = WorkRequest {
            pool_selector,
            ..WorkRequest::of_route(&both, harness.now, None)
        };
        let key = harness.scheduler.arrive(request, harness.now);
        assert_eq!(harness.expect_send(key).upstream.as_str(), "vm-other");
    }
}
