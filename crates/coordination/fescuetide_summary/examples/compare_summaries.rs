//! Simulates methods of distributing the mean load of a pool to all routers and compares their traffic, staleness and
//! error.
//!
//! The load of each engine varies around 8. It has an independent component with a standard deviation of 2 and a
//! half-life of 1 s, and a component common to all engines, as under changing traffic, with a standard deviation of 1
//! and a half-life of 30 s. Every 500 ms each engine reports to one of the routers (19 engines per router, at least 3
//! routers), and all methods exchange data at the same interval. A message counts as 100 bytes and a reply as 60 bytes,
//! which is about the size of an exchange for two pools including its RPC envelope.

use std::collections::VecDeque;

use fescuetide_base::VmName;
use fescuetide_summary::SummaryTree;

const PERIODS: usize = 200;
const PERIOD_S: f64 = 0.5;
const MESSAGE_BYTES: f64 = 100.0;
const REPLY_BYTES: f64 = 60.0;
const SAMPLE_SIZE: usize = 16;

/// SplitMix64 generator (Steele, Lea, Flood, 2014).
struct SplitMix64(u64);

impl SplitMix64 {
    fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, limit: usize) -> usize {
        (self.draw() % limit as u64) as usize
    }

    /// Approximates a normal distribution with variance 1 by the sum of 12 uniform numbers.
    fn normal(&mut self) -> f64 {
        let sum: f64 = (0..12).map(|_| self.draw() as f64 / u64::MAX as f64).sum();
        sum - 6.0
    }
}

/// Traffic and accuracy of one method.
#[derive(Default)]
struct MethodStats {
    /// Bytes sent and received by all routers for exchanges.
    bytes: f64,
    /// Bytes sent and received by the busiest router.
    busiest: f64,
    age: f64,
    errors: Vec<f64>,
}

impl MethodStats {
    fn print(&mut self, name: &str, routers: usize) {
        self.errors.sort_by(f64::total_cmp);
        let seconds = PERIODS as f64 * PERIOD_S;
        let at =
            |share: f64| self.errors[((self.errors.len() - 1) as f64 * share) as usize] * 100.0;
        println!(
            "| {name} | {:.0} | {:.0} | {:.2} | {:.2} | {:.2} |",
            self.bytes / routers as f64 / seconds,
            self.busiest / seconds,
            self.age,
            at(0.5),
            at(0.99),
        );
    }
}

struct ModelFleet {
    engines: usize,
    routers: usize,
    random: SplitMix64,
    loads: Vec<f64>,
    /// Deviation common to all engines.
    common: f64,
    /// Load sums of the routers, newest first.
    history: VecDeque<Vec<f64>>,
}

impl ModelFleet {
    fn new(engines: usize) -> Self {
        Self {
            engines,
            routers: engines.div_ceil(19).max(3),
            random: SplitMix64(7),
            loads: vec![8.0; engines],
            common: 0.0,
            history: VecDeque::new(),
        }
    }

    fn mean(&self) -> f64 {
        self.loads.iter().sum::<f64>() / self.engines as f64
    }

    fn step(&mut self) {
        let keep = 0.5_f64.powf(PERIOD_S);
        let change = (1.0 - keep * keep).sqrt();
        let keep_common = 0.5_f64.powf(PERIOD_S / 30.0);
        let previous = self.common;
        let innovation = self.random.normal() * (1.0 - keep_common * keep_common).sqrt();
        self.common = self.common * keep_common + innovation;
        for load in &mut self.loads {
            let own = (*load - 8.0 - previous) * keep + 2.0 * self.random.normal() * change;
            *load = 8.0 + self.common + own;
        }
        let mut sums = vec![0.0; self.routers];
        for (index, load) in self.loads.iter().enumerate() {
            sums[index % self.routers] += load;
        }
        self.history.push_front(sums);
        self.history.truncate(16);
    }

    fn sum_of(&self, router: usize, age: usize) -> f64 {
        self.history[age.min(self.history.len() - 1)][router]
    }

    fn count_of(&self, router: usize) -> f64 {
        ((self.engines - router).div_ceil(self.routers)) as f64
    }
}

/// Full mesh: every router sends its sums to every other router.
fn run_full_mesh(engines: usize) {
    let mut fleet = ModelFleet::new(engines);
    let mut stats = MethodStats::default();
    let others = (fleet.routers - 1) as f64;
    for _ in 0..PERIODS {
        fleet.step();
        let estimate: f64 = (0..fleet.routers)
            .map(|router| fleet.sum_of(router, 1))
            .sum();
        let mean = fleet.mean();
        stats
            .errors
            .push((estimate / engines as f64 - mean).abs() / mean);
        stats.bytes += fleet.routers as f64 * others * 2.0 * (MESSAGE_BYTES + REPLY_BYTES);
        stats.busiest += others * 2.0 * (MESSAGE_BYTES + REPLY_BYTES);
    }
    stats.age = PERIOD_S;
    stats.print("every router to every other", fleet.routers);
}

fn run_tree(engines: usize) {
    let mut fleet = ModelFleet::new(engines);
    let names: Vec<VmName> = (0..fleet.routers)
        .filter_map(|index| format!("router-{index}").parse().ok())
        .collect();
    let tree = SummaryTree::new(names.clone());
    let parents: Vec<Option<usize>> = names
        .iter()
        .map(|name| {
            let parent = tree.parent(name, |_| false)?;
            names.iter().position(|other| other == parent)
        })
        .collect();
    let mut depths = vec![0_usize; fleet.routers];
    let mut links = vec![0; fleet.routers];
    for router in 0..fleet.routers {
        let mut node = router;
        while let Some(parent) = parents[node] {
            depths[router] += 1;
            node = parent;
        }
        if let Some(parent) = parents[router] {
            links[router] += 1;
            links[parent] += 1;
        }
    }
    let mut stats = MethodStats::default();
    let mut ages = 0.0;
    let most = links.iter().copied().max().unwrap_or_default() as f64;
    for _ in 0..PERIODS {
        fleet.step();
        let mean = fleet.mean();
        for reader in 0..fleet.routers {
            let mut estimate = 0.0;
            for (router, depth) in depths.iter().enumerate() {
                // Sums take one period per level on the way up, and one per level on the way down.
                let age = 1 + depth + depths[reader].saturating_sub(1);
                estimate += fleet.sum_of(router, age);
                ages += age as f64 * PERIOD_S;
            }
            stats
                .errors
                .push((estimate / engines as f64 - mean).abs() / mean);
        }
        let count: usize = links.iter().sum();
        stats.bytes += count as f64 * (MESSAGE_BYTES + REPLY_BYTES);
        stats.busiest += most * (MESSAGE_BYTES + REPLY_BYTES);
    }
    stats.age = ages / (PERIODS * fleet.routers * fleet.routers) as f64;
    stats.print("tree of fan-in 8", fleet.routers);
}

/// Push-sum (Kempe, Dobra, Gehrke, "Gossip-Based Computation of Aggregate Information", 2003): in each round, a router
/// sends half of its sum and weight to a random peer and adds the changes of its own sum.
fn run_push_sum(engines: usize) {
    let mut fleet = ModelFleet::new(engines);
    let routers = fleet.routers;
    let mut sums = vec![0.0; routers];
    let mut weights: Vec<f64> = (0..routers).map(|router| fleet.count_of(router)).collect();
    let mut known = vec![0.0; routers];
    let mut stats = MethodStats::default();
    let mut received_most = 0;
    for period in 0..PERIODS + 50 {
        fleet.step();
        for router in 0..routers {
            let own = fleet.sum_of(router, 0);
            sums[router] += own - known[router];
            known[router] = own;
        }
        let (mut next_sums, mut next_weights) = (vec![0.0; routers], vec![0.0; routers]);
        let mut received = vec![0; routers];
        for router in 0..routers {
            let target = (router + 1 + fleet.random.below(routers - 1)) % routers;
            for node in [router, target] {
                next_sums[node] += sums[router] / 2.0;
                next_weights[node] += weights[router] / 2.0;
            }
            received[target] += 1;
        }
        (sums, weights) = (next_sums, next_weights);
        if period < 50 {
            continue;
        }
        received_most += received.iter().copied().max().unwrap_or_default();
        let mean = fleet.mean();
        for router in 0..routers {
            stats
                .errors
                .push((sums[router] / weights[router] - mean).abs() / mean);
        }
        stats.bytes += 2.0 * routers as f64 * MESSAGE_BYTES;
    }
    stats.busiest = (PERIODS + received_most) as f64 * MESSAGE_BYTES;
    // Gossip spreads a change to all n routers in about log2 n + ln n rounds.
    stats.age = ((routers as f64).log2() + (routers as f64).ln()) * PERIOD_S;
    stats.print("push-sum gossip", routers);
}

/// Sampling: each router polls the loads of random engines in each period.
fn run_sampling(engines: usize) {
    let mut fleet = ModelFleet::new(engines);
    let mut stats = MethodStats::default();
    let size = SAMPLE_SIZE.min(engines) as f64;
    for _ in 0..PERIODS {
        fleet.step();
        let mean = fleet.mean();
        for _ in 0..fleet.routers {
            let mut sum = 0.0;
            for _ in 0..SAMPLE_SIZE {
                let engine = fleet.random.below(engines);
                sum += fleet.loads[engine];
            }
            let estimate = sum / SAMPLE_SIZE as f64;
            stats.errors.push((estimate - mean).abs() / mean);
            stats.bytes += size * (MESSAGE_BYTES + REPLY_BYTES);
        }
        stats.busiest += size * (MESSAGE_BYTES + REPLY_BYTES);
    }
    stats.print("sampling 16 engines", fleet.routers);
}

fn main() {
    for engines in [12, 100, 1_000, 6_300] {
        println!(
            "\n{engines} engines, {} routers\n",
            ModelFleet::new(engines).routers
        );
        println!(
            "| way | bytes/s per router | busiest router | mean age, s | error p50, % | error p99, % |"
        );
        println!("| --- | ---: | ---: | ---: | ---: | ---: |");
        run_full_mesh(engines);
        run_tree(engines);
        run_push_sum(engines);
        run_sampling(engines);
    }
}
