//! Simulation of several gateways that receive requests which crash every upstream that runs them, beside a harmless
//! request that many callers send. Gateways restart and are cut off from the log, upstreams also go down for other reasons,
//! and evidence is delayed.

mod plan;
mod upstreams;

use std::collections::BTreeMap;

use fescuetide_base::prelude::*;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_fleet::WorkKind;
use fescuetide_flow::AttemptEvent;
use fescuetide_flow::BreakCause;
use fescuetide_flow::FlowAction;
use fescuetide_flow::FlowKey;
use fescuetide_flow::FlowSettings;
use fescuetide_flow::ProbeOutcome;
use fescuetide_flow::PromptPart;
use fescuetide_flow::PromptShape;
use fescuetide_flow::RefusalCause;
use fescuetide_flow::RequestScheduler;
use fescuetide_flow::WorkRequest;
use fescuetide_fuzz::SeededRandom;
use fescuetide_limits::CrashEvidence;
use fescuetide_limits::CrashFingerprint;

pub(crate) use plan::CrashTraffic;
pub(crate) use plan::DownKind;
pub(crate) use plan::FleetPlan;

use crate::harness::route;
use crate::harness::upstream;

/// Simulated time per step.
const STEP: SpanMillis = SpanMillis::new(10);

/// Length of a run.
const LENGTH: SpanMillis = SpanMillis::new(60_000);

/// Time after the third crash from which few sends are allowed, and time for which a gateway must have been undisturbed for
/// its sends to count.
const STABLE_WINDOW: SpanMillis = SpanMillis::new(3_000);

/// Chance in 1,000 that a harmless request arrives at a gateway in a step: 10 a second, a third of the load of the users'
/// gateways.
const HARMLESS_PER_MILLE: u64 = 100;

/// Longest delay of evidence between gateways.
const MAX_REPORT_DELAY_MS: u64 = 800;

/// Time after which a connection to an upstream that does not answer is given up.
const CONNECT_TIMEOUT: SpanMillis = SpanMillis::new(400);

/// Range of the time after which connections to an upstream that went dark break.
const DARK_BREAK_MS: std::ops::Range<u64> = 1_500..3_000;

/// Pause between the times at which the request comes to all gateways at once.
const SERIES_PAUSE: SpanMillis = SpanMillis::new(4_000);

const CRASHING: &[u8] = b"crashing";
const HARMLESS: &[u8] = b"harmless";

/// A request that is running on an upstream.
#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    gateway: usize,
    key: FlowKey,
    ends_at: ClockMillis,
    is_crashing: bool,
}

#[derive(Debug, Default)]
struct SimulatedUpstream {
    running: Vec<RunningRequest>,
    down_until: ClockMillis,
    is_down: bool,
    /// Number of lives before the current one.
    lives: u64,
}

/// Something that a gateway notices later.
#[derive(Clone, Debug)]
enum DelayedEvent {
    Attempt(usize, FlowKey, BreakCause),
    Probe(usize, VmName),
}

/// A gateway and the evidence that is on its way to it.
struct SimulatedGateway {
    scheduler: RequestScheduler,
    inbox: Vec<(ClockMillis, CrashEvidence)>,
    /// What could not be reported yet.
    outbox: Vec<CrashEvidence>,
    cut_until: ClockMillis,
    disturbed_at: ClockMillis,
}

pub(crate) struct CrashFleet {
    plan: FleetPlan,
    random: SeededRandom,
    now: ClockMillis,
    gateways: Vec<SimulatedGateway>,
    upstreams: Vec<SimulatedUpstream>,
    /// All evidence that was reported, as the log keeps it.
    log: Vec<CrashEvidence>,
    delayed: Vec<(ClockMillis, DelayedEvent)>,
    crashing_keys: BTreeMap<(usize, FlowKey), bool>,
    /// Number of requests so far.
    arrivals: u64,
    pub(crate) crashes: u32,
    pub(crate) limit_crash_at: Option<ClockMillis>,
    /// Sends later than [`STABLE_WINDOW`] after the crash from which they are limited.
    pub(crate) late_sends: u32,
    /// Refusals of the crashing request.
    pub(crate) refusals: u32,
    /// Refusals of the harmless request because it were to crash upstreams.
    pub(crate) harmless_refusals: u32,
}

fn new_scheduler(upstreams: &[SimulatedUpstream], now: ClockMillis) -> RequestScheduler {
    let mut scheduler = RequestScheduler::new(FlowSettings::default(), "a".parse().unwrap());
    scheduler.set_upstreams(&entries_of(upstreams), now);
    scheduler
}

/// The upstreams as the log lists them. Those that are down stay listed until they are back with their next life.
fn entries_of(upstreams: &[SimulatedUpstream]) -> Vec<UpstreamEntry> {
    let mut entries = Vec::new();
    for (index, state) in upstreams.iter().enumerate() {
        entries.push(UpstreamEntry {
            incarnation: ProcessIncarnation::new(state.lives + 1),
            ..upstream(&upstream_name(index), 8)
        });
    }
    entries
}

fn upstream_name(index: usize) -> String {
    format!("vm-{index}")
}

fn upstream_index(name: &VmName) -> usize {
    let (_, number) = name.as_str().split_once('-').expect("a number");
    number.parse().expect("a number")
}

impl CrashFleet {
    pub(crate) fn new(plan: FleetPlan) -> Self {
        let now = ClockMillis::new(1_000_000);
        let upstreams: Vec<SimulatedUpstream> = (0..plan.upstreams)
            .map(|_| SimulatedUpstream::default())
            .collect();
        Self {
            plan,
            random: SeededRandom::new(plan.seed),
            now,
            gateways: (0..plan.gateways)
                .map(|_| SimulatedGateway {
                    scheduler: new_scheduler(&upstreams, now),
                    inbox: Vec::new(),
                    outbox: Vec::new(),
                    cut_until: now,
                    disturbed_at: ClockMillis::default(),
                })
                .collect(),
            upstreams,
            log: Vec::new(),
            delayed: Vec::new(),
            crashing_keys: BTreeMap::new(),
            arrivals: 0,
            crashes: 0,
            limit_crash_at: None,
            late_sends: 0,
            refusals: 0,
            harmless_refusals: 0,
        }
    }

    fn chance(&mut self, per_mille: u64) -> bool {
        self.random.below(1_000) < per_mille
    }

    fn pick_gateway(&mut self) -> usize {
        self.random.below(self.gateways.len() as u64) as usize
    }

    pub(crate) fn run(&mut self) {
        let end = self.now + LENGTH;
        let mut next_crashing = self.now + SpanMillis::new(1_000);
        while self.now < end {
            self.now = self.now + STEP;
            if self.now >= next_crashing {
                next_crashing = self.now + self.arrive_crashing();
            }
            for gateway in 0..self.gateways.len() {
                if self.chance(HARMLESS_PER_MILLE) {
                    self.arrive(gateway, false);
                }
            }
            self.start_lives();
            self.disturb();
            self.deliver_delayed();
            self.end_runs();
            for gateway in 0..self.gateways.len() {
                self.gateways[gateway].scheduler.tick(self.now);
                self.act(gateway);
                self.exchange(gateway);
            }
        }
    }

    /// Adds the crashing request. Returns the pause until it comes again.
    fn arrive_crashing(&mut self) -> SpanMillis {
        match self.plan.traffic {
            CrashTraffic::Single => {
                let gateway = self.pick_gateway();
                self.arrive(gateway, true);
                SpanMillis::new(50 + self.random.below(3_000))
            }
            CrashTraffic::Series => {
                for gateway in 0..self.gateways.len() {
                    self.arrive(gateway, true);
                }
                SERIES_PAUSE
            }
            CrashTraffic::Part { .. } => {
                let gateway = self.pick_gateway();
                self.arrive(gateway, true);
                SpanMillis::new(50 + self.random.below(600))
            }
        }
    }

    fn arrive(&mut self, gateway: usize, is_crashing: bool) {
        self.arrivals += 1;
        let content = if is_crashing { CRASHING } else { HARMLESS };
        let number = match self.plan.traffic {
            CrashTraffic::Part { .. } => self.arrivals,
            CrashTraffic::Single | CrashTraffic::Series => 0,
        };
        let parts = self.plan.traffic.parts(is_crashing).iter();
        let prompt = PromptShape {
            parts: parts
                .map(|id| PromptPart {
                    id: *id,
                    tokens: 50,
                })
                .collect(),
        };
        let request = WorkRequest {
            fingerprint: CrashFingerprint::of_parts(&[content, &number.to_le_bytes()]),
            part_fingerprints: prompt.part_fingerprints(),
            prompt,
            ..WorkRequest::of_route(&route(WorkKind::Repeatable, 2), self.now, None)
        };
        let key = self.gateways[gateway].scheduler.arrive(request, self.now);
        self.crashing_keys.insert((gateway, key), is_crashing);
        self.act(gateway);
    }

    /// Restarts a gateway, cuts one off from the log, or takes several upstreams down at once.
    fn disturb(&mut self) {
        if self.chance(2) {
            let gateway = self.pick_gateway();
            self.restart(gateway);
        }
        if self.chance(3) {
            let gateway = self.pick_gateway();
            let length = self.random.below(4_000);
            self.gateways[gateway].cut_until = self.now + SpanMillis::new(length);
        }
        if self.chance(1) {
            for _ in 0..3 {
                let index = self.random.below(self.upstreams.len() as u64) as usize;
                self.take_down(index);
            }
        }
        let is_up = self.upstreams.iter().all(|upstream| !upstream.is_down);
        if self.plan.has_pool_outages && is_up && self.chance(1) {
            for index in 0..self.upstreams.len() {
                self.take_down(index);
            }
        }
    }

    fn restart(&mut self, gateway: usize) {
        let mut scheduler = new_scheduler(&self.upstreams, self.now);
        scheduler.merge_crash_evidence(self.log.iter().copied(), self.now);
        let restarted = &mut self.gateways[gateway];
        restarted.scheduler = scheduler;
        restarted.inbox.clear();
        restarted.outbox.clear();
        restarted.disturbed_at = self.now;
        for upstream in &mut self.upstreams {
            upstream.running.retain(|run| run.gateway != gateway);
        }
        self.crashing_keys.retain(|(owner, _), _| *owner != gateway);
        self.drop_delayed(gateway, None);
    }

    fn note(&mut self, gateway: usize, key: FlowKey, event: AttemptEvent) {
        let scheduler = &mut self.gateways[gateway].scheduler;
        scheduler.note_attempt(key, event, self.now);
        self.act(gateway);
    }

    /// Carries out the actions of a gateway.
    fn act(&mut self, gateway: usize) {
        while let Some(action) = self.gateways[gateway].scheduler.next_action() {
            match action {
                FlowAction::Send(command) => {
                    let index = upstream_index(&command.upstream);
                    self.send(gateway, command.key, index);
                }
                FlowAction::Probe(vm) => {
                    let outcome = match (self.is_down(upstream_index(&vm)), self.plan.down_kind) {
                        (true, DownKind::Dark) => {
                            self.delay(CONNECT_TIMEOUT, DelayedEvent::Probe(gateway, vm));
                            continue;
                        }
                        (true, DownKind::Crashed) => ProbeOutcome::Refused,
                        (false, _) => ProbeOutcome::Connected,
                    };
                    let scheduler = &mut self.gateways[gateway].scheduler;
                    scheduler.note_probe(&vm, outcome, self.now);
                }
                FlowAction::Cancel(key) => {
                    self.drop_delayed(gateway, Some(key));
                    for upstream in &mut self.upstreams {
                        upstream
                            .running
                            .retain(|run| run.gateway != gateway || run.key != key);
                    }
                }
                FlowAction::Refuse(key, refusal) => {
                    let is_crashing = self.crashing_keys.remove(&(gateway, key));
                    if refusal.cause == RefusalCause::CrashesUpstreams {
                        match is_crashing {
                            Some(true) => self.refusals += 1,
                            _ => self.harmless_refusals += 1,
                        }
                    }
                }
                // The simulated requests take up no streams.
                FlowAction::SeekOrigin(_)
                | FlowAction::TellOrigin(..)
                | FlowAction::RecordVersion(_)
                | FlowAction::ForgetVersion(_) => {}
                FlowAction::Relay(key) | FlowAction::Fail(key, _) => {
                    self.crashing_keys.remove(&(gateway, key));
                }
            }
        }
    }

    fn send(&mut self, gateway: usize, key: FlowKey, index: usize) {
        let is_crashing = self.crashing_keys.get(&(gateway, key)) == Some(&true);
        if self.is_down(index) && self.plan.down_kind == DownKind::Dark {
            let event = DelayedEvent::Attempt(gateway, key, BreakCause::NotConnected);
            self.delay(CONNECT_TIMEOUT, event);
            return;
        }
        let is_down = self.is_down(index);
        let scheduler = &mut self.gateways[gateway].scheduler;
        if is_down {
            scheduler.note_attempt(key, AttemptEvent::Broken(BreakCause::Refused), self.now);
            return;
        }
        scheduler.note_attempt(key, AttemptEvent::Sent, self.now);
        if is_crashing {
            self.count_late_send(gateway);
        }
        let length = match is_crashing {
            true => 10 + self.random.below(50),
            false => 50 + self.random.below(200),
        };
        self.upstreams[index].running.push(RunningRequest {
            gateway,
            key,
            ends_at: self.now + SpanMillis::new(length),
            is_crashing,
        });
    }

    fn count_late_send(&mut self, gateway: usize) {
        let sender = &self.gateways[gateway];
        let is_disturbed = self.now.since(sender.disturbed_at) <= STABLE_WINDOW
            || self.now.since(sender.cut_until) <= STABLE_WINDOW;
        let is_late = self
            .limit_crash_at
            .is_some_and(|at| self.now.since(at) > STABLE_WINDOW);
        if is_late && !is_disturbed {
            self.late_sends += 1;
        }
    }

    /// Reports what a gateway has found, and delivers what has arrived. Nothing passes while the gateway is cut off.
    fn exchange(&mut self, gateway: usize) {
        let now = self.now;
        let sender = &mut self.gateways[gateway];
        let found = sender.scheduler.take_crash_evidence(now);
        sender.outbox.extend(found);
        if now < sender.cut_until {
            return;
        }
        let reports = std::mem::take(&mut sender.outbox);
        let (arrived, waiting) = std::mem::take(&mut sender.inbox)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        sender.inbox = waiting;
        let arrived: Vec<(ClockMillis, CrashEvidence)> = arrived;
        let arrived = arrived.into_iter().map(|(_, evidence)| evidence);
        sender.scheduler.merge_crash_evidence(arrived, now);
        self.log.extend(&reports);
        for receiver in 0..self.gateways.len() {
            for report in &reports {
                let delay = SpanMillis::new(self.random.below(MAX_REPORT_DELAY_MS));
                self.gateways[receiver].inbox.push((now + delay, *report));
            }
        }
    }
}
