//! Placement under different load patterns.

use std::collections::HashMap;

use crate::harness::SchedulerHarness;
use crate::harness::route;
use crate::harness::upstream;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_fleet::UpstreamState;
use fescuetide_fleet::WorkKind;
use fescuetide_flow::AttemptEvent;
use fescuetide_flow::BreakCause;
use fescuetide_flow::FlowAction;
use fescuetide_flow::FlowKey;
use fescuetide_flow::FlowSettings;
use fescuetide_flow::LoadReport;
use fescuetide_flow::PromptPart;
use fescuetide_flow::PromptShape;
use fescuetide_flow::SendCommand;
use fescuetide_flow::WorkRequest;

/// Number of shared prefixes. Each consists of one prompt part.
const PREFIXES: u64 = 40;

/// Cap on an upstream's load in this test: this multiple of the mean load plus this number of requests. Above the
/// defaults of [`FlowSettings`], because gateways only learn of each other's requests with a delay.
const CAP_MULTIPLE: f64 = 2.0;
const CAP_ALLOWANCE: f64 = 3.0;

fn entries(count: usize) -> Vec<UpstreamEntry> {
    (0..count)
        .map(|index| upstream(&format!("vm-{index}"), 128))
        .collect()
}

/// Sends a request whose prompt starts with a shared part.
fn send(harness: &mut SchedulerHarness, part: u64) -> SendCommand {
    let route = route(WorkKind::ResumableStream, 2);
    let mut request = WorkRequest::of_route(&route, harness.now, None);
    let own = 1_000_000 + part;
    request.prompt = PromptShape {
        parts: [(part, 10_000), (own, 500)]
            .map(|(id, tokens)| PromptPart { id, tokens })
            .to_vec(),
    };
    let key = harness.scheduler.arrive(request, harness.now);
    let command = harness.expect_send(key);
    harness.note(key, AttemptEvent::Sent);
    command
}

fn complete(harness: &mut SchedulerHarness, key: FlowKey) {
    harness.note(key, AttemptEvent::StreamStarted(None));
    harness.note(
        key,
        AttemptEvent::Completed {
            status: 200,
            load: None,
        },
    );
    while harness.next().is_some() {}
}

/// Sends and completes one request for each shared prefix, and returns the send commands by prefix.
fn send_round(harness: &mut SchedulerHarness) -> HashMap<u64, SendCommand> {
    let mut commands = HashMap::new();
    for part in 0..PREFIXES {
        let command = send(harness, part);
        complete(harness, command.key);
        commands.insert(part, command);
    }
    commands
}

/// Guards against recomputing prefixes because an upstream was added.
#[test]
fn prefixes_stay_at_their_upstream_when_another_joins() {
    let mut harness = SchedulerHarness::with_upstreams(0);
    harness.scheduler.set_upstreams(&entries(4), harness.now);
    let before = send_round(&mut harness);
    harness.advance(1_000);
    harness.scheduler.set_upstreams(&entries(5), harness.now);
    for (part, command) in send_round(&mut harness) {
        assert_eq!(command.upstream, before[&part].upstream, "part {part}");
        assert_eq!(command.copy_from, None);
    }
}

/// Guards against recomputing prefixes that a leaving upstream still has cached.
#[test]
fn prefixes_of_a_leaving_upstream_are_copied_from_it() {
    let mut harness = SchedulerHarness::with_upstreams(0);
    let mut entries = entries(4);
    harness.scheduler.set_upstreams(&entries, harness.now);
    let before = send_round(&mut harness);
    entries[1].state = UpstreamState::Leaving;
    harness.scheduler.set_upstreams(&entries, harness.now);
    let mut moved = 0;
    for (part, command) in send_round(&mut harness) {
        let old = &before[&part].upstream;
        if *old == entries[1].name {
            assert_eq!(command.copy_from.as_ref(), Some(old), "part {part}");
            moved += 1;
        } else {
            assert_eq!(command.upstream, *old, "part {part}");
        }
    }
    assert!(moved > 0);
}

/// Guards against recomputing prefixes at a gateway that had not seen them before an upstream was added.
#[test]
fn gateway_that_has_not_seen_a_prefix_copies_it_from_its_expected_holder() {
    let mut warm = SchedulerHarness::with_upstreams(0);
    warm.scheduler.set_upstreams(&entries(4), warm.now);
    let warm_commands = send_round(&mut warm);
    let mut cold = SchedulerHarness::with_upstreams(0);
    cold.scheduler.set_upstreams(&entries(4), cold.now);
    cold.advance(5_000);
    cold.scheduler.set_upstreams(&entries(5), cold.now);
    let joined: VmName = "vm-4".parse().unwrap();
    let mut sent_to_joined = 0;
    for (part, command) in send_round(&mut cold) {
        if command.upstream == joined {
            let warm_upstream = &warm_commands[&part].upstream;
            assert_eq!(
                command.copy_from.as_ref(),
                Some(warm_upstream),
                "part {part}"
            );
            sent_to_joined += 1;
        }
    }
    assert!(sent_to_joined > 0);
}

/// Guards against a single upstream that absorbs a surge for one shared prefix. Four gateways learn of each other's
/// requests only through the loads that upstreams report.
#[test]
fn surge_for_one_prefix_stays_below_the_cap() {
    const GATEWAYS: usize = 4;
    const REQUESTS: u32 = 400;
    let entries = entries(12);
    let mut gateways = Vec::new();
    for _ in 0..GATEWAYS {
        let mut harness = SchedulerHarness::with_upstreams(0);
        harness.scheduler.set_upstreams(&entries, harness.now);
        gateways.push(harness);
    }
    let mut loads: HashMap<VmName, u32> = HashMap::new();
    let mut over = 0;
    for index in 0..REQUESTS {
        let harness = &mut gateways[index as usize % GATEWAYS];
        harness.now = harness.now + SpanMillis::new(10);
        // Two thirds of the requests have the same shared prefix.
        let part = if index % 3 == 0 { u64::from(index) } else { 7 };
        let command = send(harness, part);
        let load = loads.entry(command.upstream).or_default();
        *load += 1;
        let report = LoadReport {
            running: *load,
            waiting: 0,
            slots: 128,
        };
        let load = f64::from(*load);
        harness.note(command.key, AttemptEvent::StreamStarted(Some(report)));
        while harness.next().is_some() {}
        let mean = f64::from(loads.values().sum::<u32>()) / entries.len() as f64;
        if load > CAP_MULTIPLE * mean + CAP_ALLOWANCE {
            over += 1;
        }
    }
    // A few requests may exceed the cap, since each gateway learns of the load late. At most 3 % is allowed.
    assert!(
        over * 100 <= REQUESTS * 3,
        "{over} of {REQUESTS} over the cap"
    );
}

/// Guards against gateways that each use the entire shared retry budget, and against a budget that is left unused.
#[test]
fn gateways_share_the_retry_budget() {
    const GATEWAYS: usize = 20;
    let entries = entries(12);
    let mut gateways = Vec::new();
    for _ in 0..GATEWAYS {
        let mut harness = SchedulerHarness::with_upstreams(0);
        harness.scheduler.set_upstreams(&entries, harness.now);
        gateways.push(harness);
    }
    let mut loads: HashMap<VmName, u32> = HashMap::new();
    // Each gateway has 6 requests in progress. Every step completes its oldest one and sends another.
    let mut in_progress: Vec<Vec<SendCommand>> = vec![Vec::new(); GATEWAYS];
    for step in 0..4_000_usize {
        let gateway = step % GATEWAYS;
        let harness = &mut gateways[gateway];
        if in_progress[gateway].len() == 6 {
            let oldest = in_progress[gateway].remove(0);
            *loads.entry(oldest.upstream).or_default() -= 1;
            complete(harness, oldest.key);
        }
        let command = send(harness, step as u64 % 97);
        let load = loads.entry(command.upstream.clone()).or_default();
        *load += 1;
        let report = LoadReport {
            running: *load,
            waiting: 0,
            slots: 128,
        };
        harness.note(command.key, AttemptEvent::StreamStarted(Some(report)));
        while harness.next().is_some() {}
        in_progress[gateway].push(command);
        for harness in &mut gateways {
            harness.now = harness.now + SpanMillis::new(5);
            harness.scheduler.tick(harness.now);
            while harness.next().is_some() {}
        }
    }
    let burst = FlowSettings::default().retries.burst;
    let sum: f64 = gateways
        .iter()
        .map(|gateway| gateway.scheduler.own_budget().burst)
        .sum();
    assert!(sum <= burst * 1.25, "{sum} of {burst}");
    assert!(sum >= burst * 0.5, "{sum} of {burst}");
}

/// Guards against many newly started gateways that together exceed the shared retry burst, because none of them has
/// load reports about the others yet.
#[test]
fn gateways_that_have_just_started_share_the_burst() {
    const GATEWAYS: usize = 60;
    let burst = FlowSettings::default().retries.burst;
    let mut retries = 0;
    for _ in 0..GATEWAYS {
        let mut harness = SchedulerHarness::with_upstreams(3);
        harness.scheduler.set_gateway_count(GATEWAYS);
        for _ in 0..10 {
            let key = harness.arrive(WorkKind::Repeatable, 2);
            harness.expect_send(key);
            harness.note(key, AttemptEvent::Sent);
            harness.note(key, AttemptEvent::Broken(BreakCause::Closed));
            match harness.next() {
                Some(FlowAction::Send(_)) => retries += 1,
                Some(FlowAction::Fail(..)) => {}
                other => panic!("unexpected {other:?}"),
            }
        }
    }
    let ratio = FlowSettings::default().retries.ratio;
    let allowed = burst + ratio * f64::from(GATEWAYS as u32 * 10);
    assert!(
        f64::from(retries) <= allowed,
        "{retries} retries, {allowed} allowed"
    );
}
