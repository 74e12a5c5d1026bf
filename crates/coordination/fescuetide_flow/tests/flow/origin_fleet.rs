//! Simulation of a fleet of gateways whose callers take up streams while upstreams of two versions serve.
//!
//! Gateways tell and ask each other by messages, of which some are lost or late. Some gateways are killed, and start again
//! without what they knew. The oracle knows at which version each stream began.

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
use fescuetide_flow::OriginSearch;
use fescuetide_flow::RequestScheduler;
use fescuetide_flow::StreamKey;
use fescuetide_flow::StreamOrigin;
use fescuetide_flow::WorkRequest;
use fescuetide_flow::stream_holders;
use fescuetide_fuzz::SeededRandom;

use crate::harness::route;
use crate::harness::upstream;

/// Simulated time per step.
const STEP: SpanMillis = SpanMillis::new(10);

/// One message in so many is lost.
const MESSAGE_LOSS: u64 = 20;

/// Messages arrive within so many steps.
const MESSAGE_STEPS: u64 = 6;

/// Streams that begin in each step.
const STREAMS_PER_STEP: u64 = 2;

/// Shortest time from the first event of a stream until its caller takes it up, in ms.
const TAKE_UP_AFTER_MS: u64 = 60;

/// Length of a run.
const LENGTH: SpanMillis = SpanMillis::new(10_000);

/// When the second version appears. Some streams have begun by then.
const RELEASE_AFTER: SpanMillis = SpanMillis::new(1_000);

/// Gateways read the list of upstreams within so many steps after it has changed.
const LISTING_LAG_STEPS: u64 = 60;

/// When gateways are killed: two in five at once, then another.
const KILLS_AFTER: [SpanMillis; 2] = [SpanMillis::new(4_000), SpanMillis::new(6_000)];

/// Number of streams that may hold events of two versions.
const ALLOWED_MIXED: u64 = 2;

enum Message {
    Told(StreamKey, StreamOrigin),
    Sought(SocketAddr, StreamKey),
    Unknown(SocketAddr, StreamKey),
    Version(StreamOrigin),
}

struct Delivery {
    at: ClockMillis,
    gateway: usize,
    message: Message,
}

struct SimulatedGateway {
    address: SocketAddr,
    scheduler: RequestScheduler,
    search: OriginSearch,
    sees_release_after: SpanMillis,
}

/// A stream that began, and when its caller takes it up.
struct BegunStream {
    stream: StreamKey,
    version: VersionKey,
    take_up_at: ClockMillis,
}

#[derive(Clone, Copy, Debug, Default)]
struct OriginResult {
    begun: u64,
    taken_up: u64,
    went_on: u64,
    mixed: u64,
}

struct OriginFleet {
    random: SeededRandom,
    longest_pause_ms: u64,
    started_at: ClockMillis,
    now: ClockMillis,
    entries: Vec<UpstreamEntry>,
    gateways: Vec<SimulatedGateway>,
    deliveries: Vec<Delivery>,
    begun: Vec<BegunStream>,
    /// Requests that take up streams, with the version that the oracle knows.
    takers: Vec<(usize, FlowKey, VersionKey)>,
    next_stream: u64,
    result: OriginResult,
}

fn entry(version: &str, index: usize) -> UpstreamEntry {
    UpstreamEntry {
        version: SoftwareVersion::from(version.to_owned()),
        ..upstream(&format!("{version}-{index}"), 512)
    }
}

fn new_scheduler(entries: &[UpstreamEntry], seed: u64, now: ClockMillis) -> RequestScheduler {
    let zone = "a".parse().unwrap();
    let scheduler = RequestScheduler::new(FlowSettings::default(), zone);
    let mut scheduler = scheduler.with_seed(seed);
    scheduler.set_upstreams(entries, now);
    scheduler
}

impl OriginFleet {
    fn new(seed: u64, gateway_count: usize, longest_pause_ms: u64) -> Self {
        let now = ClockMillis::new(1_000_000);
        let entries: Vec<UpstreamEntry> = (0..4).map(|index| entry("v1", index)).collect();
        let mut random = SeededRandom::new(seed);
        let mut gateways = Vec::new();
        for index in 0..gateway_count {
            let lag = random.below(LISTING_LAG_STEPS) * STEP.as_millis();
            let port = 10_000 + index as u16;
            gateways.push(SimulatedGateway {
                address: SocketAddr::from(([127, 0, 0, 1], port)),
                scheduler: new_scheduler(&entries, index as u64 * 1_000_003, now),
                search: OriginSearch::default(),
                sees_release_after: RELEASE_AFTER + SpanMillis::new(lag),
            });
        }
        Self {
            random,
            longest_pause_ms,
            started_at: now,
            now,
            entries,
            gateways,
            deliveries: Vec::new(),
            begun: Vec::new(),
            takers: Vec::new(),
            next_stream: 0,
            result: OriginResult::default(),
        }
    }

    fn run(mut self) -> OriginResult {
        let end = self.started_at + LENGTH;
        while self.now < end {
            self.now = self.now + STEP;
            self.change_fleet();
            self.deliver();
            for _ in 0..STREAMS_PER_STEP {
                self.begin_stream();
            }
            self.take_up_streams();
            for gateway in 0..self.gateways.len() {
                self.search(gateway);
            }
        }
        self.result
    }

    fn change_fleet(&mut self) {
        let elapsed = self.now.since(self.started_at);
        if elapsed == RELEASE_AFTER {
            self.entries.extend((0..4).map(|index| entry("v2", index)));
        }
        for gateway in 0..self.gateways.len() {
            if elapsed != self.gateways[gateway].sees_release_after {
                continue;
            }
            let scheduler = &mut self.gateways[gateway].scheduler;
            scheduler.set_upstreams(&self.entries, self.now);
            self.act(gateway);
        }
        let killed = match KILLS_AFTER.iter().position(|at| *at == elapsed) {
            Some(0) => self.gateways.len() * 2 / 5,
            Some(_) => 1,
            None => 0,
        };
        for _ in 0..killed {
            let gateway = self.random.below(self.gateways.len() as u64) as usize;
            let seed = self.now.as_millis() + gateway as u64;
            let killed = &mut self.gateways[gateway];
            killed.scheduler = new_scheduler(&self.entries, seed, self.now);
            killed.search = OriginSearch::default();
            self.takers.retain(|(taker, _, _)| *taker != gateway);
            self.act(gateway);
        }
    }

    fn peers_of(&self, gateway: usize) -> Vec<SocketAddr> {
        let own = self.gateways[gateway].address;
        let addresses = self.gateways.iter().map(|gateway| gateway.address);
        addresses.filter(|address| *address != own).collect()
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        if self.random.below(MESSAGE_LOSS) == 0 {
            return;
        }
        let steps = 1 + self.random.below(MESSAGE_STEPS);
        self.deliveries.push(Delivery {
            at: self.now + SpanMillis::new(steps * STEP.as_millis()),
            gateway: usize::from(to.port() - 10_000),
            message,
        });
    }

    fn deliver(&mut self) {
        let (due, later): (Vec<Delivery>, Vec<Delivery>) = std::mem::take(&mut self.deliveries)
            .into_iter()
            .partition(|delivery| delivery.at <= self.now);
        self.deliveries = later;
        for Delivery {
            gateway, message, ..
        } in due
        {
            let own = self.gateways[gateway].address;
            match message {
                Message::Told(stream, origin) => {
                    let receiver = &mut self.gateways[gateway];
                    receiver.search.note_found(stream);
                    receiver.scheduler.note_origin(stream, origin, self.now);
                    self.act(gateway);
                }
                Message::Sought(from, stream) => {
                    let origin = self.gateways[gateway].scheduler.origin(stream, self.now);
                    let answer = match origin {
                        Some(origin) => Message::Told(stream, origin),
                        None => Message::Unknown(own, stream),
                    };
                    self.send(from, answer);
                }
                Message::Version(origin) => {
                    let scheduler = &mut self.gateways[gateway].scheduler;
                    scheduler.note_version(origin, self.now);
                    self.act(gateway);
                }
                Message::Unknown(from, stream) => {
                    self.gateways[gateway].search.note_unknown(stream, from);
                }
            }
        }
    }

    fn request(&self, stream: StreamKey, is_taken_up: bool) -> WorkRequest {
        WorkRequest {
            stream,
            is_taken_up,
            ..WorkRequest::of_route(&route(WorkKind::ResumableStream, 3), self.now, None)
        }
    }

    /// Begins a stream at a random gateway. Its caller leaves after the first event.
    fn begin_stream(&mut self) {
        self.next_stream += 1;
        let stream = StreamKey::of(&format!("stream-{}", self.next_stream));
        let gateway = self.random.below(self.gateways.len() as u64) as usize;
        let request = self.request(stream, false);
        let now = self.now;
        let scheduler = &mut self.gateways[gateway].scheduler;
        let key = scheduler.arrive(request, now);
        let Some(FlowAction::Send(command)) = scheduler.next_action() else {
            panic!("upstreams have room");
        };
        scheduler.note_attempt(key, AttemptEvent::Sent, now);
        scheduler.note_attempt(key, AttemptEvent::StreamStarted(None), now);
        scheduler.note_attempt(key, AttemptEvent::StreamProgress, now);
        self.act(gateway);
        self.gateways[gateway].scheduler.caller_left(key, now);
        let version = self.version_of(command.upstream.as_str());
        let pause = TAKE_UP_AFTER_MS + self.random.below(self.longest_pause_ms);
        self.result.begun += 1;
        self.begun.push(BegunStream {
            stream,
            version,
            take_up_at: now + SpanMillis::new(pause),
        });
    }

    fn version_of(&self, upstream: &str) -> VersionKey {
        let mut entries = self.entries.iter();
        let entry = entries.find(|entry| entry.name.as_str() == upstream);
        entry.unwrap().version.key()
    }

    fn take_up_streams(&mut self) {
        let (due, later): (Vec<BegunStream>, Vec<BegunStream>) = std::mem::take(&mut self.begun)
            .into_iter()
            .partition(|begun| begun.take_up_at <= self.now);
        self.begun = later;
        for begun in due {
            let gateway = self.random.below(self.gateways.len() as u64) as usize;
            let request = self.request(begun.stream, true);
            let now = self.now;
            let key = self.gateways[gateway].scheduler.arrive(request, now);
            self.result.taken_up += 1;
            self.takers.push((gateway, key, begun.version));
            self.act(gateway);
        }
    }

    fn search(&mut self, gateway: usize) {
        let now = self.now;
        self.gateways[gateway].scheduler.tick(now);
        let own = self.gateways[gateway].address;
        let questions = self.gateways[gateway].search.take_questions(now);
        for (holder, streams) in questions {
            for stream in streams {
                self.send(holder, Message::Sought(own, stream));
            }
        }
        for stream in self.gateways[gateway].search.take_given_up(now) {
            let scheduler = &mut self.gateways[gateway].scheduler;
            scheduler.give_up_origin(stream, now);
        }
        self.act(gateway);
    }

    fn act(&mut self, gateway: usize) {
        while let Some(action) = self.gateways[gateway].scheduler.next_action() {
            match action {
                FlowAction::TellOrigin(stream, origin) => {
                    for holder in stream_holders(stream, &self.peers_of(gateway)) {
                        self.send(holder, Message::Told(stream, origin));
                    }
                }
                FlowAction::TellVersion(origin) => {
                    for peer in self.peers_of(gateway) {
                        self.send(peer, Message::Version(origin));
                    }
                }
                FlowAction::SeekOrigin(stream) => {
                    let peers = self.peers_of(gateway);
                    self.gateways[gateway]
                        .search
                        .start(stream, &peers, self.now);
                }
                FlowAction::Send(command) => {
                    let is_taker = |(taker, key, _): &(usize, FlowKey, VersionKey)| {
                        *taker == gateway && *key == command.key
                    };
                    let Some(index) = self.takers.iter().position(is_taker) else {
                        continue;
                    };
                    let (_, key, began) = self.takers.swap_remove(index);
                    let version = self.version_of(command.upstream.as_str());
                    self.result.went_on += 1;
                    self.result.mixed += u64::from(version != began);
                    let scheduler = &mut self.gateways[gateway].scheduler;
                    scheduler.caller_left(key, self.now);
                }
                _ => {}
            }
        }
    }
}

/// Guards against streams that go on at another version, or that do not go on, whatever the number of gateways: messages are lost
/// and late, gateways are killed, and some streams are from before the release.
#[test]
fn streams_go_on_at_their_version_in_a_fleet_that_loses_gateways() {
    let seeds = std::env::var("FESCUETIDE_ORIGIN_SEEDS").ok();
    let seeds: u64 = seeds.and_then(|text| text.parse().ok()).unwrap_or(2);
    for seed in 0..seeds {
        for gateways in [2, 5, 31, 103] {
            for longest_pause_ms in [100, 3_000] {
                let result = OriginFleet::new(seed, gateways, longest_pause_ms).run();
                let run =
                    format!("seed {seed}, {gateways} gateways, {longest_pause_ms} ms: {result:?}");
                assert!(result.taken_up > 1_000, "{run}");
                assert!(result.mixed <= ALLOWED_MIXED, "{run}");
                assert!(result.went_on * 2 >= result.taken_up, "{run}");
            }
        }
    }
}
