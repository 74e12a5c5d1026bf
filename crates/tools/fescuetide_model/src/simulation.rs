//! The run of a pattern over simulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::StableHash;
use fescuetide_flow::FlowSettings;
use indexmap::IndexMap;

use crate::engine::EngineModel;
use crate::engine::EngineRun;
use crate::engine::EngineState;
use crate::engine::RunKey;
use crate::engine::StepNews;
use crate::figures::KindFigures;
use crate::figures::ModelFigures;
use crate::pattern::EVENT_END_MS;
use crate::pattern::EVENT_START_MS;
use crate::pattern::KINDS;
use crate::pattern::LoadPattern;
use crate::random::ModelRandom;
use crate::router::PlacePolicy;
use crate::router::RouterModel;
use crate::router::RouterOrder;
use crate::router::RouterRequest;
use crate::router::RunEnd;
use crate::router::SendNews;

/// Workspaces. The first ones are larger.
const WORKSPACES: usize = 10;

/// Shared parts of each workspace and kind.
const PARTS: usize = 3;

/// How often routers look at what is due.
const TICK_US: u64 = 20_000;

/// Ticks between two samples of the load.
const SAMPLE_TICKS: u64 = 5;

/// How long the entry of an engine that went down stays: three heartbeats.
const LAPSE_US: u64 = 3_600_000;

/// How long an engine that leaves goes on.
const LEAVE_US: u64 = 3_000_000;

/// The pause between two engines that leave.
const LEAVE_GAP_US: u64 = 1_500_000;

/// The pause between two routers that start anew, and how long each is away.
const RESTART_GAP_US: u64 = 1_500_000;
const RESTART_US: u64 = 500_000;

/// Times that a caller tries again.
const RETRY_LIMIT: u32 = 1;

/// Further times that an impatient caller tries again, at once.
const ABUSE_LIMIT: u32 = 3;

/// Events of one stream token by token are counted in these.
const EVENT_TOKENS: u32 = 5;

/// Time on links, and before an engine begins with a prompt, as the users' bench shows it on calm days.
const OVERHEAD_US: u64 = 27_000;

/// An engine should hold no more than this multiple of the mean load, and this many requests.
const CAP_FACTOR: f64 = 2.0;
const CAP_ALLOWANCE: f64 = 3.0;

/// When simulated time begins, in microseconds. Zero would count as never in some tables.
const START_US: u64 = 1_000_000_000;

/// Settings of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelSettings {
    /// How engines are chosen.
    pub policy: PlacePolicy,
    /// What happens.
    pub pattern: LoadPattern,
    /// The seed of the arrivals.
    pub seed: u64,
    /// How long requests arrive.
    pub seconds: u64,
    /// Routers.
    pub routers: usize,
    /// Engines at the start.
    pub engines: usize,
    /// Multiple of the usual rates.
    pub load: f64,
    /// Settings of the product's decisions.
    pub flow: FlowSettings,
}

impl Default for ModelSettings {
    fn default() -> Self {
        Self {
            policy: PlacePolicy::Ours,
            pattern: LoadPattern::Calm,
            seed: 1,
            seconds: 20,
            routers: 4,
            engines: 12,
            load: 1.0,
            flow: FlowSettings::default(),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Arrive(usize),
    Retry(usize),
    Step(usize),
    Tick(u64),
    Begin,
    End,
    Lapse(usize),
    Leave(usize),
    Gone(usize),
    Restart(usize),
    Return(usize),
}

/// A request of a caller over all its tries.
#[derive(Clone, Debug)]
struct CallerRequest {
    kind: usize,
    workspace: usize,
    shared: u64,
    arrived_us: u64,
    tries: u32,
    is_impatient: bool,
    router: usize,
    run: RunKey,
    engine: Option<usize>,
    events: u32,
    /// Whether an event of the attempt under way has come.
    has_begun: bool,
    first_us: Option<u64>,
    last_us: u64,
    longest_us: u64,
}

struct ModelRun {
    settings: ModelSettings,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, ModelEvent)>>,
    planned: u64,
    random: ModelRandom,
    routers: Vec<RouterModel>,
    alive: Vec<bool>,
    engines: Vec<EngineModel>,
    /// Engines with an entry, and whether it says that they leave.
    entries: IndexMap<usize, bool>,
    requests: Vec<CallerRequest>,
    runs: IndexMap<RunKey, usize>,
    next_run: u64,
    kinds: Vec<KindFigures>,
    workspaces: Vec<(u64, u64)>,
    read_again: u64,
    copies: u64,
    skew_sum: f64,
    skew_count: u64,
    sends: u64,
    sends_over_cap: u64,
}

/// Replays a pattern and returns what was measured.
pub fn run_model(settings: &ModelSettings) -> ModelFigures {
    let mut run = ModelRun::new(*settings);
    run.play();
    run.figures()
}

impl ModelRun {
    fn new(settings: ModelSettings) -> Self {
        let mut routers = Vec::with_capacity(settings.routers);
        for number in 0..settings.routers {
            routers.push(RouterModel::new(settings.policy, settings.flow, number));
        }
        let mut run = Self {
            settings,
            now_us: START_US,
            events: BinaryHeap::new(),
            planned: 0,
            random: ModelRandom::new(settings.seed),
            alive: vec![true; settings.routers],
            routers,
            engines: vec![EngineModel::new(); settings.engines],
            entries: (0..settings.engines).map(|index| (index, false)).collect(),
            requests: Vec::new(),
            runs: IndexMap::new(),
            next_run: 0,
            kinds: KINDS
                .iter()
                .map(|kind| KindFigures::new(kind.name))
                .collect(),
            workspaces: vec![(0, 0); WORKSPACES],
            read_again: 0,
            copies: 0,
            skew_sum: 0.0,
            skew_count: 0,
            sends: 0,
            sends_over_cap: 0,
        };
        run.tell_entries();
        for kind in 0..KINDS.len() {
            run.plan(0, ModelEvent::Arrive(kind));
        }
        run.plan(TICK_US, ModelEvent::Tick(1));
        run.plan(EVENT_START_MS * 1_000, ModelEvent::Begin);
        run.plan(EVENT_END_MS * 1_000, ModelEvent::End);
        run
    }

    fn plan(&mut self, after_us: u64, event: ModelEvent) {
        self.planned += 1;
        let at = self.now_us + after_us;
        self.events.push(Reverse((at, self.planned, event)));
    }

    fn now(&self) -> ClockMillis {
        ClockMillis::new(self.now_us / 1_000)
    }

    /// Milliseconds since the start.
    fn elapsed_ms(&self) -> u64 {
        (self.now_us - START_US) / 1_000
    }

    fn play(&mut self) {
        // Requests that arrived last have the time to end.
        let longest = KINDS.iter().map(|kind| kind.limit_ms).max().unwrap_or(0);
        let end = START_US + (self.settings.seconds * 1_000 + longest) * 1_000;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now_us = at;
            match event {
                ModelEvent::Arrive(kind) => self.arrive(kind),
                ModelEvent::Retry(request) => self.try_request(request),
                ModelEvent::Step(engine) => self.step_engine(engine),
                ModelEvent::Tick(number) => self.tick(number),
                ModelEvent::Begin => self.begin_event(),
                ModelEvent::End => self.end_event(),
                ModelEvent::Lapse(engine) => {
                    self.entries.swap_remove(&engine);
                    self.tell_entries();
                }
                ModelEvent::Leave(engine) => self.leave(engine),
                ModelEvent::Gone(engine) => self.lose_engine(engine),
                ModelEvent::Restart(router) => self.restart_router(router),
                ModelEvent::Return(router) => self.return_router(router),
            }
            self.carry_out();
        }
    }

    fn arrive(&mut self, kind: usize) {
        let elapsed = self.elapsed_ms();
        if elapsed >= self.settings.seconds * 1_000 {
            return;
        }
        let pattern = self.settings.pattern;
        let factor = pattern.rate_factor(kind, elapsed) * self.settings.load;
        let gap = self.random.gap_us(KINDS[kind].rate * factor);
        self.plan(gap, ModelEvent::Arrive(kind));
        let workspace = self.draw_workspace(elapsed);
        let mut place = (workspace, self.random.below(PARTS));
        let unit = self.random.unit();
        if pattern.is_hot_part(kind, unit, elapsed) {
            place = (0, 0);
        }
        let shared = StableHash::new()
            .field(&[kind as u8, place.0 as u8, place.1 as u8])
            .finish();
        let is_impatient = pattern == LoadPattern::RetryAbuse && self.random.unit() < 0.5;
        self.kinds[kind].asked += 1;
        self.workspaces[workspace].0 += 1;
        self.requests.push(CallerRequest {
            kind,
            workspace,
            shared,
            arrived_us: self.now_us,
            tries: 0,
            is_impatient,
            router: 0,
            run: RunKey(0),
            engine: None,
            events: 0,
            has_begun: false,
            first_us: None,
            last_us: self.now_us,
            longest_us: 0,
        });
        self.try_request(self.requests.len() - 1);
    }

    /// A workspace by weight: the first ones are larger.
    fn draw_workspace(&mut self, elapsed_ms: u64) -> usize {
        let first = self.settings.pattern.first_workspace_weight(elapsed_ms);
        let weight = |workspace: usize| {
            let base = 1.0 / (workspace + 1) as f64;
            if workspace == 0 { base * first } else { base }
        };
        let total: f64 = (0..WORKSPACES).map(weight).sum();
        let mut point = self.random.unit() * total;
        for workspace in 0..WORKSPACES {
            point -= weight(workspace);
            if point < 0.0 {
                return workspace;
            }
        }
        WORKSPACES - 1
    }

    /// Sends a caller's request to a router that lives.
    fn try_request(&mut self, index: usize) {
        let alive: Vec<usize> = (0..self.routers.len())
            .filter(|router| self.alive[*router])
            .collect();
        let router = alive[self.random.below(alive.len())];
        self.next_run += 1;
        let run = RunKey(self.next_run);
        let now = self.now();
        let request = &mut self.requests[index];
        request.tries += 1;
        request.router = router;
        request.run = run;
        let kind = KINDS[request.kind];
        let spent = (self.now_us - request.arrived_us) / 1_000;
        let arrival = RouterRequest {
            run,
            kind,
            shared: request.shared,
            limit: SpanMillis::new(kind.limit_ms.saturating_sub(spent)),
        };
        self.runs.insert(run, index);
        self.routers[router].arrive(&arrival, now);
    }

    /// Carries out what the routers want.
    fn carry_out(&mut self) {
        loop {
            let mut is_quiet = true;
            for router in 0..self.routers.len() {
                for order in self.routers[router].take_orders() {
                    is_quiet = false;
                    if self.alive[router] {
                        self.carry_out_one(router, order);
                    }
                }
            }
            if is_quiet {
                return;
            }
        }
    }

    fn carry_out_one(&mut self, router: usize, order: RouterOrder) {
        match order {
            RouterOrder::Send {
                run,
                engine,
                copy_from,
            } => {
                let news = self.send(run, engine, copy_from);
                if let Some(news) = news {
                    let now = self.now();
                    self.routers[router].note(run, news, now);
                }
            }
            RouterOrder::Cancel(run) => self.cancel(run),
            RouterOrder::End(run, end) => self.end_run(run, end),
        }
    }

    fn send(&mut self, run: RunKey, engine: usize, copy_from: Option<usize>) -> Option<SendNews> {
        let index = *self.runs.get(&run)?;
        if self.engines[engine].state == EngineState::Down {
            return Some(SendNews::NotConnected);
        }
        self.count_send(engine);
        let request = &self.requests[index];
        let (shared, kind) = (request.shared, KINDS[request.kind]);
        let left = kind
            .output_tokens
            .saturating_sub(request.events * EVENT_TOKENS);
        if !self.engines[engine].keeps(shared) {
            let source = copy_from.filter(|source| self.engines[*source].keeps(shared));
            if source.is_some() {
                self.copies += 1;
                self.engines[engine].copy_part(shared, kind.shared_tokens);
            } else if self.engines.iter().any(|other| other.keeps(shared)) {
                self.read_again += u64::from(kind.shared_tokens);
            }
        }
        let part = (shared, kind.shared_tokens);
        let work = EngineRun::new(run, part, kind.own_tokens, left.max(1));
        if !self.engines[engine].offer(work) {
            return Some(SendNews::Full(self.engines[engine].report()));
        }
        self.requests[index].engine = Some(engine);
        self.requests[index].has_begun = false;
        self.plan_step(engine);
        None
    }

    /// Counts a send, and whether its engine holds more than the operators allow.
    fn count_send(&mut self, engine: usize) {
        let (mean, _) = self.load_of_ready();
        self.sends += 1;
        let cap = CAP_FACTOR * mean + CAP_ALLOWANCE;
        self.sends_over_cap += u64::from(f64::from(self.engines[engine].load()) > cap);
    }

    /// The mean and the highest load of the engines that take work.
    fn load_of_ready(&self) -> (f64, u32) {
        let (mut sum, mut count, mut most) = (0, 0, 0);
        for engine in &self.engines {
            if engine.state != EngineState::Ready {
                continue;
            }
            sum += engine.load();
            count += 1;
            most = most.max(engine.load());
        }
        (f64::from(sum) / f64::from(count.max(1)), most)
    }

    fn plan_step(&mut self, engine: usize) {
        let model = &mut self.engines[engine];
        if model.is_stepping || !model.is_busy() {
            return;
        }
        model.is_stepping = true;
        let span = model.step_us();
        self.plan(span, ModelEvent::Step(engine));
    }

    fn step_engine(&mut self, engine: usize) {
        self.engines[engine].is_stepping = false;
        if self.engines[engine].state == EngineState::Down {
            return;
        }
        for news in self.engines[engine].step() {
            let report = self.engines[engine].report();
            let (run, is_done) = match news {
                StepNews::Event(run) => (run, false),
                StepNews::Done(run) => (run, true),
            };
            let Some(index) = self.runs.get(&run).copied() else {
                continue;
            };
            let is_first = self.note_event(index);
            let (router, now) = (self.requests[index].router, self.now());
            if is_first {
                self.routers[router].note(run, SendNews::Began(report), now);
            } else if !is_done {
                self.routers[router].note(run, SendNews::Event, now);
            }
            if is_done {
                self.routers[router].note(run, SendNews::Done(report), now);
            }
        }
        self.plan_step(engine);
    }

    /// Notes an event of a stream. Returns whether it is the first of the attempt.
    fn note_event(&mut self, index: usize) -> bool {
        let now = self.now_us;
        let request = &mut self.requests[index];
        request.events += 1;
        if request.first_us.is_some() {
            request.longest_us = request.longest_us.max(now - request.last_us);
        }
        request.first_us.get_or_insert(now);
        request.last_us = now;
        !std::mem::replace(&mut request.has_begun, true)
    }

    fn cancel(&mut self, run: RunKey) {
        let Some(index) = self.runs.get(&run).copied() else {
            return;
        };
        if let Some(engine) = self.requests[index].engine.take() {
            self.engines[engine].cancel(run);
        }
    }

    fn end_run(&mut self, run: RunKey, end: RunEnd) {
        let Some(index) = self.runs.swap_remove(&run) else {
            return;
        };
        match end {
            RunEnd::Served => self.count_served(index),
            RunEnd::Refused(retry_after) => self.come_again(index, retry_after, true),
            RunEnd::Failed => {
                let is_resumable = KINDS[self.requests[index].kind].is_resumable;
                self.come_again(index, SpanMillis::default(), is_resumable);
            }
        }
    }

    fn count_served(&mut self, index: usize) {
        let request = &self.requests[index];
        let kind = &KINDS[request.kind];
        let figures = &mut self.kinds[request.kind];
        let first = request.first_us.unwrap_or(self.now_us) - request.arrived_us + OVERHEAD_US;
        // Values beyond the histogram's bound count as the bound.
        figures.first_ms.saturating_record(first / 1_000);
        figures
            .pause_ms
            .saturating_record(request.longest_us / 1_000);
        if first / 1_000 <= kind.target_ms {
            figures.in_time += 1;
            self.workspaces[request.workspace].1 += 1;
        } else {
            figures.late += 1;
        }
    }

    /// Lets a caller try again, or counts its request as not served.
    fn come_again(&mut self, index: usize, wait: SpanMillis, may_retry: bool) {
        let request = &self.requests[index];
        let limit = match request.is_impatient {
            true => ABUSE_LIMIT,
            false => RETRY_LIMIT,
        };
        let wait_us = match request.is_impatient {
            true => 0,
            false => wait.as_millis() * 1_000,
        };
        let kind = &KINDS[request.kind];
        let spent = self.now_us + wait_us - request.arrived_us;
        let has_time = spent < kind.limit_ms * 1_000;
        let has_events = request.events > 0;
        if may_retry && has_time && !has_events && request.tries <= limit {
            self.plan(wait_us.max(1_000), ModelEvent::Retry(index));
            return;
        }
        let figures = &mut self.kinds[request.kind];
        match wait == SpanMillis::default() {
            true => figures.failed += 1,
            false => figures.refused += 1,
        }
    }

    fn tick(&mut self, number: u64) {
        let now = self.now();
        for (router, is_alive) in self.routers.iter_mut().zip(&self.alive) {
            if *is_alive {
                router.tick(now);
            }
        }
        if number.is_multiple_of(SAMPLE_TICKS) {
            self.sample_skew();
        }
        self.plan(TICK_US, ModelEvent::Tick(number + 1));
    }

    fn sample_skew(&mut self) {
        let (mean, most) = self.load_of_ready();
        if mean >= 1.0 {
            self.skew_sum += f64::from(most) / mean;
            self.skew_count += 1;
        }
    }

    fn begin_event(&mut self) {
        let count = self.engines.len();
        match self.settings.pattern {
            LoadPattern::EnginesLost => {
                for engine in 0..count / 4 {
                    self.lose_engine(engine);
                    self.plan(LAPSE_US, ModelEvent::Lapse(engine));
                }
            }
            LoadPattern::EnginesSlow => {
                for engine in &mut self.engines[..count / 4] {
                    engine.slowness = 4.0;
                }
            }
            LoadPattern::EnginesLeaving => {
                for engine in 0..count / 3 {
                    let after = LEAVE_GAP_US * engine as u64;
                    self.plan(after, ModelEvent::Leave(engine));
                }
            }
            LoadPattern::RoutersLost => {
                for router in 0..self.routers.len() / 2 {
                    self.lose_router(router);
                }
            }
            LoadPattern::RoutersRestarted => {
                for router in 1..self.routers.len() {
                    let after = RESTART_GAP_US * router as u64;
                    self.plan(after, ModelEvent::Restart(router));
                }
            }
            _ => {}
        }
    }

    fn end_event(&mut self) {
        for engine in &mut self.engines {
            engine.slowness = 1.0;
        }
    }

    /// A new engine joins, and an old one leaves.
    fn leave(&mut self, engine: usize) {
        self.engines.push(EngineModel::new());
        self.entries.insert(self.engines.len() - 1, false);
        self.engines[engine].state = EngineState::Leaving;
        self.entries.insert(engine, true);
        self.tell_entries();
        self.plan(LEAVE_US, ModelEvent::Gone(engine));
    }

    fn lose_engine(&mut self, engine: usize) {
        if self.engines[engine].state == EngineState::Leaving {
            self.entries.swap_remove(&engine);
            self.tell_entries();
        }
        let now = self.now();
        for run in self.engines[engine].go_down() {
            let Some(index) = self.runs.get(&run).copied() else {
                continue;
            };
            let router = self.requests[index].router;
            self.routers[router].note(run, SendNews::Lost, now);
        }
    }

    fn restart_router(&mut self, router: usize) {
        self.lose_router(router);
        self.plan(RESTART_US, ModelEvent::Return(router));
    }

    /// A router is back. It knows nothing but the entries.
    fn return_router(&mut self, router: usize) {
        let settings = &self.settings;
        self.routers[router] = RouterModel::new(settings.policy, settings.flow, router);
        self.alive[router] = true;
        self.tell_entries();
    }

    fn lose_router(&mut self, router: usize) {
        let lost: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, index)| self.requests[**index].router == router)
            .map(|(run, _)| *run)
            .collect();
        self.alive[router] = false;
        for run in lost {
            self.cancel(run);
            self.end_run(run, RunEnd::Failed);
        }
    }

    fn tell_entries(&mut self) {
        let entries: Vec<(usize, bool)> = self
            .entries
            .iter()
            .map(|(engine, is_leaving)| (*engine, *is_leaving))
            .collect();
        let now = self.now();
        for router in &mut self.routers {
            router.set_engines(&entries, now);
        }
    }

    fn figures(self) -> ModelFigures {
        let read_tokens = self.engines.iter().map(|engine| engine.read_tokens).sum();
        let mut figures = ModelFigures {
            kinds: self.kinds,
            fairness: 1.0,
            read_tokens,
            read_again_tokens: self.read_again,
            copies: self.copies,
            skew: self.skew_sum / self.skew_count.max(1) as f64,
            over_cap: self.sends_over_cap as f64 / self.sends.max(1) as f64,
        };
        let all = figures.in_time_share();
        for (asked, in_time) in self.workspaces {
            let share = in_time as f64 / asked.max(1) as f64;
            figures.fairness = figures.fairness.min(share / all.max(1e-9));
        }
        figures
    }
}
