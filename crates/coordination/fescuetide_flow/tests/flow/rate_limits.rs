//! Upstreams that name, in their responses, how many requests they take.

use fescuetide_base::ProcessIncarnation;
use fescuetide_base::RequestRate;
use fescuetide_base::SpanMillis;
use fescuetide_base::UpstreamLife;
use fescuetide_base::VmName;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_fleet::WorkKind;
use fescuetide_flow::AttemptEvent;
use fescuetide_flow::FlowAction;
use fescuetide_flow::FlowKey;
use fescuetide_flow::FlowNotice;
use fescuetide_flow::LimitDigest;
use fescuetide_flow::LimitEntry;
use fescuetide_flow::RefusalCause;
use fescuetide_flow::UpstreamAnnouncement;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::harness::SchedulerHarness;
use crate::harness::upstream;

/// Time in which an upstream gets more and more requests after the end of a limit.
const RECOVERY_TIME: SpanMillis = SpanMillis::new(16_000);

impl SchedulerHarness {
    /// Sends and completes a request whose response names `limit`. Returns whether it was sent.
    fn serve_with_limit(&mut self, limit: Option<f64>) -> bool {
        let key = self.arrive(WorkKind::Repeatable, 1);
        let Some(FlowAction::Send(_)) = self.next() else {
            return false;
        };
        self.note_limit(key, limit);
        self.complete(key);
        true
    }

    fn note_limit(&mut self, key: FlowKey, limit: Option<f64>) {
        let announcement = UpstreamAnnouncement {
            rate_limit: limit.map(RequestRate::per_second),
            ..UpstreamAnnouncement::default()
        };
        self.note(key, AttemptEvent::Announced(announcement));
    }

    /// Whether any notice since the last call is the end of a limit.
    fn has_limit_ended(&mut self) -> bool {
        let notices = self.scheduler.take_notices();
        let mut notices = notices.iter();
        notices.any(|notice| matches!(notice, FlowNotice::RateLimitEnded { .. }))
    }

    fn merge_limit(&mut self, rate: Option<f64>, age_ms: u64) {
        let name = "vm-0".parse().unwrap();
        let digest = LimitDigest {
            limits: vec![LimitEntry {
                life: UpstreamLife::of(&name, ProcessIncarnation::new(1)),
                rate: rate.map(RequestRate::per_second),
                age: SpanMillis::new(age_ms),
            }],
            demands: Vec::new(),
        };
        self.scheduler.merge_limit_digest(&digest, self.now);
    }
}

/// Guards against a request that waits although no upstream takes it in time, and against a wrong time until the retry.
#[test]
fn request_is_refused_with_the_time_of_the_next_token() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    assert!(harness.serve_with_limit(Some(0.5)));
    assert!(harness.serve_with_limit(Some(0.5)));
    let key = harness.arrive(WorkKind::Repeatable, 1);
    let Some(FlowAction::Refuse(refused, refusal)) = harness.next() else {
        panic!("the request is refused at once");
    };
    assert_eq!(refused, key);
    assert_eq!(refusal.cause, RefusalCause::RateLimited);
    assert_eq!(refusal.retry_after, SpanMillis::new(2_000));
    harness.advance(refusal.retry_after.as_millis());
    assert!(harness.serve_with_limit(Some(0.5)));
}

/// Guards against a queue of requests that will get no token in time.
#[test]
fn only_requests_that_get_a_token_in_time_wait() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    assert!(harness.serve_with_limit(Some(10.0)));
    harness.advance(1_000);
    let mut refused = 0;
    for _ in 0..20 {
        harness.arrive(WorkKind::Repeatable, 1);
    }
    let mut sent = 0;
    while let Some(action) = harness.next() {
        match action {
            FlowAction::Send(_) => sent += 1,
            FlowAction::Refuse(..) => refused += 1,
            _ => {}
        }
    }
    // The latency target is 400 ms, so a request waits for 200 ms, in which two tokens come.
    let waiting = harness.scheduler.waiting_count();
    assert_eq!((sent, waiting, refused), (5, 1, 14));
}

/// Guards against a limit that stays after its end, or ends with the first response that was written before it.
#[test]
fn limit_ends_when_responses_name_none_any_more() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    assert!(harness.serve_with_limit(Some(4.0)));
    harness.advance(500);
    assert!(harness.serve_with_limit(None));
    assert!(!harness.has_limit_ended());
    harness.advance(600);
    assert!(harness.serve_with_limit(None));
    assert!(harness.has_limit_ended());
    for _ in 0..20 {
        assert!(harness.serve_with_limit(None));
    }
}

/// Guards against an upstream that is not asked any more since it takes no requests, so that nobody learns of the end.
#[test]
fn upstream_with_a_limit_of_zero_is_asked_now_and_then() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    assert!(harness.serve_with_limit(Some(0.0)));
    let mut sent = 0;
    for _ in 0..400 {
        harness.arrive(WorkKind::Repeatable, 1);
        while let Some(action) = harness.next() {
            if let FlowAction::Send(command) = action {
                sent += 1;
                harness.note_limit(command.key, Some(0.0));
            }
        }
        harness.advance(100);
    }
    assert!((8..=12).contains(&sent), "{sent} requests in 40 s");
}

/// Guards against a new incarnation that gets few requests because the one before named a limit.
#[test]
fn new_incarnation_has_no_limit() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    assert!(harness.serve_with_limit(Some(0.1)));
    assert!(harness.serve_with_limit(Some(0.1)));
    assert!(!harness.serve_with_limit(Some(0.1)));
    let entry = UpstreamEntry {
        incarnation: ProcessIncarnation::new(2),
        ..upstream("vm-0", 8)
    };
    harness.scheduler.set_upstreams(&[entry], harness.now);
    for _ in 0..20 {
        assert!(harness.serve_with_limit(None));
    }
}

/// Guards against news that other gateways tell late and that replace newer ones.
#[test]
fn older_news_of_a_limit_are_ignored() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    harness.merge_limit(Some(2.0), 100);
    assert_eq!(harness.scheduler.rate_limit_count(), 1);
    harness.merge_limit(None, 200);
    assert_eq!(harness.scheduler.rate_limit_count(), 1);
    harness.merge_limit(None, 50);
    assert_eq!(harness.scheduler.rate_limit_count(), 0);
    harness.merge_limit(Some(2.0), 60);
    assert_eq!(harness.scheduler.rate_limit_count(), 0);
}

/// Guards against digests without end: the end of a limit is told for some time only, also while responses go on naming none.
#[test]
fn end_of_a_limit_is_told_for_some_time_only() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    assert!(harness.serve_with_limit(Some(4.0)));
    harness.advance(1_500);
    assert!(harness.serve_with_limit(None));
    assert!(harness.has_limit_ended());
    let digest = harness.scheduler.take_limit_digest(harness.now);
    assert!(digest.is_some_and(|digest| digest.limits[0].rate.is_none()));
    for _ in 0..RECOVERY_TIME.as_millis() / 100 {
        assert!(harness.serve_with_limit(None));
        harness.advance(100);
    }
    assert_eq!(harness.scheduler.take_limit_digest(harness.now), None);
}

/// Guards against requests that wait or are refused for the sake of an upstream that names no limit any more, although only it
/// has room.
#[test]
fn recovering_upstream_gets_what_others_have_no_room_for() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    assert!(harness.serve_with_limit(Some(0.5)));
    harness.advance(1_500);
    assert!(harness.serve_with_limit(None));
    for _ in 0..8 {
        let key = harness.arrive(WorkKind::Repeatable, 1);
        harness.expect_send(key);
    }
}

/// Guards against upstreams that are overloaded since most others of the pool recover after rate limits.
#[test]
fn others_are_not_overloaded_while_upstreams_recover() {
    let mut harness = SchedulerHarness::with_upstreams(4);
    let mut limited: IndexSet<VmName> = IndexSet::new();
    for _ in 0..40 {
        let key = harness.arrive(WorkKind::Repeatable, 1);
        let Some(FlowAction::Send(command)) = harness.next() else {
            continue;
        };
        let is_limited = limited.contains(&command.upstream) || limited.len() < 3;
        if is_limited {
            limited.insert(command.upstream);
        }
        harness.note_limit(key, is_limited.then_some(0.5));
        harness.complete(key);
        harness.advance(40);
    }
    harness.advance(8_000);
    while limited.len() > 1 {
        let key = harness.arrive(WorkKind::Repeatable, 1);
        if let Some(FlowAction::Send(command)) = harness.next() {
            limited.swap_remove(&command.upstream);
            harness.note_limit(key, None);
            harness.complete(key);
        }
        harness.advance(500);
    }
    let mut loads: IndexMap<VmName, u32> = IndexMap::new();
    for _ in 0..16 {
        let key = harness.arrive(WorkKind::Repeatable, 1);
        let command = harness.expect_send(key);
        *loads.entry(command.upstream).or_default() += 1;
    }
    let largest = loads.values().max().copied().unwrap_or_default();
    // The mean is 4.
    assert!(largest <= 2 * 4 + 3, "{loads:?}");
}

/// Guards against digests, and parts of limits, for upstreams that are gone.
#[test]
fn limit_of_an_upstream_that_is_gone_is_not_shared() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    assert!(harness.serve_with_limit(Some(4.0)));
    let replaced = UpstreamEntry {
        incarnation: ProcessIncarnation::new(2),
        ..upstream("vm-0", 8)
    };
    harness.scheduler.set_upstreams(&[replaced], harness.now);
    assert_eq!(harness.scheduler.rate_limit_count(), 0);
    harness.advance(3_000);
    assert_eq!(harness.scheduler.take_limit_digest(harness.now), None);
}

/// Guards against a limit that is forgotten while the entry of its upstream is missing for a moment.
#[test]
fn limit_outlives_the_entry_of_its_upstream() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    assert!(harness.serve_with_limit(Some(0.5)));
    assert!(harness.serve_with_limit(Some(0.5)));
    harness.scheduler.set_upstreams(&[], harness.now);
    let same = upstream("vm-0", 8);
    harness.scheduler.set_upstreams(&[same], harness.now);
    assert_eq!(harness.scheduler.rate_limit_count(), 1);
    assert!(!harness.serve_with_limit(Some(0.5)));
}
