//! Simulation of a fleet of gateways that share the rate limits of upstreams.
//!
//! Upstreams name limits with their responses. Gateways exchange digests, of which some are lost. The oracle counts the requests
//! that reach each upstream, of all gateways together.

use fescuetide_base::ClockMillis;
use fescuetide_base::RequestRate;
use fescuetide_base::SpanMillis;
use fescuetide_fleet::WorkKind;
use fescuetide_flow::AttemptEvent;
use fescuetide_flow::FlowAction;
use fescuetide_flow::FlowKey;
use fescuetide_flow::FlowSettings;
use fescuetide_flow::GatewayId;
use fescuetide_flow::LimitDigest;
use fescuetide_flow::PromptPart;
use fescuetide_flow::PromptShape;
use fescuetide_flow::RequestScheduler;
use fescuetide_flow::UpstreamAnnouncement;
use fescuetide_flow::WorkRequest;
use fescuetide_fuzz::SeededRandom;

use crate::harness::route;
use crate::harness::upstream;

/// Simulated time per step.
const STEP: SpanMillis = SpanMillis::new(20);

/// One digest in so many is lost.
const DIGEST_LOSS: u64 = 20;

/// Time from the sending of a request to its response.
const RESPONSE_TIME: SpanMillis = SpanMillis::new(60);

/// Time from the start until upstreams name limits.
const LIMITS_AFTER: SpanMillis = SpanMillis::new(2_000);

/// Time after which limits must be kept.
const SETTLING_TIME: SpanMillis = SpanMillis::new(3_000);

/// Length of a run.
const LENGTH: SpanMillis = SpanMillis::new(24_000);

/// When the traffic of one gateway moves to another one, or a gateway is lost, in runs with such a change.
const CHANGE_AFTER: SpanMillis = SpanMillis::new(12_000);

/// Time for which an upstream that names no limit any more may still be in need, since another cause for one goes on.
const RECOVERY_TIME: SpanMillis = SpanMillis::new(5_000);

/// Length of the windows in which requests are counted.
const WINDOW: SpanMillis = SpanMillis::new(4_000);

/// Slots of an upstream.
const SLOTS: u32 = 128;

/// Number of different prompt prefixes.
const PREFIX_COUNT: u64 = 60;

/// Where the requests arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TrafficSplit {
    /// Evenly at all gateways.
    Even,
    /// Nine in ten at one gateway.
    MostlyOne,
}

/// What happens in the middle of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FleetChange {
    None,
    /// The traffic of the first gateway arrives at the second one from then on.
    TrafficMoves,
    /// The last gateway is gone: it gets no requests and sends no digests.
    GatewayLost,
    /// Upstreams name no limits any more.
    LimitsEnd,
}

/// What a run varies.
#[derive(Clone, Debug)]
struct RateShape {
    gateways: usize,
    /// The limits of the upstreams, 0 for none.
    limits: Vec<f64>,
    /// Requests per second at all gateways together.
    per_second: u64,
    split: TrafficSplit,
    change: FleetChange,
}

/// What a run shows.
#[derive(Clone, Debug, Default)]
struct RateResult {
    /// Requests that reached each upstream, with their times.
    arrivals: Vec<Vec<ClockMillis>>,
    served: u64,
    refused: u64,
}

struct RunningRequest {
    gateway: usize,
    key: FlowKey,
    upstream: usize,
    ends_at: ClockMillis,
}

struct RateFleet {
    shape: RateShape,
    random: SeededRandom,
    started_at: ClockMillis,
    now: ClockMillis,
    gateways: Vec<RequestScheduler>,
    running: Vec<RunningRequest>,
    digests: Vec<(usize, LimitDigest)>,
    result: RateResult,
}

impl RateFleet {
    fn new(seed: u64, shape: RateShape) -> Self {
        let now = ClockMillis::new(1_000_000);
        let names = (0..shape.limits.len()).map(|index| format!("vm-{index}"));
        let entries: Vec<_> = names.map(|name| upstream(&name, SLOTS)).collect();
        let ids: Vec<GatewayId> = (0..shape.gateways)
            .map(|index| GatewayId::of(&format!("gateway-{index}")))
            .collect();
        let mut gateways = Vec::new();
        for (index, id) in ids.iter().enumerate() {
            let mut others = ids.clone();
            others.remove(index);
            let zone = "a".parse().unwrap();
            let scheduler = RequestScheduler::new(FlowSettings::default(), zone);
            let mut scheduler = scheduler.with_seed(index as u64 * 1_000_003);
            scheduler.set_upstreams(&entries, now);
            scheduler.set_gateway_count(shape.gateways);
            scheduler.set_gateways(*id, others);
            gateways.push(scheduler);
        }
        let result = RateResult {
            arrivals: vec![Vec::new(); shape.limits.len()],
            ..RateResult::default()
        };
        Self {
            shape,
            random: SeededRandom::new(seed),
            started_at: now,
            now,
            gateways,
            running: Vec::new(),
            digests: Vec::new(),
            result,
        }
    }

    fn run(mut self) -> RateResult {
        let end = self.started_at + LENGTH;
        while self.now < end {
            self.now = self.now + STEP;
            self.merge_digests();
            self.end_requests();
            self.arrive();
            for gateway in 0..self.gateways.len() {
                self.gateways[gateway].tick(self.now);
                self.execute(gateway);
            }
            self.send_digests();
        }
        self.result
    }

    fn elapsed(&self) -> SpanMillis {
        self.now.since(self.started_at)
    }

    fn is_changed(&self, change: FleetChange) -> bool {
        self.shape.change == change && self.elapsed() >= CHANGE_AFTER
    }

    fn is_lost(&self, gateway: usize) -> bool {
        let last = self.gateways.len() - 1;
        self.is_changed(FleetChange::GatewayLost) && gateway == last
    }

    fn arrive(&mut self) {
        // Draws with a small probability each give counts that vary as arrivals do.
        const DRAWS: u64 = 8;
        let per_step = self.shape.per_second * STEP.as_millis();
        let draws = DRAWS * (per_step / 1_000 + 1);
        for _ in 0..draws {
            if self.random.below(draws * 1_000) >= per_step {
                continue;
            }
            let mut gateway = self.random.below(self.gateways.len() as u64) as usize;
            if self.shape.split == TrafficSplit::MostlyOne && self.random.below(10) < 9 {
                gateway = 0;
            }
            if self.is_changed(FleetChange::TrafficMoves) && gateway == 0 {
                gateway = 1;
            }
            if !self.is_lost(gateway) {
                self.arrive_at(gateway);
            }
        }
    }

    fn arrive_at(&mut self, gateway: usize) {
        let prefix = self.random.below(PREFIX_COUNT);
        let part = |id| PromptPart { id, tokens: 1_000 };
        let request = WorkRequest {
            prompt: PromptShape {
                parts: vec![part(prefix), part(u64::MAX)],
            },
            ..WorkRequest::of_route(&route(WorkKind::Once, 1), self.now, None)
        };
        self.gateways[gateway].arrive(request, self.now);
        self.execute(gateway);
    }

    fn execute(&mut self, gateway: usize) {
        while let Some(action) = self.gateways[gateway].next_action() {
            match action {
                FlowAction::Send(command) => {
                    let name = command.upstream.as_str().trim_start_matches("vm-");
                    let upstream: usize = name.parse().unwrap();
                    self.result.arrivals[upstream].push(self.now);
                    self.running.push(RunningRequest {
                        gateway,
                        key: command.key,
                        upstream,
                        ends_at: self.now + RESPONSE_TIME,
                    });
                    let scheduler = &mut self.gateways[gateway];
                    scheduler.note_attempt(command.key, AttemptEvent::Sent, self.now);
                }
                FlowAction::Refuse(..) => self.result.refused += 1,
                FlowAction::Relay(_) => self.result.served += 1,
                _ => {}
            }
        }
    }

    fn end_requests(&mut self) {
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|request| request.ends_at <= self.now);
        self.running = running;
        for request in ended {
            let limit = self.shape.limits[request.upstream];
            let has_ended = self.is_changed(FleetChange::LimitsEnd);
            let names_limit = limit > 0.0 && self.elapsed() >= LIMITS_AFTER && !has_ended;
            let announcement = UpstreamAnnouncement {
                rate_limit: names_limit.then(|| RequestRate::per_second(limit)),
                ..UpstreamAnnouncement::default()
            };
            let scheduler = &mut self.gateways[request.gateway];
            let announced = AttemptEvent::Announced(announcement);
            scheduler.note_attempt(request.key, announced, self.now);
            let completed = AttemptEvent::Completed {
                status: 200,
                load: None,
            };
            scheduler.note_attempt(request.key, completed, self.now);
            self.execute(request.gateway);
        }
    }

    fn merge_digests(&mut self) {
        for (gateway, digest) in std::mem::take(&mut self.digests) {
            self.gateways[gateway].merge_limit_digest(&digest, self.now);
        }
    }

    fn send_digests(&mut self) {
        let count = self.gateways.len();
        for gateway in 0..count {
            if count == 1 || self.is_lost(gateway) {
                continue;
            }
            let Some(digest) = self.gateways[gateway].take_limit_digest(self.now) else {
                continue;
            };
            let peer = self.random.below(count as u64 - 1) as usize;
            let peer = if peer >= gateway { peer + 1 } else { peer };
            if self.random.below(DIGEST_LOSS) > 0 && !self.is_lost(peer) {
                self.digests.push((peer, digest));
            }
        }
    }
}

/// The largest number of requests in a window, from the settling time on, and until `until` after the start.
fn largest_window(times: &[ClockMillis], until: SpanMillis) -> usize {
    let started_at = ClockMillis::new(1_000_000);
    let from = started_at + LIMITS_AFTER + SETTLING_TIME;
    let is_counted = |at: &ClockMillis| *at >= from && *at < started_at + until;
    let counted: Vec<ClockMillis> = times.iter().copied().filter(is_counted).collect();
    let mut largest = 0;
    for (index, start) in counted.iter().enumerate() {
        let end = counted.partition_point(|at| at.since(*start) < WINDOW);
        largest = largest.max(end - index);
    }
    largest
}

/// Part of its limit that an upstream got from the settling time on.
fn used_part(times: &[ClockMillis], limit: f64) -> f64 {
    let from = ClockMillis::new(1_000_000) + LIMITS_AFTER + SETTLING_TIME;
    let counted = times.iter().filter(|at| **at >= from).count();
    let seconds = LENGTH.as_millis() - LIMITS_AFTER.as_millis() - SETTLING_TIME.as_millis();
    counted as f64 / (limit * seconds as f64 / 1_000.0)
}

/// Checks that each upstream with a limit got at most one and a half times what the limit allows, and 5 requests, in any window.
fn assert_limits_kept(shape: &RateShape, result: &RateResult, seed: u64) {
    let window_s = WINDOW.as_millis() as f64 / 1_000.0;
    let until = match shape.change {
        FleetChange::LimitsEnd => CHANGE_AFTER + RECOVERY_TIME,
        _ => LENGTH,
    };
    for (limit, times) in shape.limits.iter().zip(&result.arrivals) {
        let largest = largest_window(times, until);
        let allowed = 1.5 * limit * window_s + 5.0;
        assert!(
            *limit == 0.0 || largest as f64 <= allowed,
            "seed {seed}, {shape:?}: {largest} requests in 4 s with a limit of {limit}, {allowed} allowed"
        );
    }
}

/// The seeds of a simulation: one, or as many as `FESCUETIDE_RATE_SEEDS` says.
fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("FESCUETIDE_RATE_SEEDS").ok();
    0..count.and_then(|text| text.parse().ok()).unwrap_or(1)
}

const CHANGES: [FleetChange; 4] = [
    FleetChange::None,
    FleetChange::TrafficMoves,
    FleetChange::GatewayLost,
    FleetChange::LimitsEnd,
];

/// Limits of upstreams from one request in two seconds to 40 per second.
const MIXED_LIMITS: [f64; 8] = [0.5, 0.8, 2.5, 4.0, 5.7, 10.0, 40.0, 0.0];

/// Guards against parts of limits that add up to more than the limits, whatever the number of gateways, and wherever requests
/// arrive.
#[test]
fn gateways_together_keep_the_limits_of_upstreams() {
    for seed in seeds() {
        for gateways in [1, 2, 5, 31, 103] {
            for change in CHANGES {
                if gateways == 1 && change != FleetChange::None {
                    continue;
                }
                // Each gateway adds its part of the time that a run takes.
                if gateways == 103
                    && matches!(change, FleetChange::GatewayLost | FleetChange::LimitsEnd)
                {
                    continue;
                }
                for split in [TrafficSplit::Even, TrafficSplit::MostlyOne] {
                    let shape = RateShape {
                        gateways,
                        limits: MIXED_LIMITS.to_vec(),
                        per_second: 150,
                        split,
                        change,
                    };
                    let result = RateFleet::new(seed, shape.clone()).run();
                    assert_limits_kept(&shape, &result, seed);
                    assert_eq!(
                        result.refused, 0,
                        "seed {seed}, {shape:?}: the upstream without a limit has room"
                    );
                }
            }
        }
    }
}

/// Runs four upstreams with limits of 10, with so many requests per second, and calls `check` with what each run shows.
fn run_limited_pools(per_second: u64, check: impl Fn(&RateResult, &str)) {
    for seed in seeds() {
        for gateways in [1, 4, 31] {
            for split in [TrafficSplit::Even, TrafficSplit::MostlyOne] {
                let shape = RateShape {
                    gateways,
                    limits: vec![10.0; 4],
                    per_second,
                    split,
                    change: FleetChange::None,
                };
                let result = RateFleet::new(seed, shape.clone()).run();
                assert_limits_kept(&shape, &result, seed);
                check(&result, &format!("seed {seed}, {shape:?}"));
            }
        }
    }
}

/// Guards against limits that are exceeded, or hardly used, when more is asked than all upstreams together take.
#[test]
fn limits_are_used_up_when_more_is_asked_than_all_upstreams_take() {
    run_limited_pools(100, |result, run| {
        assert!(result.refused > 0, "{run}");
        for times in &result.arrivals {
            let used = used_part(times, 10.0);
            assert!(used >= 0.7, "{run}: {used} of the limit");
        }
    });
}

/// Guards against requests that are refused although the upstreams together take more than is asked.
#[test]
fn requests_below_the_limits_of_all_upstreams_are_served() {
    run_limited_pools(20, |result, run| {
        let refused = result.refused as f64 / (result.refused + result.served) as f64;
        assert!(refused <= 0.05, "{run}: {refused} of the requests refused");
    });
}
