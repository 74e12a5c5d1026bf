//! Counting the crashes of a request: what adds up, and what clears it.

use fescuetide_base::prelude::*;
use fescuetide_flow::AttemptEvent;
use fescuetide_flow::BreakCause;
use fescuetide_flow::FlowAction;
use fescuetide_flow::FlowKey;

use crate::crash_harness::fingerprint;
use crate::harness::SchedulerHarness;

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

/// Guards against refusing a request that completed at another gateway just before several upstreams went down under it.
#[test]
fn gateway_where_a_request_completed_clears_it_at_others() {
    let mut gateways = new_gateways(2);
    let key = gateways[0].arrive_with(b"popular");
    gateways[0].expect_send(key);
    gateways[0].complete(key);
    let gateway = &mut gateways[1];
    let mut attempts = Vec::new();
    for _ in 0..3 {
        let key = gateway.arrive_with(b"popular");
        attempts.push((key, gateway.expect_send(key).upstream));
        gateway.note(key, AttemptEvent::Sent);
    }
    for (key, _) in &attempts {
        gateway.note(*key, AttemptEvent::Broken(BreakCause::Closed));
        assert!(matches!(gateway.next(), Some(FlowAction::Fail(..))));
    }
    for (_, upstream) in &attempts {
        gateway.detect_down(upstream);
    }
    share_evidence(&mut gateways, 1);
    for is_cleared in [false, true] {
        if is_cleared {
            share_evidence(&mut gateways, 0);
        }
        let gateway = &mut gateways[1];
        gateway.now = gateway.now + SpanMillis::new(1_000);
        let key = gateway.arrive_with(b"popular");
        match is_cleared {
            true => drop(gateway.expect_send(key)),
            false => gateway.expect_refused(key),
        }
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
