//! The event loop that replays a load pattern in simulated time.

mod callers;
mod engines;
mod incidents;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fescuetide_base::ClockMillis;
use fescuetide_flow::FlowSettings;
use indexmap::IndexMap;

use crate::engine::EngineModel;
use crate::engine::EngineRequest;
use crate::engine::EngineState;
use crate::engine::SubmissionKey;
use crate::pattern::INCIDENT_END_MS;
use crate::pattern::INCIDENT_START_MS;
use crate::pattern::LoadPattern;
use crate::pattern::REQUEST_KINDS;
use crate::random::SeededRng;
use crate::router::EngineResponse;
use crate::router::PlacementPolicy;
use crate::router::RouterCommand;
use crate::router::RouterModel;
use crate::stats::RequestKindStats;
use crate::stats::SimulationStats;

/// The number of workspaces. Workspace `n` (from 0) gets traffic proportional to `1 / (n + 1)`.
pub(super) const WORKSPACE_COUNT: usize = 10;

/// How often the routers process their timers.
const TICK_INTERVAL_US: u64 = 20_000;

/// The number of ticks between two samples of the load skew.
const TICKS_PER_SAMPLE: u64 = 5;

/// The number of tokens in one stream event. The engine model uses the same value.
const TOKENS_PER_EVENT: u32 = 5;

/// The simulated time at the start, in microseconds. It is not 0 because some types of the scheduler use time 0
/// for "never".
const START_US: u64 = 1_000_000_000;

/// Settings of a simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SimulationSettings {
    /// The policy that selects an engine for each request.
    pub policy: PlacementPolicy,
    /// The arrival pattern and incident to replay.
    pub pattern: LoadPattern,
    /// The seed of the random numbers.
    pub seed: u64,
    /// How long requests arrive, in seconds. The simulation goes on until the last of them has timed out.
    pub seconds: u64,
    /// The number of routers.
    pub routers: usize,
    /// The number of engines at the start.
    pub engines: usize,
    /// The factor by which all arrival rates are multiplied.
    pub load_factor: f64,
    /// Settings of the scheduler, used by [`PlacementPolicy::Fescuetide`] only.
    pub scheduler: FlowSettings,
}

impl Default for SimulationSettings {
    fn default() -> Self {
        Self {
            policy: PlacementPolicy::Fescuetide,
            pattern: LoadPattern::Calm,
            seed: 1,
            seconds: 20,
            routers: 4,
            engines: 12,
            load_factor: 1.0,
            scheduler: FlowSettings::default(),
        }
    }
}

/// An event that is scheduled at a simulated time. The payload is the index of a request kind, request, engine or
/// router, or the number of a tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrival(usize),
    Retry(usize),
    EngineStep(usize),
    Tick(u64),
    IncidentStart,
    IncidentEnd,
    EngineExpiry(usize),
    EngineLeave(usize),
    EngineStop(usize),
    RouterRestartStart(usize),
    RouterRestartEnd(usize),
}

/// A request of a caller, including all its submissions to routers.
#[derive(Clone, Debug)]
struct CallerRequest {
    kind: usize,
    workspace: usize,
    prefix_id: u64,
    arrived_us: u64,
    submission_count: u32,
    retries_immediately: bool,
    router: usize,
    submission: SubmissionKey,
    engine: Option<usize>,
    stream_events: u32,
    /// Whether the current attempt has produced a stream event.
    attempt_started: bool,
    first_event_us: Option<u64>,
    last_event_us: u64,
    max_gap_us: u64,
}

struct Simulation {
    settings: SimulationSettings,
    now_us: u64,
    event_queue: BinaryHeap<Reverse<(u64, u64, SimulationEvent)>>,
    scheduled_count: u64,
    random: SeededRng,
    routers: Vec<RouterModel>,
    router_alive: Vec<bool>,
    engines: Vec<EngineModel>,
    /// Engines in the list that the routers receive, by engine index; the value is true if the engine is leaving.
    engine_list: IndexMap<usize, bool>,
    requests: Vec<CallerRequest>,
    submissions: IndexMap<SubmissionKey, usize>,
    last_submission: u64,
    kinds: Vec<RequestKindStats>,
    /// The number of requests of each workspace, and how many of them were served in time.
    workspaces: Vec<(u64, u64)>,
    recomputed_prefix_tokens: u64,
    prefix_copies: u64,
    skew_sum: f64,
    skew_count: u64,
    sends: u64,
    sends_over_cap: u64,
}

/// Runs a simulation to its end and returns its statistics.
pub fn run_simulation(settings: &SimulationSettings) -> SimulationStats {
    let mut simulation = Simulation::new(*settings);
    simulation.run_events();
    simulation.into_stats()
}

impl Simulation {
    fn new(settings: SimulationSettings) -> Self {
        let mut routers = Vec::with_capacity(settings.routers);
        for number in 0..settings.routers {
            routers.push(RouterModel::new(
                settings.policy,
                settings.scheduler,
                number,
            ));
        }
        let mut simulation = Self {
            settings,
            now_us: START_US,
            event_queue: BinaryHeap::new(),
            scheduled_count: 0,
            random: SeededRng::new(settings.seed),
            router_alive: vec![true; settings.routers],
            routers,
            engines: vec![EngineModel::new(); settings.engines],
            engine_list: (0..settings.engines).map(|index| (index, false)).collect(),
            requests: Vec::new(),
            submissions: IndexMap::new(),
            last_submission: 0,
            kinds: REQUEST_KINDS
                .iter()
                .map(|kind| RequestKindStats::new(kind.name))
                .collect(),
            workspaces: vec![(0, 0); WORKSPACE_COUNT],
            recomputed_prefix_tokens: 0,
            prefix_copies: 0,
            skew_sum: 0.0,
            skew_count: 0,
            sends: 0,
            sends_over_cap: 0,
        };
        simulation.publish_engine_list();
        for kind in 0..REQUEST_KINDS.len() {
            simulation.schedule(0, SimulationEvent::Arrival(kind));
        }
        simulation.schedule(TICK_INTERVAL_US, SimulationEvent::Tick(1));
        simulation.schedule(INCIDENT_START_MS * 1_000, SimulationEvent::IncidentStart);
        simulation.schedule(INCIDENT_END_MS * 1_000, SimulationEvent::IncidentEnd);
        simulation
    }

    fn schedule(&mut self, after_us: u64, event: SimulationEvent) {
        self.scheduled_count += 1;
        let at = self.now_us + after_us;
        self.event_queue
            .push(Reverse((at, self.scheduled_count, event)));
    }

    fn now(&self) -> ClockMillis {
        ClockMillis::new(self.now_us / 1_000)
    }

    /// The simulated time since the start, in milliseconds.
    fn elapsed_ms(&self) -> u64 {
        (self.now_us - START_US) / 1_000
    }

    fn run_events(&mut self) {
        // Continue after the last arrival until every request has completed or timed out.
        let max_timeout_ms = REQUEST_KINDS
            .iter()
            .map(|kind| kind.timeout_ms)
            .max()
            .unwrap_or(0);
        let end = START_US + (self.settings.seconds * 1_000 + max_timeout_ms) * 1_000;
        while let Some(Reverse((at, _, event))) = self.event_queue.pop() {
            if at > end {
                break;
            }
            self.now_us = at;
            match event {
                SimulationEvent::Arrival(kind) => self.handle_arrival(kind),
                SimulationEvent::Retry(request) => self.submit_request(request),
                SimulationEvent::EngineStep(engine) => self.step_engine(engine),
                SimulationEvent::Tick(number) => self.tick(number),
                SimulationEvent::IncidentStart => self.start_incident(),
                SimulationEvent::IncidentEnd => self.end_incident(),
                SimulationEvent::EngineExpiry(engine) => {
                    self.engine_list.swap_remove(&engine);
                    self.publish_engine_list();
                }
                SimulationEvent::EngineLeave(engine) => self.replace_engine(engine),
                SimulationEvent::EngineStop(engine) => self.stop_engine(engine),
                SimulationEvent::RouterRestartStart(router) => self.start_router_restart(router),
                SimulationEvent::RouterRestartEnd(router) => self.end_router_restart(router),
            }
            self.process_commands();
        }
    }

    /// Executes the commands of the routers until no router has any left.
    fn process_commands(&mut self) {
        loop {
            let mut is_idle = true;
            for router in 0..self.routers.len() {
                for command in self.routers[router].take_commands() {
                    is_idle = false;
                    if self.router_alive[router] {
                        self.process_command(router, command);
                    }
                }
            }
            if is_idle {
                return;
            }
        }
    }

    fn process_command(&mut self, router: usize, command: RouterCommand) {
        match command {
            RouterCommand::Send {
                submission,
                engine,
                copy_from,
            } => {
                let response = self.send(submission, engine, copy_from);
                if let Some(response) = response {
                    let now = self.now();
                    self.routers[router].handle_response(submission, response, now);
                }
            }
            RouterCommand::Probe(engine) => {
                let is_down = self.engines[engine].state == EngineState::Down;
                let now = self.now();
                self.routers[router].handle_probe(engine, is_down, now);
            }
            RouterCommand::Cancel(submission) => self.cancel(submission),
            RouterCommand::Finish(submission, outcome) => self.finish_request(submission, outcome),
        }
    }

    fn send(
        &mut self,
        submission: SubmissionKey,
        engine: usize,
        copy_from: Option<usize>,
    ) -> Option<EngineResponse> {
        let index = *self.submissions.get(&submission)?;
        if self.engines[engine].state == EngineState::Down {
            return Some(EngineResponse::NotConnected);
        }
        self.count_send(engine);
        let request = &self.requests[index];
        let (prefix_id, kind) = (request.prefix_id, REQUEST_KINDS[request.kind]);
        let remaining_output_tokens = kind
            .output_tokens
            .saturating_sub(request.stream_events * TOKENS_PER_EVENT);
        if !self.engines[engine].has_prefix(prefix_id) {
            let source = copy_from.filter(|source| self.engines[*source].has_prefix(prefix_id));
            if source.is_some() {
                self.prefix_copies += 1;
                self.engines[engine].import_prefix(prefix_id, kind.prefix_tokens);
            } else if self.engines.iter().any(|other| other.has_prefix(prefix_id)) {
                self.recomputed_prefix_tokens += u64::from(kind.prefix_tokens);
            }
        }
        let prefix = (prefix_id, kind.prefix_tokens);
        let engine_request = EngineRequest::new(
            submission,
            prefix,
            kind.unique_tokens,
            remaining_output_tokens.max(1),
        );
        if !self.engines[engine].try_admit(engine_request) {
            return Some(EngineResponse::Full(self.engines[engine].report()));
        }
        self.requests[index].engine = Some(engine);
        self.requests[index].attempt_started = false;
        self.schedule_step(engine);
        None
    }

    fn cancel(&mut self, submission: SubmissionKey) {
        let Some(index) = self.submissions.get(&submission).copied() else {
            return;
        };
        if let Some(engine) = self.requests[index].engine.take() {
            self.engines[engine].cancel(submission);
        }
    }

    fn tick(&mut self, number: u64) {
        let now = self.now();
        for (router, is_alive) in self.routers.iter_mut().zip(&self.router_alive) {
            if *is_alive {
                router.tick(now);
            }
        }
        if number.is_multiple_of(TICKS_PER_SAMPLE) {
            self.sample_skew();
        }
        self.schedule(TICK_INTERVAL_US, SimulationEvent::Tick(number + 1));
    }

    fn sample_skew(&mut self) {
        let (mean, max_load) = self.ready_engine_load();
        if mean >= 1.0 {
            self.skew_sum += f64::from(max_load) / mean;
            self.skew_count += 1;
        }
    }

    fn publish_engine_list(&mut self) {
        let engine_list: Vec<(usize, bool)> = self
            .engine_list
            .iter()
            .map(|(engine, is_leaving)| (*engine, *is_leaving))
            .collect();
        let now = self.now();
        for router in &mut self.routers {
            router.set_engines(&engine_list, now);
        }
    }

    fn into_stats(self) -> SimulationStats {
        let prefill_tokens = self
            .engines
            .iter()
            .map(|engine| engine.prefill_tokens)
            .sum();
        let mut stats = SimulationStats {
            kinds: self.kinds,
            fairness: 1.0,
            prefill_tokens,
            recomputed_prefix_tokens: self.recomputed_prefix_tokens,
            prefix_copies: self.prefix_copies,
            load_skew: self.skew_sum / self.skew_count.max(1) as f64,
            over_cap_share: self.sends_over_cap as f64 / self.sends.max(1) as f64,
        };
        let all = stats.in_time_share();
        for (total, in_time) in self.workspaces {
            let share = in_time as f64 / total.max(1) as f64;
            stats.fairness = stats.fairness.min(share / all.max(1e-9));
        }
        stats
    }
}
