//! Simulation of gateways that find each other in the log and tell each other which ones live.

use std::net::SocketAddr;

use fescuetide_base::ClockMillis;
use fescuetide_base::DrawSequence;
use fescuetide_base::SpanMillis;
use fescuetide_fleet::GatewayEntry;
use fescuetide_fleet::PeerTable;
use fescuetide_fleet::RegistrySchedule;
use fescuetide_fleet::RegistryStep;
use fescuetide_fleet::order_candidates;
use indexmap::IndexMap;

const TICK: SpanMillis = SpanMillis::new(500);

/// Time between two queries of a gateway, after pauses that double from the first one on.
const FIRST_PAUSE: SpanMillis = SpanMillis::new(500);
const LAST_PAUSE: SpanMillis = SpanMillis::new(10_000);

/// Gateways that are asked of those found in the log, without and with others that are known, and those of them that have to answer.
const FOUND_QUERIES: usize = 8;
const MORE_FOUND_QUERIES: usize = 2;
const FOUND_ANSWERS: usize = 3;

/// Time without a sign of life after which a gateway counts as gone.
const PEER_TIMEOUT: SpanMillis = SpanMillis::new(60_000);

/// Within this time after the start, all gateways know all others.
const DISCOVERY_TIME: SpanMillis = SpanMillis::new(20_000);

fn address(index: usize) -> SocketAddr {
    let [.., high, low] = (index as u32).to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 8_229))
}

struct SimulatedGateway {
    table: PeerTable,
    schedule: RegistrySchedule,
    is_alive: bool,
    next_query_at: ClockMillis,
    pause: SpanMillis,
}

/// Gateways, and the records of gateways in the log.
struct PeerFleet {
    gateways: Vec<SimulatedGateway>,
    records: IndexMap<SocketAddr, GatewayEntry>,
    is_log_away: bool,
    /// Calls to the log.
    writes: usize,
    listings: usize,
    now: ClockMillis,
    draws: DrawSequence,
}

impl PeerFleet {
    fn new(seed: u64) -> Self {
        Self {
            gateways: Vec::new(),
            records: IndexMap::new(),
            is_log_away: false,
            writes: 0,
            listings: 0,
            now: ClockMillis::new(1_000_000),
            draws: DrawSequence::new(seed),
        }
    }

    /// Starts gateways with these seeds.
    fn start(&mut self, count: usize, seeds: &[SocketAddr]) {
        for _ in 0..count {
            let index = self.gateways.len();
            let now = self.now;
            self.gateways.push(SimulatedGateway {
                table: PeerTable::new(address(index), seeds, now),
                schedule: RegistrySchedule::new(self.draws.next_number(), now),
                is_alive: true,
                next_query_at: now,
                pause: FIRST_PAUSE,
            });
            let seeds = seeds.to_vec();
            self.query_all(index, &seeds, usize::MAX);
        }
    }

    fn run(&mut self, span: SpanMillis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            for index in 0..self.gateways.len() {
                if self.gateways[index].is_alive {
                    self.step(index);
                }
            }
        }
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let peers = self.peer_count(index);
        let gateway = &mut self.gateways[index];
        if let Some(step) = gateway.schedule.take_step(peers, now) {
            self.call_log(index, step);
        }
        let gateway = &mut self.gateways[index];
        if now >= gateway.next_query_at {
            gateway.next_query_at = now + gateway.pause;
            gateway.pause = (gateway.pause + gateway.pause).min(LAST_PAUSE);
            if let Some(peer) = gateway.table.next_peer(now) {
                self.query(index, peer);
            }
        }
        // A digest to one gateway.
        let peers = self.gateways[index].table.list_recent(now);
        let draw = self.draws.next_number();
        let receiver = draw
            .checked_rem(peers.len() as u64)
            .and_then(|draw| self.find(peers[draw as usize]));
        if let Some(receiver) = receiver {
            let sender = address(index);
            self.gateways[receiver].table.refresh(sender, now);
        }
    }

    /// The gateway at an address, if it lives.
    fn find(&self, wanted: SocketAddr) -> Option<usize> {
        let [_, _, high, low] = match wanted {
            SocketAddr::V4(wanted) => wanted.ip().octets(),
            SocketAddr::V6(_) => return None,
        };
        let index = usize::from(high) << 8 | usize::from(low);
        let gateway = self.gateways.get(index)?;
        gateway.is_alive.then_some(index)
    }

    /// Number of gateways that one knows to live, by more than the settings.
    fn peer_count(&self, index: usize) -> usize {
        let table = &self.gateways[index].table;
        match table.has_contact(self.now) {
            true => table.list_recent(self.now).len(),
            false => 0,
        }
    }

    fn call_log(&mut self, index: usize, step: RegistryStep) {
        let now = self.now;
        let own = address(index);
        let peers = self.peer_count(index);
        let schedule = &mut self.gateways[index].schedule;
        if self.is_log_away {
            schedule.note_failed(now);
            return;
        }
        match step {
            RegistryStep::Write => {
                self.writes += 1;
                let entry = GatewayEntry {
                    address: own,
                    renewed_at: now,
                };
                self.records.insert(own, entry);
                schedule.note_written(now);
            }
            RegistryStep::List => {
                self.listings += 1;
                self.records.retain(|_, entry| !entry.is_expired(now));
                let entries: Vec<GatewayEntry> = self.records.values().copied().collect();
                schedule.note_listed(self.records.contains_key(&own), peers, now);
                let live = self.gateways[index].table.list_recent(now);
                let found = order_candidates(&entries, own, index as u64, now);
                let mut found: Vec<SocketAddr> = found.into_iter().collect();
                found.retain(|gateway| !live.contains(gateway));
                found.truncate(match peers {
                    0 => FOUND_QUERIES,
                    _ => MORE_FOUND_QUERIES,
                });
                self.query_all(index, &found, FOUND_ANSWERS);
            }
        }
    }

    fn query_all(&mut self, index: usize, peers: &[SocketAddr], answers: usize) {
        let mut answered = 0;
        for peer in peers {
            if answered < answers {
                answered += usize::from(self.query(index, *peer));
            }
        }
    }

    /// Exchanges what two gateways know. Returns whether the other one answers.
    fn query(&mut self, index: usize, peer: SocketAddr) -> bool {
        let Some(other) = self.find(peer) else {
            return false;
        };
        if other == index {
            return false;
        }
        let now = self.now;
        for (from, to) in [(index, other), (other, index)] {
            let news = self.gateways[from].table.news(now);
            let table = &mut self.gateways[to].table;
            table.record_contact(address(from), now);
            for news in news {
                table.merge(news, now);
            }
        }
        true
    }

    /// Checks that each gateway that lives counts exactly the others that do.
    fn assert_all_known(&self, what: &str) {
        let mut live = Vec::new();
        for (index, gateway) in self.gateways.iter().enumerate() {
            if gateway.is_alive {
                live.push(address(index));
            }
        }
        for (index, gateway) in self.gateways.iter().enumerate() {
            if !gateway.is_alive {
                continue;
            }
            let mut known = gateway.table.list_recent(self.now);
            known.push(address(index));
            known.sort_unstable();
            assert_eq!(known, live, "{what}: gateway {index}");
        }
    }
}

const SIZES: [usize; 5] = [2, 4, 20, 103, 340];

/// Nothing listens at these addresses.
fn stale_seeds() -> Vec<SocketAddr> {
    vec![address(60_001), address(60_002), address(60_003)]
}

/// Guards against gateways that do not find each other without seeds, and so use what they share once each.
#[test]
fn gateways_without_seeds_find_each_other() {
    for size in SIZES {
        let mut fleet = PeerFleet::new(size as u64);
        fleet.start(size, &[]);
        fleet.run(DISCOVERY_TIME);
        fleet.assert_all_known(&format!("{size} gateways"));
    }
}

/// Guards against stale seeds that count as gateways for good, or hide that there are others.
#[test]
fn gateways_with_stale_seeds_find_each_other() {
    for size in SIZES {
        let mut fleet = PeerFleet::new(size as u64);
        fleet.start(size, &stale_seeds());
        fleet.run(PEER_TIMEOUT + SpanMillis::new(1_000));
        fleet.assert_all_known(&format!("{size} gateways"));
    }
}

/// Guards against gateways that stay alone since the log was away when they started.
#[test]
fn gateways_that_start_in_an_outage_of_the_log_find_each_other_later() {
    let mut fleet = PeerFleet::new(7);
    fleet.is_log_away = true;
    fleet.start(7, &[]);
    fleet.run(SpanMillis::new(60_000));
    fleet.is_log_away = false;
    fleet.run(DISCOVERY_TIME);
    fleet.assert_all_known("after the outage");
}

/// Guards against gateways that know each other, as two groups with seeds of their own do, and do not look for others.
#[test]
fn groups_with_seeds_of_their_own_find_each_other() {
    let mut fleet = PeerFleet::new(8);
    fleet.start(4, &[address(0)]);
    fleet.start(4, &[address(4)]);
    fleet.run(SpanMillis::new(60_000));
    fleet.assert_all_known("two groups");
}

/// Guards against gateways that are gone and count as live again and again, since others report them, and against live ones that are
/// dropped, since in large fleets hours pass between two queries of the same two gateways.
#[test]
fn gateways_that_are_gone_stop_counting_and_others_go_on() {
    for size in SIZES {
        let mut fleet = PeerFleet::new(size as u64);
        fleet.start(1, &[]);
        fleet.start(size - 1, &[address(0)]);
        for round in 0..15 {
            fleet.run(SpanMillis::new(10_000));
            fleet.assert_all_known(&format!("{size} gateways, round {round}"));
        }
        for index in 0..size / 2 {
            fleet.gateways[index * 2].is_alive = false;
        }
        fleet.run(PEER_TIMEOUT + TICK);
        for round in 0..5 {
            fleet.assert_all_known(&format!("{size} gateways, half gone, round {round}"));
            fleet.run(SpanMillis::new(10_000));
        }
    }
}

/// Guards against gateways that start one after the other with stale seeds, at new addresses, and do not find the others among many
/// records of gateways that are gone.
#[test]
fn gateways_are_found_among_records_of_those_that_are_gone() {
    let mut fleet = PeerFleet::new(5);
    fleet.start(40, &[]);
    fleet.run(DISCOVERY_TIME);
    for index in 0..39 {
        fleet.gateways[index].is_alive = false;
        fleet.start(1, &stale_seeds());
        fleet.run(SpanMillis::new(5_000));
    }
    fleet.run(PEER_TIMEOUT + SpanMillis::new(1_000));
    fleet.assert_all_known("after all were replaced");
    fleet.run(SpanMillis::new(420_000));
    assert_eq!(fleet.records.len(), 40, "records of gateways that are gone");
}

/// Guards against a load of the log that grows with the square of the number of gateways.
#[test]
fn calls_to_the_log_are_few() {
    const MINUTES: usize = 5;
    for size in [4, 103, 340] {
        let mut fleet = PeerFleet::new(size as u64);
        fleet.start(1, &[]);
        fleet.start(size - 1, &[address(0)]);
        fleet.run(SpanMillis::new(2_000));
        let (writes, listings) = (fleet.writes, fleet.listings);
        // Those that started first do not know yet how many there are.
        let most_writes = 8 + size / 10;
        assert!(
            writes <= most_writes && listings <= 2,
            "{size} gateways: {writes} writes, {listings} listings"
        );
        fleet.run(SpanMillis::new(MINUTES as u64 * 60_000));
        let (writes, listings) = (fleet.writes, fleet.listings);
        // Each gateway writes about every two minutes, and all together list the records about every 5 s.
        let most_writes = size * MINUTES;
        let most_listings = MINUTES * 60 / 3;
        assert!(writes <= most_writes, "{size} gateways: {writes} writes");
        assert!(
            listings <= most_listings,
            "{size} gateways: {listings} listings"
        );
    }
}
