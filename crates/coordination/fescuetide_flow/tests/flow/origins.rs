//! Upstreams of several software versions: a stream goes on only at the version that began it.

use fescuetide_base::RequestRate;
use fescuetide_base::SpanMillis;
use fescuetide_fleet::PoolShare;
use fescuetide_fleet::RouteEntry;
use fescuetide_fleet::SoftwareVersion;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_fleet::WorkKind;
use fescuetide_flow::AttemptEvent;
use fescuetide_flow::BreakCause;
use fescuetide_flow::FailedSearch;
use fescuetide_flow::FlowAction;
use fescuetide_flow::FlowFailure;
use fescuetide_flow::FlowKey;
use fescuetide_flow::OriginEntry;
use fescuetide_flow::OriginSource;
use fescuetide_flow::PoolKey;
use fescuetide_flow::PromptPart;
use fescuetide_flow::PromptShape;
use fescuetide_flow::RefusalCause;
use fescuetide_flow::StreamKey;
use fescuetide_flow::StreamOrigin;
use fescuetide_flow::UpstreamAnnouncement;
use fescuetide_flow::VersionVotes;
use fescuetide_flow::WorkRequest;

use crate::harness::POOL;
use crate::harness::SchedulerHarness;
use crate::harness::route;
use crate::harness::upstream;

pub(crate) const STREAM: StreamKey = StreamKey::new(7);

/// Age above which the list of upstreams may lack a version.
pub(crate) const LISTING_LIMIT: SpanMillis = SpanMillis::new(1_000);

/// Time after which a version that serves no more counts no more.
pub(crate) const HISTORY: SpanMillis = SpanMillis::new(60_000);

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion::from(text.to_owned())
}

/// An upstream of a version, by which it is named.
pub(crate) fn versioned(text: &str, index: usize) -> UpstreamEntry {
    UpstreamEntry {
        version: version(text),
        ..upstream(&format!("{text}-{index}"), 8)
    }
}

pub(crate) fn origin(text: &str) -> StreamOrigin {
    StreamOrigin {
        pool: PoolKey::of(&POOL.parse().unwrap()),
        version: version(text).key(),
    }
}

/// The origin of [`STREAM`] as it is told first.
fn entry(origin: StreamOrigin) -> OriginEntry {
    OriginEntry {
        stream: STREAM,
        origin,
        moves: 0,
    }
}

/// A search for the origin of [`STREAM`] that has failed.
pub(crate) fn failed_search(for_one: usize, against: usize) -> FailedSearch {
    FailedSearch {
        stream: STREAM,
        is_log_read: false,
        votes: VersionVotes { for_one, against },
    }
}

impl SchedulerHarness {
    /// Starts with so many upstreams of v1 and of v2.
    pub(crate) fn with_versions(old: usize, new: usize) -> Self {
        let mut harness = Self::with_upstreams(0);
        harness.set_versions(old, new);
        harness
    }

    pub(crate) fn set_versions(&mut self, old: usize, new: usize) {
        let old = (0..old).map(|index| versioned("v1", index));
        let new = (0..new).map(|index| versioned("v2", index));
        let entries: Vec<UpstreamEntry> = old.chain(new).collect();
        self.scheduler.set_upstreams(&entries, self.now);
    }

    /// Adds a request for a stream, which takes it up if `is_taken_up` is set.
    pub(crate) fn arrive_for_stream(&mut self, is_taken_up: bool) -> FlowKey {
        self.arrive_on(route(WorkKind::ResumableStream, 3), is_taken_up)
    }

    fn arrive_on(&mut self, route: RouteEntry, is_taken_up: bool) -> FlowKey {
        let request = WorkRequest {
            stream: STREAM,
            is_taken_up,
            ..WorkRequest::of_route(&route, self.now, None)
        };
        self.scheduler.arrive(request, self.now)
    }

    /// Begins a stream and relays its first event. Returns the request, and whether its upstream is one of v1.
    fn begin_stream(&mut self) -> (FlowKey, bool) {
        let key = self.arrive_for_stream(false);
        let upstream = self.expect_send(key).upstream;
        self.note(key, AttemptEvent::Sent);
        self.note(key, AttemptEvent::StreamStarted(None));
        assert_eq!(self.next(), Some(FlowAction::Relay(key)));
        self.note(key, AttemptEvent::StreamProgress);
        // The origin was told when the stream was sent.
        assert_eq!(self.next(), None);
        (key, upstream.as_str().starts_with("v1"))
    }
}

/// Guards against a stream that is continued at another version within its response.
#[test]
fn broken_stream_is_sent_only_to_its_version() {
    let mut harness = SchedulerHarness::with_versions(2, 6);
    for _ in 0..20 {
        let (key, is_old) = harness.begin_stream();
        harness.note(key, AttemptEvent::Broken(BreakCause::Closed));
        let command = harness.expect_send(key);
        assert_eq!(command.upstream.as_str().starts_with("v1"), is_old);
        assert!(command.is_resumption);
        harness.scheduler.caller_left(key, harness.now);
        // The failures of upstreams and the retries count less by then.
        harness.set_versions(0, 0);
        harness.set_versions(2, 6);
        for _ in 0..40 {
            let key = harness.arrive(WorkKind::Once, 1);
            harness.expect_send(key);
            harness.complete(key);
        }
    }
}

/// Guards against a stream that waits for an upstream of its version that does not exist, or goes on elsewhere.
#[test]
fn broken_stream_fails_if_no_other_upstream_has_its_version() {
    let mut harness = SchedulerHarness::with_versions(1, 1);
    let (key, _) = harness.begin_stream();
    harness.note(key, AttemptEvent::Broken(BreakCause::Closed));
    let failure = FlowFailure::AttemptBroken(BreakCause::Closed);
    assert_eq!(harness.next(), Some(FlowAction::Fail(key, failure)));
}

/// Guards against a request that stays at its first version although its caller has no event of it.
#[test]
fn stream_without_an_event_may_begin_at_any_version() {
    let mut harness = SchedulerHarness::with_versions(1, 1);
    let key = harness.arrive_for_stream(false);
    let first = harness.expect_send(key).upstream;
    harness.note(key, AttemptEvent::Sent);
    harness.note(key, AttemptEvent::StreamStarted(None));
    assert_eq!(harness.next(), Some(FlowAction::Relay(key)));
    harness.note(key, AttemptEvent::Broken(BreakCause::Closed));
    assert_ne!(harness.expect_send(key).upstream, first);
}

/// Guards against streams that are not known elsewhere when their first event reaches their callers, and against an origin that
/// stays wrong after another version has begun the stream.
#[test]
fn origin_is_told_when_a_stream_is_sent_and_when_it_moves() {
    let mut harness = SchedulerHarness::with_versions(1, 1);
    let key = harness.arrive_for_stream(false);
    let first = harness.expect_send(key).upstream;
    let (before, after) = match first.as_str().starts_with("v1") {
        true => (origin("v1"), origin("v2")),
        false => (origin("v2"), origin("v1")),
    };
    assert_eq!(harness.next(), None);
    assert_eq!(harness.told_origins, [entry(before)]);
    harness.note(key, AttemptEvent::Sent);
    harness.note(key, AttemptEvent::Broken(BreakCause::Closed));
    harness.expect_send(key);
    assert_eq!(harness.next(), None);
    let moved = OriginEntry {
        moves: 1,
        ..entry(after)
    };
    assert_eq!(harness.told_origins, [entry(before), moved]);
    // Whichever is heard first, the newer one counts.
    let mut other = SchedulerHarness::with_versions(1, 1);
    for news in [entry(before), moved] {
        let source = OriginSource::OtherGateway;
        other.scheduler.note_origins(&[news], source, other.now);
    }
    let known = other.scheduler.origin(STREAM, other.now);
    assert_eq!(known, Some(moved));
    let mut other = SchedulerHarness::with_versions(1, 1);
    other
        .scheduler
        .note_origins(&[moved], OriginSource::OtherGateway, other.now);
    other
        .scheduler
        .note_origins(&[entry(before)], OriginSource::OtherGateway, other.now);
    let known = other.scheduler.origin(STREAM, other.now);
    assert_eq!(known, Some(moved));
}

/// Guards against a retry at another version although upstreams of the one that others were told of are left.
#[test]
fn retry_before_the_first_event_stays_at_the_version() {
    for _ in 0..8 {
        let mut harness = SchedulerHarness::with_versions(2, 2);
        let key = harness.arrive_for_stream(false);
        let first = harness.expect_send(key).upstream;
        harness.note(key, AttemptEvent::Sent);
        harness.note(key, AttemptEvent::Broken(BreakCause::Closed));
        let second = harness.expect_send(key).upstream;
        assert_eq!(first.as_str()[..2], second.as_str()[..2]);
    }
}

/// Guards against a stream that goes on at another version when its caller takes it up here again.
#[test]
fn stream_taken_up_at_the_same_gateway_goes_to_its_version() {
    let mut harness = SchedulerHarness::with_versions(3, 3);
    let (key, is_old) = harness.begin_stream();
    harness.scheduler.caller_left(key, harness.now);
    for _ in 0..10 {
        let key = harness.arrive_for_stream(true);
        let command = harness.expect_send(key);
        assert_eq!(command.upstream.as_str().starts_with("v1"), is_old);
    }
}

/// Guards against a guess while other gateways are asked, and against a request that is not sent once one answers.
#[test]
fn stream_of_another_gateway_is_sent_once_its_origin_is_told() {
    let mut harness = SchedulerHarness::with_versions(3, 3);
    let key = harness.arrive_for_stream(true);
    assert_eq!(harness.next(), Some(FlowAction::SeekOrigin(STREAM)));
    harness.advance(100);
    assert_eq!(harness.next(), None);
    harness.scheduler.note_origins(
        &[entry(origin("v1"))],
        OriginSource::OtherGateway,
        harness.now,
    );
    let command = harness.expect_send(key);
    assert!(command.upstream.as_str().starts_with("v1"));
}

/// Guards against a stream that goes on at any version since nobody knows it.
#[test]
fn stream_that_nobody_knows_is_refused() {
    let mut harness = SchedulerHarness::with_versions(3, 3);
    let key = harness.arrive_for_stream(true);
    assert_eq!(harness.next(), Some(FlowAction::SeekOrigin(STREAM)));
    harness
        .scheduler
        .give_up_origin(&failed_search(0, 5), harness.now);
    assert_eq!(
        harness.expect_refusal(key).cause,
        RefusalCause::UnknownStream
    );
}

/// Guards against a stream whose version has gone and that goes on at the other one.
#[test]
fn stream_of_a_version_that_is_gone_is_refused() {
    let mut harness = SchedulerHarness::with_versions(0, 3);
    harness.scheduler.note_origins(
        &[entry(origin("v1"))],
        OriginSource::OtherGateway,
        harness.now,
    );
    let key = harness.arrive_for_stream(true);
    assert_eq!(harness.expect_refusal(key).cause, RefusalCause::NoUpstream);
}

/// Guards against questions and refusals while there is one version only, and against a version that is forgotten while its
/// streams may still be taken up.
#[test]
fn stream_needs_no_origin_once_there_was_only_one_version_for_long_enough() {
    let mut harness = SchedulerHarness::with_versions(2, 1);
    harness.set_versions(2, 0);
    harness.advance(HISTORY.as_millis() - 1_000);
    let key = harness.arrive_for_stream(true);
    assert_eq!(harness.next(), Some(FlowAction::SeekOrigin(STREAM)));
    harness.scheduler.caller_left(key, harness.now);
    harness.advance(1_000);
    harness.scheduler.note_listing_time(harness.now);
    let key = harness.arrive_for_stream(true);
    let first = harness.expect_send(key).upstream;
    // The other version comes back before the stream breaks off.
    harness.set_versions(2, 8);
    harness.note(key, AttemptEvent::Sent);
    harness.note(key, AttemptEvent::Broken(BreakCause::Closed));
    let second = harness.expect_send(key).upstream;
    assert!(first.as_str().starts_with("v1") && second.as_str().starts_with("v1"));
}

/// Guards against streams from before a release whose origin no other gateway knows.
#[test]
fn streams_from_before_a_release_are_told_when_it_begins() {
    let mut harness = SchedulerHarness::with_versions(3, 0);
    harness.begin_stream();
    assert_eq!(harness.next(), None);
    harness.set_versions(3, 1);
    assert_eq!(harness.next(), None);
    assert_eq!(harness.told_origins, [entry(origin("v1"))]);
    harness.set_versions(3, 2);
    assert_eq!(harness.next(), None);
    assert_eq!(harness.told_origins.len(), 1);
}

/// Guards against prefixes that are copied between upstreams of different versions.
#[test]
fn prompt_prefix_is_copied_within_a_version_only() {
    let mut harness = SchedulerHarness::with_versions(1, 1);
    let parts = [(1, 5_000), (2, 9)];
    let prompt = PromptShape {
        parts: parts.map(|(id, tokens)| PromptPart { id, tokens }).into(),
    };
    for _ in 0..8 {
        let request = WorkRequest {
            prompt: prompt.clone(),
            ..WorkRequest::of_route(&route(WorkKind::Once, 1), harness.now, None)
        };
        let key = harness.scheduler.arrive(request, harness.now);
        let command = harness.expect_send(key);
        assert_eq!(command.copy_from, None);
    }
}

/// Guards against a stream that goes on in another pool of its route.
#[test]
fn stream_goes_on_in_its_pool() {
    let other: fescuetide_base::PoolName = "others".parse().unwrap();
    let pools = [POOL.parse().unwrap(), other.clone()];
    let shares = pools.map(|pool| PoolShare { pool, weight: 1 });
    let in_other = UpstreamEntry {
        pool: other.clone(),
        ..versioned("v1", 9)
    };
    let mut harness = SchedulerHarness::with_upstreams(0);
    let entries = [versioned("v1", 0), versioned("v2", 0), in_other.clone()];
    harness.scheduler.set_upstreams(&entries, harness.now);
    let origin = StreamOrigin {
        pool: PoolKey::of(&other),
        version: in_other.version.key(),
    };
    harness
        .scheduler
        .note_origins(&[entry(origin)], OriginSource::OtherGateway, harness.now);
    for _ in 0..4 {
        let route = RouteEntry {
            pools: shares.to_vec(),
            ..route(WorkKind::ResumableStream, 3)
        };
        let key = harness.arrive_on(route, true);
        assert_eq!(harness.expect_send(key).upstream, in_other.name);
    }
}

/// Guards against a queue that stands still since its first request waits for a version whose upstreams are full.
#[test]
fn request_behind_a_stream_that_waits_for_its_version_is_sent() {
    let mut harness = SchedulerHarness::with_upstreams(0);
    let small = |text| UpstreamEntry {
        slots: 1,
        ..versioned(text, 0)
    };
    let entries = [small("v1"), small("v2")];
    harness.scheduler.set_upstreams(&entries, harness.now);
    let mut at_new = Vec::new();
    for _ in 0..4 {
        let key = harness.arrive(WorkKind::Once, 1);
        let command = harness.expect_send(key);
        if command.upstream.as_str().starts_with("v2") {
            at_new.push(key);
        }
    }
    harness.scheduler.note_origins(
        &[entry(origin("v1"))],
        OriginSource::OtherGateway,
        harness.now,
    );
    harness.arrive_for_stream(true);
    let behind = harness.arrive(WorkKind::Once, 1);
    assert_eq!(harness.scheduler.waiting_count(), 2);
    harness.complete(at_new[0]);
    harness.expect_send(behind);
}

/// Guards against a time until the retry that is that of a version which cannot continue the stream.
#[test]
fn refused_stream_is_told_when_its_version_has_room() {
    let mut harness = SchedulerHarness::with_versions(1, 1);
    harness.scheduler.note_origins(
        &[entry(origin("v1"))],
        OriginSource::OtherGateway,
        harness.now,
    );
    let mut refused = None;
    for _ in 0..4 {
        let key = harness.arrive_for_stream(true);
        match harness.next() {
            Some(FlowAction::Send(_)) => {
                let announcement = UpstreamAnnouncement {
                    rate_limit: Some(RequestRate::per_second(0.5)),
                    ..UpstreamAnnouncement::default()
                };
                harness.note(key, AttemptEvent::Announced(announcement));
            }
            Some(FlowAction::Refuse(_, refusal)) => refused = Some(refusal),
            other => panic!("{other:?}"),
        }
    }
    let refusal = refused.expect("more than the limit is refused");
    assert_eq!(refusal.cause, RefusalCause::RateLimited);
    assert_eq!(refusal.retry_after, SpanMillis::new(2_000));
}
