//! Simulation of gateways that read upstreams' entries from a log which comes back from older copies, at random times and with
//! copies of random ages, while upstreams start, drain and end.

use std::collections::HashMap;
use std::collections::HashSet;

use fescuetide_base::LogEra;
use fescuetide_base::prelude::*;
use fescuetide_fleet::EraTracker;
use fescuetide_fleet::EraVerdict;
use fescuetide_fleet::SoftwareVersion;
use fescuetide_fleet::UpstreamChange;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_fleet::UpstreamState;
use fescuetide_fleet::UpstreamTable;
use fescuetide_fuzz::SeededRandom;

/// Number of seeds, unless [`SEEDS_VARIABLE`] is set.
const DEFAULT_SEEDS: u64 = 60;

/// Environment variable with the number of seeds.
const SEEDS_VARIABLE: &str = "FESCUETIDE_RESTORE_SEEDS";

const GATEWAYS: usize = 4;

const UPSTREAMS: usize = 8;

/// Simulated time per step.
const STEP: SpanMillis = SpanMillis::new(100);

/// Length of a run with disturbances.
const LENGTH: SpanMillis = SpanMillis::new(60_000);

/// Time after the last disturbance by which all gateways agree with the upstreams.
const AGREEMENT_LIMIT: SpanMillis = SpanMillis::new(8_000);

/// Interval at which upstreams write their entries.
const HEARTBEAT: SpanMillis = SpanMillis::new(1_200);

/// Silence after which the log removes an entry.
const SILENCE_LIMIT: SpanMillis = SpanMillis::new(3_600);

/// Interval at which gateways read.
const READ_INTERVAL: SpanMillis = SpanMillis::new(600);

/// Greatest age of a copy.
const MAX_COPY_AGE_MS: u64 = 15_000;

#[derive(Clone, Debug)]
struct LogRecord {
    at: ClockMillis,
    name: VmName,
    entry: Option<UpstreamEntry>,
}

/// The log with the entries of upstreams.
struct SimulatedLog {
    records: Vec<LogRecord>,
    era: LogEra,
    restored_at: ClockMillis,
}

impl SimulatedLog {
    fn newest(&self) -> HashMap<VmName, LogRecord> {
        let mut newest = HashMap::new();
        for record in &self.records {
            newest.insert(record.name.clone(), record.clone());
        }
        newest
    }

    fn list(&self) -> Vec<UpstreamEntry> {
        let newest = self.newest();
        newest
            .into_values()
            .filter_map(|record| record.entry)
            .collect()
    }

    /// Comes back from a copy taken at `until`.
    fn restore(&mut self, until: ClockMillis, now: ClockMillis) {
        self.records.retain(|record| record.at <= until);
        self.era = LogEra::new(self.era.get() + 1);
        self.restored_at = now;
    }

    /// Removes the entries of silent upstreams.
    fn expire(&mut self, now: ClockMillis) {
        for (name, record) in self.newest() {
            let since = record.at.max(self.restored_at);
            if record.entry.is_some() && now.since(since) >= SILENCE_LIMIT {
                self.records.push(LogRecord {
                    at: now,
                    name,
                    entry: None,
                });
            }
        }
    }
}

struct SimulatedUpstream {
    /// `None` while it is down.
    entry: Option<UpstreamEntry>,
    starts: u64,
    written_at: ClockMillis,
}

#[derive(Default)]
struct SimulatedGateway {
    table: UpstreamTable,
    tracker: EraTracker,
    position: Option<usize>,
    read_at: ClockMillis,
    /// Upstreams that this gateway knew to leave, or to have left.
    left: HashSet<(VmName, ProcessIncarnation)>,
}

impl SimulatedGateway {
    fn read(&mut self, log: &SimulatedLog, now: ClockMillis) {
        let before: Vec<_> = self.table.iter().cloned().collect();
        let verdict = self.tracker.note(Some(&log.era.to_string()));
        let is_restored = verdict != EraVerdict::Unchanged;
        match self
            .position
            .filter(|from| !is_restored && *from <= log.records.len())
        {
            Some(from) => {
                for record in &log.records[from..] {
                    let change = match &record.entry {
                        Some(entry) => UpstreamChange::Written(entry.clone()),
                        None => UpstreamChange::Removed(record.name.clone()),
                    };
                    self.table.apply(change, false, now);
                }
            }
            None if is_restored => {
                self.table.restore(log.list(), now);
            }
            None => self.table.replace(log.list(), false, now),
        }
        self.position = Some(log.records.len());
        self.table.expire(now);
        self.note_left(&before);
    }

    fn note_left(&mut self, before: &[UpstreamEntry]) {
        for entry in before {
            let known = self.table.iter().find(|known| known.name == entry.name);
            if known.is_none() {
                self.left.insert((entry.name.clone(), entry.incarnation));
            }
        }
        for entry in self.table.iter() {
            if entry.state == UpstreamState::Leaving {
                self.left.insert((entry.name.clone(), entry.incarnation));
            }
        }
    }
}

struct RestoreSimulation {
    random: SeededRandom,
    now: ClockMillis,
    log: SimulatedLog,
    upstreams: Vec<SimulatedUpstream>,
    gateways: Vec<SimulatedGateway>,
}

impl RestoreSimulation {
    fn new(seed: u64) -> Self {
        let now = ClockMillis::new(1_000_000);
        let upstreams = (0..UPSTREAMS).map(|_| SimulatedUpstream {
            entry: None,
            starts: 0,
            written_at: now,
        });
        Self {
            random: SeededRandom::new(seed),
            now,
            log: SimulatedLog {
                records: Vec::new(),
                era: LogEra::new(1),
                restored_at: now,
            },
            upstreams: upstreams.collect(),
            gateways: (0..GATEWAYS).map(|_| SimulatedGateway::default()).collect(),
        }
    }

    fn run(&mut self) {
        let end = self.now + LENGTH;
        while self.now < end {
            self.step();
            if self.random.below(80) == 0 {
                let age = SpanMillis::new(self.random.below(MAX_COPY_AGE_MS));
                let until = ClockMillis::new(self.now.as_millis() - age.as_millis());
                self.log.restore(until, self.now);
            }
            for index in 0..UPSTREAMS {
                if self.random.below(100) == 0 {
                    self.change_upstream(index);
                }
            }
        }
        let end = self.now + AGREEMENT_LIMIT;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        for upstream in &mut self.upstreams {
            let Some(entry) = &upstream.entry else {
                continue;
            };
            let lost = self.log.restored_at > upstream.written_at;
            let is_due = now.since(upstream.written_at) >= HEARTBEAT;
            if is_due || (lost && self.random.below(6) == 0) {
                upstream.written_at = now;
                self.log.records.push(LogRecord {
                    at: now,
                    name: entry.name.clone(),
                    entry: Some(entry.clone()),
                });
            }
        }
        self.log.expire(now);
        for gateway in &mut self.gateways {
            if now.since(gateway.read_at) >= READ_INTERVAL {
                let delay = SpanMillis::new(self.random.below(200));
                gateway.read_at = now + delay;
                gateway.read(&self.log, now);
            }
        }
        self.check_departures();
    }

    /// A ready upstream drains, a draining one ends, and one that is down starts.
    fn change_upstream(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        upstream.entry = match upstream.entry.take() {
            Some(entry) if entry.state == UpstreamState::Ready => Some(UpstreamEntry {
                state: UpstreamState::Leaving,
                ..entry
            }),
            Some(_) => None,
            None => {
                upstream.starts += 1;
                Some(new_entry(index, upstream.starts))
            }
        };
        // The change is written at once.
        upstream.written_at = ClockMillis::default();
    }

    /// No upstream that a gateway knew to leave is ready there again within the same incarnation. One that a gateway dropped, since
    /// it wrote its entry late after a restore, may be.
    fn check_departures(&self) {
        for gateway in &self.gateways {
            for entry in gateway.table.iter() {
                let key = (entry.name.clone(), entry.incarnation);
                let is_back = entry.state == UpstreamState::Ready && gateway.left.contains(&key);
                let is_wrong = is_back && !self.is_ready(entry);
                assert!(!is_wrong, "{} is ready again at {}", entry.name, self.now);
            }
        }
    }

    fn is_ready(&self, entry: &UpstreamEntry) -> bool {
        let mut entries = self.upstreams.iter().filter_map(|one| one.entry.as_ref());
        entries.any(|other| other == entry)
    }

    fn check_agreement(&self) {
        let mut alive: Vec<_> = self
            .upstreams
            .iter()
            .filter_map(|one| one.entry.clone())
            .collect();
        alive.sort_by(|one, other| one.name.as_str().cmp(other.name.as_str()));
        for gateway in &self.gateways {
            let mut known: Vec<_> = gateway.table.iter().cloned().collect();
            known.sort_by(|one, other| one.name.as_str().cmp(other.name.as_str()));
            assert_eq!(known, alive);
        }
    }
}

fn new_entry(index: usize, starts: u64) -> UpstreamEntry {
    UpstreamEntry {
        name: format!("vm-{index}").parse().unwrap(),
        incarnation: ProcessIncarnation::new(starts),
        pool: "engines".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        version: SoftwareVersion::default(),
        slots: 4,
        state: UpstreamState::Ready,
    }
}

/// Guards against gateways that never agree with the log again, and against upstreams that count as ready again because a copy
/// is older than their end.
#[test]
fn gateways_agree_with_the_upstreams_after_restores() {
    let seeds = std::env::var(SEEDS_VARIABLE);
    let seeds = seeds.map_or(DEFAULT_SEEDS, |text| text.parse().unwrap());
    for seed in 0..seeds {
        println!("seed {seed}");
        let mut simulation = RestoreSimulation::new(seed);
        simulation.run();
        simulation.check_agreement();
    }
}
