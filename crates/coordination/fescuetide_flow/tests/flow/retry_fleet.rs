//! Simulation of several gateways that share a retry budget, while their upstreams fail for some time, load reports lag and
//! gateways restart.

use std::collections::VecDeque;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_fleet::WorkKind;
use fescuetide_flow::AttemptEvent;
use fescuetide_flow::FlowAction;
use fescuetide_flow::FlowKey;
use fescuetide_flow::FlowSettings;
use fescuetide_flow::LoadReport;
use fescuetide_flow::RequestScheduler;
use fescuetide_flow::WorkRequest;
use fescuetide_fuzz::RetryLimit;
use fescuetide_fuzz::RetryWindow;
use fescuetide_fuzz::SeededRandom;
use fescuetide_limits::BudgetSettings;

use crate::harness::route;
use crate::harness::upstream;

const UPSTREAMS: usize = 12;

/// Simulated time per step.
const STEP: SpanMillis = SpanMillis::new(20);

/// Length of a run.
const LENGTH: SpanMillis = SpanMillis::new(60_000);

/// The limit that operators set.
const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    burst: 54.0,
    window: SpanMillis::new(10_000),
};

/// The part of [`LIMIT`] that gateways may use, as in the settings of the process.
const GIVEN_OUT: f64 = 0.75;

/// Time from the start of a gateway until it knows how many there are.
const DISCOVERY_TIME: SpanMillis = SpanMillis::new(800);

/// How old the loads are that upstreams report.
const REPORT_AGE: SpanMillis = SpanMillis::new(1_000);

/// Range of the time that an upstream takes for a request.
const WORK_MS: std::ops::Range<u64> = 20..600;

/// Seeds of each size of the fleet, unless [`SEEDS_VARIABLE`] is set. If gateways start with a burst, two of them exceed the
/// limit.
const DEFAULT_SEEDS: std::ops::Range<u64> = 110..126;

/// Environment variable with the number of seeds, which start from 0.
const SEEDS_VARIABLE: &str = "FESCUETIDE_RETRY_SEEDS";

/// A gateway process. `starts` distinguishes it from those that ran before.
struct SimulatedGateway {
    scheduler: RequestScheduler,
    starts: u32,
    started_at: ClockMillis,
    knows_fleet: bool,
}

/// An attempt that an upstream is working on.
struct RunningAttempt {
    gateway: usize,
    starts: u32,
    key: FlowKey,
    upstream: usize,
    ends_at: ClockMillis,
}

/// Load of all upstreams at some time.
type LoadSample = (ClockMillis, [u32; UPSTREAMS]);

struct RetryFleet {
    random: SeededRandom,
    now: ClockMillis,
    gateways: Vec<SimulatedGateway>,
    running: Vec<RunningAttempt>,
    loads: VecDeque<LoadSample>,
    requests: Vec<ClockMillis>,
    repeats: Vec<ClockMillis>,
    is_failing: bool,
}

fn start_gateway(starts: u32, now: ClockMillis) -> SimulatedGateway {
    let settings = FlowSettings {
        retries: BudgetSettings {
            ratio: LIMIT.ratio * GIVEN_OUT,
            burst: LIMIT.burst * GIVEN_OUT,
        },
        ..FlowSettings::default()
    };
    let mut scheduler = RequestScheduler::new(settings, "a".parse().unwrap());
    let mut entries = Vec::new();
    for index in 0..UPSTREAMS {
        entries.push(upstream(&format!("vm-{index}"), 128));
    }
    scheduler.set_upstreams(&entries, now);
    SimulatedGateway {
        scheduler,
        starts,
        started_at: now,
        knows_fleet: false,
    }
}

impl RetryFleet {
    fn new(seed: u64, size: usize) -> Self {
        let now = ClockMillis::new(1_000_000);
        Self {
            random: SeededRandom::new(seed),
            now,
            gateways: (0..size).map(|_| start_gateway(0, now)).collect(),
            running: Vec::new(),
            loads: VecDeque::new(),
            requests: Vec::new(),
            repeats: Vec::new(),
            is_failing: false,
        }
    }

    /// Runs one scenario: at some time all upstreams start to fail, and in the same seconds some gateways restart.
    fn run(&mut self) {
        let end = self.now + LENGTH;
        let failing_from = self.now + SpanMillis::new(10_000 + self.random.below(30_000));
        let requests_per_second = 5 + self.random.below(120);
        let favoured = self.random.below(self.gateways.len() as u64) as usize;
        let restarts = self.random.below(3 * self.gateways.len() as u64);
        while self.now < end {
            self.now = self.now + STEP;
            self.is_failing = self.now >= failing_from;
            let is_due = self.random.below(1_000) < requests_per_second * STEP.as_millis();
            for _ in 0..1 + requests_per_second / 50 {
                if is_due {
                    self.arrive(favoured);
                }
            }
            let is_restart = self.random.below(10_000 / STEP.as_millis()) < restarts;
            if self.now.since(failing_from) < LIMIT.window && is_restart && self.is_failing {
                let index = self.random.below(self.gateways.len() as u64) as usize;
                let starts = self.gateways[index].starts + 1;
                self.gateways[index] = start_gateway(starts, self.now);
            }
            self.sample_loads();
            self.end_attempts();
            self.tick();
        }
    }

    /// Sends a request through a gateway; half of them come to the same one.
    fn arrive(&mut self, favoured: usize) {
        let index = match self.random.below(2) {
            0 => favoured,
            _ => self.random.below(self.gateways.len() as u64) as usize,
        };
        let request = WorkRequest::of_route(&route(WorkKind::Repeatable, 3), self.now, None);
        self.requests.push(self.now);
        self.gateways[index].scheduler.arrive(request, self.now);
        self.run_actions(index);
    }

    fn run_actions(&mut self, index: usize) {
        while let Some(action) = self.gateways[index].scheduler.next_action() {
            let FlowAction::Send(command) = action else {
                continue;
            };
            if command.attempt > 1 {
                self.repeats.push(self.now);
            }
            let name = command.upstream.as_str().trim_start_matches("vm-");
            let work = WORK_MS.start + self.random.below(WORK_MS.end - WORK_MS.start);
            self.running.push(RunningAttempt {
                gateway: index,
                starts: self.gateways[index].starts,
                key: command.key,
                upstream: name.parse().unwrap(),
                ends_at: self.now + SpanMillis::new(work),
            });
            let gateway = &mut self.gateways[index];
            gateway
                .scheduler
                .note_attempt(command.key, AttemptEvent::Sent, self.now);
        }
    }

    fn sample_loads(&mut self) {
        let mut loads = [0; UPSTREAMS];
        for attempt in &self.running {
            loads[attempt.upstream] += 1;
        }
        self.loads.push_back((self.now, loads));
        while self
            .loads
            .front()
            .is_some_and(|(at, _)| self.now.since(*at) > REPORT_AGE)
        {
            self.loads.pop_front();
        }
    }

    fn end_attempts(&mut self) {
        let reported = self
            .loads
            .front()
            .map_or([0; UPSTREAMS], |(_, loads)| *loads);
        let now = self.now;
        let ended: Vec<_> = self
            .running
            .extract_if(.., |attempt| attempt.ends_at <= now)
            .collect();
        for attempt in ended {
            let gateway = &mut self.gateways[attempt.gateway];
            if gateway.starts != attempt.starts {
                continue;
            }
            let load = LoadReport {
                running: reported[attempt.upstream],
                waiting: 0,
                slots: 128,
            };
            let event = AttemptEvent::Completed {
                status: if self.is_failing { 500 } else { 200 },
                load: Some(load),
            };
            gateway.scheduler.note_attempt(attempt.key, event, now);
            self.run_actions(attempt.gateway);
        }
    }

    fn tick(&mut self) {
        let size = self.gateways.len();
        for index in 0..size {
            let gateway = &mut self.gateways[index];
            if !gateway.knows_fleet && self.now.since(gateway.started_at) >= DISCOVERY_TIME {
                gateway.knows_fleet = true;
                gateway.scheduler.set_gateway_count(size);
            }
            gateway.scheduler.tick(self.now);
            self.run_actions(index);
        }
    }

    fn worst_window(&self) -> Option<RetryWindow> {
        LIMIT.worst_window(&self.requests, &self.repeats)
    }
}

/// Guards against repeats of all gateways together that exceed the shared budget: because a gateway that starts has a burst
/// of its own, or because the gateways' shares of the burst add up to more than one.
#[test]
fn repeats_of_all_gateways_stay_within_the_shared_budget() {
    let seeds = std::env::var(SEEDS_VARIABLE);
    let seeds = seeds.map_or(DEFAULT_SEEDS, |text| 0..text.parse().unwrap());
    let mut failures = Vec::new();
    for size in [2, 4, 5, 22] {
        for seed in seeds.clone() {
            let mut fleet = RetryFleet::new(seed, size);
            fleet.run();
            let worst = fleet.worst_window().expect("requests are repeated");
            if worst.is_exceeded() {
                failures.push(format!("seed {seed}, {size} gateways: {worst}"));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
