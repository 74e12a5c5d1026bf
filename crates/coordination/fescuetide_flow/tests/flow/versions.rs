//! Versions of upstreams: which are recorded in the log, and what follows from the records for streams that callers take up.

use fescuetide_base::ClockMillis;
use fescuetide_flow::FailedSearch;
use fescuetide_flow::FlowAction;
use fescuetide_flow::FlowSettings;
use fescuetide_flow::RefusalCause;
use fescuetide_flow::RequestScheduler;
use fescuetide_flow::VersionReading;

use crate::harness::SchedulerHarness;
use crate::origins::HISTORY;
use crate::origins::LISTING_LIMIT;
use crate::origins::STREAM;
use crate::origins::failed_search;
use crate::origins::origin;
use crate::origins::versioned;

/// Guards against a version that is recorded before all gateways can have listed it, and against one that is recorded again and
/// again.
#[test]
fn new_version_is_recorded_once_all_gateways_can_have_listed_it() {
    let mut harness = SchedulerHarness::with_versions(2, 0);
    harness.advance(20);
    assert_eq!(harness.next(), None);
    // Without any record, streams begin at once.
    assert_eq!(harness.recorded_versions, [origin("v1")]);
    harness.scheduler.note_recorded(origin("v1"), harness.now);
    harness.set_versions(2, 1);
    harness.advance(LISTING_LIMIT.as_millis());
    harness.next();
    assert_eq!(harness.recorded_versions, [origin("v1")]);
    harness.advance(500);
    harness.next();
    assert_eq!(harness.recorded_versions, [origin("v1"), origin("v2")]);
    harness.scheduler.note_recorded(origin("v2"), harness.now);
    harness.advance(5_000);
    harness.next();
    assert_eq!(harness.recorded_versions.len(), 2);
}

/// Guards against streams that begin at a version of which a gateway that starts after the loss of all would not know.
#[test]
fn streams_begin_only_at_recorded_versions() {
    let mut harness = SchedulerHarness::with_versions(2, 0);
    harness.scheduler.note_recorded(origin("v1"), harness.now);
    harness.set_versions(2, 6);
    for _ in 0..12 {
        let key = harness.arrive_for_stream(false);
        let command = harness.expect_send(key);
        assert!(command.upstream.as_str().starts_with("v1"));
    }
    harness.scheduler.note_recorded(origin("v2"), harness.now);
    let mut at_new = 0;
    for _ in 0..12 {
        let key = harness.arrive_for_stream(false);
        let command = harness.expect_send(key);
        at_new += u32::from(command.upstream.as_str().starts_with("v2"));
    }
    assert!(at_new > 6, "{at_new} of 12");
}

/// Guards against streams that begin nowhere, since the recorded version has left and the log is away.
#[test]
fn streams_begin_at_an_unrecorded_version_if_no_other_serves() {
    let mut harness = SchedulerHarness::with_versions(2, 0);
    harness.scheduler.note_recorded(origin("v1"), harness.now);
    harness.set_versions(0, 2);
    let key = harness.arrive_for_stream(false);
    harness.expect_send(key);
}

/// Guards against a gateway that starts and takes what it lists for all that there was.
#[test]
fn version_that_only_the_log_knows_counts() {
    let mut harness = SchedulerHarness::with_versions(2, 0);
    let reading = VersionReading {
        versions: vec![origin("v1"), origin("v2")],
        stale: vec![],
        ..VersionReading::default()
    };
    harness
        .scheduler
        .note_version_reading(&reading, harness.now);
    harness.arrive_for_stream(true);
    assert_eq!(harness.next(), Some(FlowAction::SeekOrigin(STREAM)));
    assert!(!harness.scheduler.settle_origin(STREAM, harness.now));
    // Once its streams cannot be taken up any more, the record is removed.
    harness.advance(HISTORY.as_millis());
    while harness.next().is_some() {}
    assert_eq!(harness.forgotten_versions, [origin("v2")]);
}

/// A gateway that lists v1 only, and has read records of v1 and of v2.
fn harness_with_old_record() -> SchedulerHarness {
    let mut harness = SchedulerHarness::with_versions(2, 0);
    let reading = VersionReading {
        versions: vec![origin("v1"), origin("v2")],
        ..VersionReading::default()
    };
    harness
        .scheduler
        .note_version_reading(&reading, harness.now);
    harness
}

/// Guards against a record that stays since a call failed, against streams that are refused until it is gone, and against calls after
/// that.
#[test]
fn removal_is_requested_until_the_record_is_gone() {
    let mut harness = harness_with_old_record();
    harness.advance(HISTORY.as_millis() + 3_000);
    harness.scheduler.note_listing_time(harness.now);
    let key = harness.arrive_for_stream(true);
    harness.expect_send(key);
    let requests = harness.forgotten_versions.len();
    assert!(requests >= 3, "{requests} requests in 3 s");
    harness
        .scheduler
        .note_record_removed(origin("v2"), harness.now);
    harness.advance(3_000);
    harness.next();
    assert_eq!(harness.forgotten_versions.len(), requests);
}

/// Guards against the removal of a record whose version serves again.
#[test]
fn removal_is_not_requested_once_the_version_serves_again() {
    let mut harness = harness_with_old_record();
    harness.advance(HISTORY.as_millis());
    harness.next();
    assert_eq!(harness.forgotten_versions, [origin("v2")]);
    harness.set_versions(2, 1);
    harness.advance(3_000);
    harness.next();
    assert_eq!(harness.forgotten_versions, [origin("v2")]);
}

/// Guards against a version that serves without a record, since the removal of the old one was executed late.
#[test]
fn version_that_serves_is_recorded_again_after_its_record_was_removed() {
    let mut harness = harness_with_old_record();
    harness.set_versions(2, 2);
    harness.advance(3_000);
    harness.next();
    assert_eq!(harness.recorded_versions, []);
    harness
        .scheduler
        .note_record_removed(origin("v2"), harness.now);
    harness.advance(20);
    harness.next();
    assert_eq!(harness.recorded_versions, [origin("v2")]);
}

/// Guards against refusals by a gateway that started before another one removed the record of an old version; and against guesses if
/// the log may have lost that record.
#[test]
fn version_counts_no_more_once_its_record_was_removed() {
    for is_restored in [false, true] {
        let mut harness = harness_with_old_record();
        let key = harness.arrive_for_stream(true);
        assert_eq!(harness.next(), Some(FlowAction::SeekOrigin(STREAM)));
        let reading = VersionReading {
            versions: vec![origin("v1")],
            is_restored,
            ..VersionReading::default()
        };
        harness
            .scheduler
            .note_version_reading(&reading, harness.now);
        let goes_on = harness.scheduler.settle_origin(STREAM, harness.now);
        assert_eq!(goes_on, !is_restored);
        if goes_on {
            let command = harness.expect_send(key);
            assert!(command.upstream.as_str().starts_with("v1"));
        }
    }
}

/// Guards against records of versions that are lost since the log was read before the list of upstreams.
#[test]
fn version_that_was_read_before_the_list_of_upstreams_counts() {
    let settings = FlowSettings::default();
    let mut scheduler = RequestScheduler::new(settings, "a".parse().unwrap());
    let now = ClockMillis::new(1_000_000);
    let reading = VersionReading {
        versions: vec![origin("v1")],
        stale: vec![],
        ..VersionReading::default()
    };
    scheduler.note_version_reading(&reading, now);
    scheduler.set_upstreams(&[versioned("v2", 0)], now);
    assert!(scheduler.is_recorded(origin("v1")));
    assert!(!scheduler.has_one_version(now));
}

/// Guards against refusals of streams from before a version that came while all gateways were down.
#[test]
fn stream_that_the_log_lacks_goes_on_at_the_only_recorded_version() {
    let mut harness = SchedulerHarness::with_versions(2, 2);
    harness.scheduler.note_recorded(origin("v1"), harness.now);
    let key = harness.arrive_for_stream(true);
    assert_eq!(harness.next(), Some(FlowAction::SeekOrigin(STREAM)));
    assert!(harness.scheduler.settle_origin(STREAM, harness.now));
    let command = harness.expect_send(key);
    assert!(command.upstream.as_str().starts_with("v1"));
}

/// Guards against guesses after the log has come back from an older copy, which may lack versions.
#[test]
fn stream_is_refused_if_the_log_may_have_lost_versions() {
    let mut harness = SchedulerHarness::unread();
    harness.set_versions(2, 0);
    let reading = VersionReading {
        versions: vec![],
        stale: vec![origin("v1")],
        ..VersionReading::default()
    };
    harness
        .scheduler
        .note_version_reading(&reading, harness.now);
    let key = harness.arrive_for_stream(true);
    assert_eq!(harness.next(), Some(FlowAction::SeekOrigin(STREAM)));
    assert!(!harness.scheduler.settle_origin(STREAM, harness.now));
    harness
        .scheduler
        .give_up_origin(&failed_search(0, 3), harness.now);
    assert_eq!(
        harness.expect_refusal(key).cause,
        RefusalCause::UnknownStream
    );
}

/// Guards against refusals of streams from before the loss of all gateways, when there was one version, since another one has been
/// recorded since; and against such a guess for long, or by a gateway that started when there were two.
#[test]
fn stream_from_before_the_start_goes_on_at_the_version_of_then() {
    let search = FailedSearch {
        is_log_read: true,
        ..failed_search(0, 3)
    };
    for (first, wait_s, goes_on) in [
        (vec![origin("v1")], 5, true),
        (vec![origin("v1")], 25, false),
        (vec![origin("v1"), origin("v2")], 5, false),
    ] {
        let mut harness = SchedulerHarness::unread();
        harness.set_versions(2, 2);
        let reading = VersionReading {
            versions: first,
            stale: vec![],
            ..VersionReading::default()
        };
        harness
            .scheduler
            .note_version_reading(&reading, harness.now);
        harness.scheduler.note_recorded(origin("v2"), harness.now);
        harness.advance(wait_s * 1_000);
        let key = harness.arrive_for_stream(true);
        assert_eq!(harness.next(), Some(FlowAction::SeekOrigin(STREAM)));
        assert!(!harness.scheduler.settle_origin(STREAM, harness.now));
        harness.scheduler.give_up_origin(&search, harness.now);
        match harness.next() {
            Some(FlowAction::Send(command)) => {
                assert!(goes_on && command.key == key);
                assert!(command.upstream.as_str().starts_with("v1"));
            }
            Some(FlowAction::Refuse(..)) => assert!(!goes_on),
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against doubts at each start for good, since records from before a restore stay in the log.
#[test]
fn records_from_before_a_restore_are_replaced() {
    let mut harness = SchedulerHarness::unread();
    harness.set_versions(2, 0);
    let reading = VersionReading {
        versions: vec![],
        stale: vec![origin("v1"), origin("v2")],
        ..VersionReading::default()
    };
    harness
        .scheduler
        .note_version_reading(&reading, harness.now);
    harness.advance(HISTORY.as_millis() - 100);
    harness.next();
    assert_eq!(harness.recorded_versions, []);
    harness.advance(100);
    harness.next();
    assert_eq!(harness.recorded_versions, [origin("v1")]);
    assert_eq!(harness.forgotten_versions, [origin("v2")]);
}

/// Guards against refusals with one version while the log is away, and against guesses if another gateway knows more.
#[test]
fn stream_goes_on_without_the_log_if_all_gateways_know_one_version() {
    for (for_one, against, goes_on) in [(2, 0, true), (2, 1, false), (0, 0, false)] {
        let mut harness = SchedulerHarness::with_versions(2, 0);
        harness.advance(LISTING_LIMIT.as_millis() + 100);
        let key = harness.arrive_for_stream(true);
        assert_eq!(harness.next(), Some(FlowAction::SeekOrigin(STREAM)));
        let search = failed_search(for_one, against);
        harness.scheduler.give_up_origin(&search, harness.now);
        match harness.next() {
            Some(FlowAction::Send(command)) => assert!(goes_on && command.key == key),
            Some(FlowAction::Refuse(..)) => assert!(!goes_on),
            other => panic!("{other:?}"),
        }
    }
}
