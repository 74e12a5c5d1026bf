//! Loads that gateways tell each other.

use std::collections::HashSet;

use fescuetide_base::ClockMillis;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_base::UpstreamLife;
use fescuetide_fleet::WorkKind;
use fescuetide_flow::AttemptEvent;
use fescuetide_flow::FlowAction;
use fescuetide_flow::FlowNotice;
use fescuetide_flow::FlowSettings;
use fescuetide_flow::LoadEntry;
use fescuetide_flow::LoadReport;
use fescuetide_flow::RequestScheduler;
use fescuetide_flow::SendCommand;
use fescuetide_flow::WorkRequest;

use crate::harness::SchedulerHarness;
use crate::harness::route;
use crate::harness::upstream;

fn entry(index: usize, load: u32, age_ms: u64) -> LoadEntry {
    let vm = format!("vm-{index}").parse().unwrap();
    LoadEntry {
        key: UpstreamLife::of(&vm, ProcessIncarnation::new(1)),
        load,
        age: SpanMillis::new(age_ms),
    }
}

fn send(harness: &mut SchedulerHarness) -> SendCommand {
    let key = harness.arrive(WorkKind::Repeatable, 1);
    let command = harness.expect_send(key);
    harness.note(key, AttemptEvent::Sent);
    command
}

/// Starts a stream at the only upstream, which reports a load with its head.
fn report(harness: &mut SchedulerHarness, running: u32) {
    let key = harness.arrive(WorkKind::OnceStream, 1);
    harness.expect_send(key);
    let load = LoadReport {
        running,
        waiting: 0,
        slots: 8,
    };
    harness.note(key, AttemptEvent::StreamStarted(Some(load)));
    assert_eq!(harness.next(), Some(FlowAction::Relay(key)));
}

/// Guards against a load of which this gateway's own later requests are no part.
#[test]
fn requests_sent_after_a_report_are_added_to_it() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    send(&mut harness);
    harness.advance(400);
    send(&mut harness);
    harness.advance(100);
    // The report is from before the second request, and includes the first one.
    let applied = harness
        .scheduler
        .merge_load_digest(&[entry(0, 4, 300)], harness.now);
    assert_eq!(applied, 1);
    let command = send(&mut harness);
    assert_eq!(command.load, 5);
    assert_eq!(command.load_age, Some(SpanMillis::new(300)));
}

/// Guards against old reports that replace newer ones, and against reports that go to and fro between gateways for ever.
#[test]
fn report_is_told_a_few_times_and_never_gets_younger() {
    let mut first = SchedulerHarness::with_upstreams(1);
    let mut second = SchedulerHarness::with_upstreams(1);
    report(&mut first, 3);
    let mut digests = 0;
    for _ in 0..40 {
        for (from, to) in [(0, 1), (1, 0)] {
            let (from, to) = match (from, to) {
                (0, _) => (&mut first, &mut second),
                _ => (&mut second, &mut first),
            };
            let digest = from.scheduler.take_load_digest(from.now);
            digests += usize::from(!digest.is_empty());
            to.scheduler.merge_load_digest(&digest, to.now);
        }
        first.advance(20);
        second.advance(20);
    }
    assert!((2..=8).contains(&digests), "{digests} digests");
    assert_eq!(send(&mut second).load, 3);
    let applied = second
        .scheduler
        .merge_load_digest(&[entry(0, 7, 1_200)], second.now);
    assert_eq!(applied, 0);
}

/// Guards against absurd loads, unknown upstreams and earlier incarnations that change what is known.
#[test]
fn nonsense_from_upstreams_and_peers_is_ignored() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    report(&mut harness, 2);
    report(&mut harness, 1_000_000);
    let vm = "vm-0".parse().unwrap();
    let earlier = LoadEntry {
        key: UpstreamLife::of(&vm, ProcessIncarnation::new(7)),
        ..entry(0, 6, 0)
    };
    harness.advance(20);
    let digest = [entry(0, u32::MAX, 0), earlier, entry(5, 1, 0)];
    let applied = harness.scheduler.merge_load_digest(&digest, harness.now);
    assert_eq!(applied, 0);
    let notices = harness.scheduler.take_notices();
    let rejected = |notice: &&FlowNotice| matches!(notice, FlowNotice::LoadRejected { .. });
    assert_eq!(notices.iter().filter(rejected).count(), 2);
    // The two streams; the report of the first one included it.
    assert_eq!(send(&mut harness).load, 3);
}

/// Guards against loads of short requests that other gateways get when they are out of date.
#[test]
fn loads_of_whole_responses_are_not_told() {
    let mut harness = SchedulerHarness::with_upstreams(1);
    let command = send(&mut harness);
    let load = LoadReport {
        running: 4,
        waiting: 0,
        slots: 8,
    };
    let event = AttemptEvent::Completed {
        status: 200,
        load: Some(load),
    };
    harness.note(command.key, event);
    assert!(harness.scheduler.take_load_digest(harness.now).is_empty());
}

/// Guards against a fleet that starts at once and sends all of its first requests to the same upstream.
#[test]
fn first_requests_of_many_gateways_go_to_different_upstreams() {
    const GATEWAYS: u64 = 40;
    const UPSTREAMS: usize = 5;
    let now = ClockMillis::new(1_000_000);
    let entries: Vec<_> = (0..UPSTREAMS)
        .map(|index| upstream(&format!("vm-{index}"), 6))
        .collect();
    let mut chosen = Vec::new();
    for seed in 0..GATEWAYS {
        let zone = "a".parse().unwrap();
        let scheduler = RequestScheduler::new(FlowSettings::default(), zone);
        let mut scheduler = scheduler.with_seed(seed * 1_000);
        scheduler.set_upstreams(&entries, now);
        let route = route(WorkKind::Repeatable, 2);
        scheduler.arrive(WorkRequest::of_route(&route, now, None), now);
        while let Some(action) = scheduler.next_action() {
            if let FlowAction::Send(command) = action {
                chosen.push(command.upstream);
            }
        }
    }
    assert_eq!(chosen.len() as u64, GATEWAYS);
    let different: HashSet<_> = chosen.iter().collect();
    assert_eq!(different.len(), UPSTREAMS);
    for vm in different {
        let count = chosen.iter().filter(|other| *other == vm).count();
        assert!(count < 20, "{count} of {GATEWAYS} at {vm}");
    }
}
