//! Simulation of a fleet of gateways whose callers take up streams while upstreams of several versions serve.
//!
//! Gateways exchange messages, of which some are lost or late, and call a log that is away at times or turns some of them away.
//! They read the list of upstreams at different times, and are killed one by one or all at once. The oracle knows at which
//! version each stream began.

use std::net::SocketAddr;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_fleet::SoftwareVersion;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_fleet::VersionKey;
use fescuetide_fleet::WorkKind;
use fescuetide_flow::AttemptEvent;
use fescuetide_flow::FlowAction;
use fescuetide_flow::FlowKey;
use fescuetide_flow::FlowSettings;
use fescuetide_flow::GatewayList;
use fescuetide_flow::OriginCommand;
use fescuetide_flow::OriginEntry;
use fescuetide_flow::OriginExchange;
use fescuetide_flow::OriginLogEvent;
use fescuetide_flow::OriginMessage;
use fescuetide_flow::OriginOutput;
use fescuetide_flow::RequestScheduler;
use fescuetide_flow::StreamKey;
use fescuetide_flow::StreamOrigin;
use fescuetide_flow::VersionReading;
use fescuetide_flow::WorkRequest;
use fescuetide_fuzz::SeededRandom;
use indexmap::IndexSet;

use crate::harness::route;
use crate::harness::upstream;
use crate::origin_fleet::scenario::Scenario;

/// Simulated time per step.
const STEP: SpanMillis = SpanMillis::new(10);

/// One message in so many is lost.
const MESSAGE_LOSS: u64 = 20;

/// Messages arrive, and calls to the log end, within so many steps.
const DELAY_STEPS: u64 = 3;

/// Streams that begin in each step.
const STREAMS_PER_STEP: u64 = 2;

/// Time from when a stream is sent until its first event, in ms.
const FIRST_EVENT_AFTER_MS: (u64, u64) = (30, 120);

/// Time from the first event of a stream until its caller takes it up, in ms.
const TAKE_UP_AFTER_MS: (u64, u64) = (60, 3_000);

/// One stream in so many breaks off again after it was taken up.
const BREAKS_AGAIN: u64 = 3;

/// Longest time between two reads of the list of upstreams.
const LISTING_INTERVAL: SpanMillis = SpanMillis::new(600);

/// Time for which a gateway is down after it was killed.
const DOWN_TIME: SpanMillis = SpanMillis::new(400);

/// How long a call to a log that does not answer takes.
const CALL_TIMEOUT: SpanMillis = SpanMillis::new(300);

#[derive(Clone, Debug, Default)]
struct SimulatedLog {
    versions: IndexSet<StreamOrigin>,
    origins: Vec<OriginEntry>,
    appends: u64,
}

impl SimulatedLog {
    fn reading(&self) -> VersionReading {
        VersionReading {
            versions: self.versions.iter().copied().collect(),
            ..VersionReading::default()
        }
    }
}

enum Delivery {
    Message(SocketAddr, OriginMessage),
    /// A call that reaches the log. The number is that of the life of the gateway.
    Call(u64, OriginCommand),
    LogEvent(u64, OriginLogEvent),
}

struct SimulatedGateway {
    address: SocketAddr,
    /// Number of starts so far.
    life: u64,
    up_at: ClockMillis,
    scheduler: RequestScheduler,
    exchange: OriginExchange,
    next_listing_at: ClockMillis,
    /// Whether the versions were listed since the start.
    has_listed: bool,
    /// Number of origins in the log that were read.
    read_count: usize,
}

/// A stream that was sent to an upstream and has no event yet.
struct SentStream {
    gateway: usize,
    life: u64,
    key: FlowKey,
    stream: StreamKey,
    version: VersionKey,
    first_event_at: ClockMillis,
}

/// A stream that a caller holds, and when it takes it up.
#[derive(Clone, Copy)]
struct HeldStream {
    stream: StreamKey,
    version: VersionKey,
    take_up_at: ClockMillis,
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OriginResult {
    pub(super) begun: u64,
    /// Streams taken up whose version serves, while the log answers and the gateways have been up for a second.
    pub(super) taken_up: u64,
    pub(super) went_on: u64,
    pub(super) mixed: u64,
    pub(super) appends: u64,
    /// Number of versions that the log has records of at the end.
    pub(super) recorded_versions: usize,
}

struct TakenUp {
    gateway: usize,
    key: FlowKey,
    held: HeldStream,
    is_counted: bool,
}

pub(super) struct OriginFleet {
    random: SeededRandom,
    scenario: Scenario,
    started_at: ClockMillis,
    now: ClockMillis,
    entries: Vec<UpstreamEntry>,
    gateways: Vec<SimulatedGateway>,
    log: SimulatedLog,
    deliveries: Vec<(ClockMillis, usize, Delivery)>,
    sent: Vec<SentStream>,
    held: Vec<HeldStream>,
    taken_up: Vec<TakenUp>,
    next_stream: u64,
    result: OriginResult,
}

fn entries_of(version: usize) -> impl Iterator<Item = UpstreamEntry> {
    (0..4).map(move |index| UpstreamEntry {
        version: SoftwareVersion::from(format!("v{version}")),
        ..upstream(&format!("v{version}-{index}"), 2_048)
    })
}

impl OriginFleet {
    pub(super) fn new(seed: u64, scenario: Scenario) -> Self {
        let now = ClockMillis::new(1_000_000);
        let mut fleet = Self {
            random: SeededRandom::new(seed),
            scenario,
            started_at: now,
            now,
            entries: entries_of(1).collect(),
            gateways: Vec::new(),
            log: SimulatedLog::default(),
            deliveries: Vec::new(),
            sent: Vec::new(),
            held: Vec::new(),
            taken_up: Vec::new(),
            next_stream: 0,
            result: OriginResult::default(),
        };
        for index in 0..scenario.gateways {
            let port = 10_000 + index as u16;
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            let gateway = fleet.new_gateway(address, 0, now);
            fleet.gateways.push(gateway);
        }
        fleet
    }

    fn new_gateway(&self, address: SocketAddr, life: u64, up_at: ClockMillis) -> SimulatedGateway {
        let zone = "a".parse().unwrap();
        let seed = u64::from(address.port()) * 1_000_003 + life;
        let scheduler = RequestScheduler::new(FlowSettings::default(), zone);
        let mut exchange = OriginExchange::default();
        let ports = (0..self.scenario.gateways).map(|index| 10_000 + index as u16);
        let others = ports.filter(|port| *port != address.port());
        let peers: Vec<SocketAddr> = others
            .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
            .collect();
        exchange.set_gateways(GatewayList::new(address, &peers));
        SimulatedGateway {
            address,
            life,
            up_at,
            scheduler: scheduler.with_seed(seed),
            exchange,
            next_listing_at: up_at,
            has_listed: false,
            read_count: 0,
        }
    }

    pub(super) fn run(mut self) -> OriginResult {
        let end = self.started_at + self.scenario.length;
        while self.now < end {
            self.now = self.now + STEP;
            self.change_fleet();
            self.deliver();
            for gateway in 0..self.gateways.len() {
                self.step_gateway(gateway);
            }
            if self.now.since(self.started_at).as_millis() >= self.scenario.streams_from {
                for _ in 0..STREAMS_PER_STEP {
                    self.begin_stream();
                }
            }
            self.relay_first_events();
            self.take_up_streams();
        }
        self.result.appends = self.log.appends;
        self.result.recorded_versions = self.log.versions.len();
        self.result
    }

    fn is_at(&self, times: &[u64]) -> bool {
        let elapsed = self.now.since(self.started_at).as_millis();
        times.contains(&elapsed)
    }

    fn is_within(&self, span: Option<(u64, u64)>) -> bool {
        let elapsed = self.now.since(self.started_at).as_millis();
        span.is_some_and(|(from, until)| (from..until).contains(&elapsed))
    }

    fn answers(&self, gateway: usize) -> bool {
        let is_away = self.is_within(self.scenario.log_away);
        let is_turned_away =
            gateway.is_multiple_of(2) && self.is_within(self.scenario.log_turns_away);
        !is_away && !is_turned_away
    }

    fn change_fleet(&mut self) {
        let elapsed = self.now.since(self.started_at).as_millis();
        let mut releases = self.scenario.releases.iter();
        if let Some(index) = releases.position(|at| *at == elapsed) {
            self.entries.extend(entries_of(index + 2));
        }
        if self.scenario.old_leaves == Some(elapsed) {
            let old = SoftwareVersion::from("v1".to_owned());
            self.entries.retain(|entry| entry.version != old);
        }
        if self.scenario.old_returns == Some(elapsed) {
            self.entries.extend(entries_of(1));
        }
        for (gateway, at) in self.scenario.killed_in_turn.into_iter().flatten() {
            if at == elapsed {
                self.kill(gateway);
            }
        }
        if self.is_at(self.scenario.all_killed) {
            for gateway in 0..self.gateways.len() {
                self.kill(gateway);
            }
        }
        if self.is_at(self.scenario.some_killed) {
            for _ in 0..self.gateways.len() * 2 / 5 {
                let gateway = self.random.below(self.gateways.len() as u64) as usize;
                self.kill(gateway);
            }
        }
    }

    fn kill(&mut self, gateway: usize) {
        let killed = &self.gateways[gateway];
        let up_at = self.now + DOWN_TIME;
        self.gateways[gateway] = self.new_gateway(killed.address, killed.life + 1, up_at);
        let (lost, kept) = std::mem::take(&mut self.taken_up)
            .into_iter()
            .partition(|taken: &TakenUp| taken.gateway == gateway);
        self.taken_up = kept;
        // Their callers take them up again elsewhere.
        for TakenUp { held, .. } in lost {
            self.hold(held);
        }
    }

    fn hold(&mut self, held: HeldStream) {
        let (shortest, longest) = TAKE_UP_AFTER_MS;
        let pause = shortest + self.random.below(longest - shortest);
        self.held.push(HeldStream {
            take_up_at: self.now + SpanMillis::new(pause),
            ..held
        });
    }

    fn step_gateway(&mut self, gateway: usize) {
        let now = self.now;
        if self.gateways[gateway].up_at > now {
            return;
        }
        if !self.gateways[gateway].has_listed && self.answers(gateway) {
            self.list_at_start(gateway);
        }
        if now >= self.gateways[gateway].next_listing_at && self.answers(gateway) {
            let wait = STEP.as_millis() + self.random.below(LISTING_INTERVAL.as_millis());
            let listed = &mut self.gateways[gateway];
            listed.next_listing_at = now + SpanMillis::new(wait);
            listed.scheduler.set_upstreams(&self.entries, now);
        }
        let is_unavailable = !self.answers(gateway);
        let stepped = &mut self.gateways[gateway];
        stepped.scheduler.tick(now);
        stepped
            .exchange
            .step(&mut stepped.scheduler, is_unavailable, now);
        self.act(gateway);
    }

    /// The thread that calls the log lists the versions.
    fn list_at_start(&mut self, gateway: usize) {
        let at = self.now + self.delay();
        let event = OriginLogEvent::Started(self.log.reading());
        let starting = &mut self.gateways[gateway];
        starting.has_listed = true;
        let delivery = Delivery::LogEvent(starting.life, event);
        self.deliveries.push((at, gateway, delivery));
    }

    fn delay(&mut self) -> SpanMillis {
        let steps = 1 + self.random.below(DELAY_STEPS);
        SpanMillis::new(steps * STEP.as_millis())
    }

    fn call(&mut self, gateway: usize, command: OriginCommand) {
        let at = self.now + self.delay();
        let life = self.gateways[gateway].life;
        self.deliveries
            .push((at, gateway, Delivery::Call(life, command)));
    }

    fn deliver(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.deliveries)
            .into_iter()
            .partition(|(at, _, _)| *at <= self.now);
        self.deliveries = later;
        for (_, gateway, delivery) in due {
            match delivery {
                Delivery::Call(life, command) => self.answer_call(gateway, life, command),
                Delivery::Message(from, message) => {
                    let receiver = &mut self.gateways[gateway];
                    if receiver.up_at > self.now {
                        continue;
                    }
                    let scheduler = &mut receiver.scheduler;
                    receiver
                        .exchange
                        .receive(from, message, scheduler, self.now);
                    self.act(gateway);
                }
                Delivery::LogEvent(life, event) => {
                    let receiver = &mut self.gateways[gateway];
                    if receiver.life != life {
                        continue;
                    }
                    let scheduler = &mut receiver.scheduler;
                    receiver.exchange.note_log(event, scheduler, self.now);
                    self.act(gateway);
                }
            }
        }
    }

    /// A call reaches the log. What it does happens also if its gateway is killed before the answer.
    fn answer_call(&mut self, gateway: usize, life: u64, command: OriginCommand) {
        self.log.appends += u64::from(command != OriginCommand::Read);
        let is_answered = self.answers(gateway);
        let at = match is_answered {
            true => self.now + self.delay(),
            false => self.now + CALL_TIMEOUT,
        };
        let event = match command {
            OriginCommand::AppendOrigins(batch) => {
                if is_answered {
                    self.log.origins.extend(batch);
                }
                OriginLogEvent::Appended(is_answered)
            }
            OriginCommand::RecordVersion(_) if !is_answered => return,
            OriginCommand::RecordVersion(origin) => {
                self.log.versions.insert(origin);
                OriginLogEvent::VersionRecorded(origin)
            }
            OriginCommand::ForgetVersion(origin) => {
                if is_answered {
                    self.log.versions.swap_remove(&origin);
                }
                OriginLogEvent::VersionForgotten {
                    origin,
                    is_removed: is_answered,
                }
            }
            OriginCommand::Read if !is_answered => OriginLogEvent::ReadFailed,
            OriginCommand::Read => {
                let reader = &mut self.gateways[gateway];
                let first = reader.read_count.min(self.log.origins.len());
                if reader.life == life {
                    reader.read_count = self.log.origins.len();
                }
                OriginLogEvent::Read {
                    versions: self.log.reading(),
                    origins: self.log.origins[first..].to_vec(),
                }
            }
        };
        let answer = Delivery::LogEvent(life, event);
        self.deliveries.push((at, gateway, answer));
    }

    fn request(&self, stream: StreamKey, is_taken_up: bool) -> WorkRequest {
        WorkRequest {
            stream,
            is_taken_up,
            ..WorkRequest::of_route(&route(WorkKind::ResumableStream, 3), self.now, None)
        }
    }

    /// A gateway that is up and knows upstreams, if any.
    fn draw_gateway(&mut self) -> Option<usize> {
        let gateway = self.random.below(self.gateways.len() as u64) as usize;
        let drawn = &self.gateways[gateway];
        let is_serving = drawn.up_at < self.now && drawn.next_listing_at > drawn.up_at;
        is_serving.then_some(gateway)
    }

    fn begin_stream(&mut self) {
        let Some(gateway) = self.draw_gateway() else {
            return;
        };
        self.next_stream += 1;
        let stream = StreamKey::of(&format!("stream-{}", self.next_stream));
        let request = self.request(stream, false);
        let now = self.now;
        let begun = &mut self.gateways[gateway];
        let key = begun.scheduler.arrive(request, now);
        let mut sent = None;
        while let Some(action) = begun.scheduler.next_action() {
            match action {
                FlowAction::Send(command) => sent = Some(command.upstream),
                action => perform(&mut begun.exchange, action, now),
            }
        }
        let Some(upstream) = sent else {
            begun.scheduler.caller_left(key, now);
            return;
        };
        begun.scheduler.note_attempt(key, AttemptEvent::Sent, now);
        self.act(gateway);
        let (shortest, longest) = FIRST_EVENT_AFTER_MS;
        let wait = shortest + self.random.below(longest - shortest);
        self.sent.push(SentStream {
            gateway,
            life: self.gateways[gateway].life,
            key,
            stream,
            version: version_of(upstream.as_str()),
            first_event_at: now + SpanMillis::new(wait),
        });
    }

    /// The callers of streams whose first event is due leave after it.
    fn relay_first_events(&mut self) {
        let (due, later): (Vec<SentStream>, Vec<SentStream>) = std::mem::take(&mut self.sent)
            .into_iter()
            .partition(|sent| sent.first_event_at <= self.now);
        self.sent = later;
        for sent in due {
            let relaying = &mut self.gateways[sent.gateway];
            if relaying.life != sent.life {
                continue;
            }
            relay_event(&mut relaying.scheduler, sent.key, self.now);
            self.act(sent.gateway);
            let scheduler = &mut self.gateways[sent.gateway].scheduler;
            scheduler.caller_left(sent.key, self.now);
            self.result.begun += 1;
            self.hold(HeldStream {
                stream: sent.stream,
                version: sent.version,
                take_up_at: self.now,
            });
        }
    }

    fn take_up_streams(&mut self) {
        let (due, later): (Vec<HeldStream>, Vec<HeldStream>) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|held| held.take_up_at <= self.now);
        self.held = later;
        for held in due {
            let Some(gateway) = self.draw_gateway() else {
                self.hold(held);
                continue;
            };
            let request = self.request(held.stream, true);
            let now = self.now;
            let up_for = now.since(self.gateways[gateway].up_at);
            let mut entries = self.entries.iter();
            let serves = entries.any(|entry| entry.version.key() == held.version);
            let is_counted = serves && self.answers(gateway) && up_for >= SpanMillis::new(1_000);
            let key = self.gateways[gateway].scheduler.arrive(request, now);
            self.result.taken_up += u64::from(is_counted);
            self.taken_up.push(TakenUp {
                gateway,
                key,
                held,
                is_counted,
            });
            self.act(gateway);
        }
    }

    fn act(&mut self, gateway: usize) {
        while let Some(action) = self.gateways[gateway].scheduler.next_action() {
            match action {
                FlowAction::Send(command) => self.go_on(gateway, command.key, &command.upstream),
                FlowAction::Refuse(key, _) => self
                    .taken_up
                    .retain(|taken| taken.gateway != gateway || taken.key != key),
                action => perform(&mut self.gateways[gateway].exchange, action, self.now),
            }
        }
        for output in self.gateways[gateway].exchange.take_outputs() {
            match output {
                OriginOutput::Call(command) => self.call(gateway, command),
                OriginOutput::Send(to, message) => {
                    if self.random.below(MESSAGE_LOSS) == 0 {
                        continue;
                    }
                    let at = self.now + self.delay();
                    let from = self.gateways[gateway].address;
                    let receiver = usize::from(to.port() - 10_000);
                    let delivery = Delivery::Message(from, message);
                    self.deliveries.push((at, receiver, delivery));
                }
            }
        }
    }

    /// A stream that was taken up is sent to an upstream.
    fn go_on(&mut self, gateway: usize, key: FlowKey, upstream: &fescuetide_base::VmName) {
        let is_it = |taken: &TakenUp| taken.gateway == gateway && taken.key == key;
        let Some(index) = self.taken_up.iter().position(is_it) else {
            return;
        };
        let TakenUp {
            held, is_counted, ..
        } = self.taken_up.swap_remove(index);
        self.result.went_on += u64::from(is_counted);
        let is_mixed = version_of(upstream.as_str()) != held.version;
        self.result.mixed += u64::from(is_mixed);
        let now = self.now;
        let scheduler = &mut self.gateways[gateway].scheduler;
        scheduler.note_attempt(key, AttemptEvent::Sent, now);
        relay_event(scheduler, key, now);
        scheduler.caller_left(key, now);
        if !is_mixed && self.random.below(BREAKS_AGAIN) == 0 {
            self.hold(held);
        }
    }
}

fn relay_event(scheduler: &mut RequestScheduler, key: FlowKey, now: ClockMillis) {
    scheduler.note_attempt(key, AttemptEvent::StreamStarted(None), now);
    scheduler.note_attempt(key, AttemptEvent::StreamProgress, now);
}

/// Passes an action about origins on.
fn perform(exchange: &mut OriginExchange, action: FlowAction, now: ClockMillis) {
    match action {
        FlowAction::TellOrigin(entry) => exchange.tell_origin(entry),
        FlowAction::RecordVersion(origin) => exchange.record_version(origin, now),
        FlowAction::ForgetVersion(origin) => exchange.forget_version(origin, now),
        FlowAction::SeekOrigin(stream) => exchange.seek_origin(stream, now),
        _ => {}
    }
}

/// The version of an upstream, by its name.
fn version_of(upstream: &str) -> VersionKey {
    let (version, _) = upstream.split_once('-').unwrap();
    SoftwareVersion::from(version.to_owned()).key()
}
