//! Property test of the aggregation tree when collectors fail that are still in the VM list.

use fescuetide_base::ClockMillis;
use fescuetide_base::LoadCount;
use fescuetide_base::PoolName;
use fescuetide_base::VmName;
use fescuetide_summary::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const PERIOD_MS: u64 = 500;

/// Number of upstreams that report to each collector.
const REPORTS: u32 = 3;

struct TreeFleet {
    pool: PoolName,
    names: Vec<VmName>,
    tree: SummaryTree,
    collectors: Vec<LoadCollector>,
    lost: Vec<usize>,
    period: u64,
}

impl TreeFleet {
    fn new(count: usize) -> Self {
        let name = |index| format!("router-{index}").parse().expect("name");
        let names: Vec<VmName> = (0..count).map(name).collect();
        Self {
            pool: "pool".parse().expect("name"),
            tree: SummaryTree::new(names.clone()),
            collectors: vec![LoadCollector::default(); count],
            names,
            lost: Vec::new(),
            period: 0,
        }
    }

    fn is_lost(&self, name: &VmName) -> bool {
        self.lost.iter().any(|index| self.names[*index] == *name)
    }

    fn parent(&self, index: usize) -> Option<usize> {
        let parent = self
            .tree
            .parent(&self.names[index], |name| self.is_lost(name))?;
        self.names.iter().position(|name| name == parent)
    }

    fn depth(&self, index: usize) -> usize {
        self.parent(index)
            .map_or(0, |parent| 1 + self.depth(parent))
    }

    /// Runs one period: reports, then exchanges in list order. Reports for a lost collector go to the next one.
    fn step(&mut self) {
        self.period += 1;
        let now = ClockMillis::new(self.period * PERIOD_MS);
        let count = self.names.len();
        for index in 0..count {
            let mut target = index;
            while self.lost.contains(&target) {
                target = (target + 1) % count;
            }
            for number in 0..REPORTS {
                let report = UpstreamReport {
                    vm: format!("engine-{index}-{number}").parse().expect("name"),
                    pool: self.pool.clone(),
                    load: LoadCount::new(number),
                };
                self.collectors[target].note_report(report, now);
            }
        }
        for index in (0..count).filter(|index| !self.lost.contains(index)) {
            self.collectors[index].expire(now);
            let Some(parent) = self.parent(index) else {
                continue;
            };
            let sums = self.collectors[index].subtree_sums();
            self.collectors[parent].note_child(self.names[index].clone(), sums, now);
            let total = self.collectors[parent].total_sums();
            self.collectors[index].note_total(total, now);
        }
    }

    fn count_at(&self, index: usize) -> u32 {
        self.collectors[index]
            .total_sums()
            .get(&self.pool)
            .map_or(0, |sum| sum.count)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(55),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a tree with two roots, too many children or too many levels, upstreams that are still missing two
    /// periods after the loss of a collector, and a total of more than twice the number of upstreams.
    #[test]
    fn sums_are_whole_again_two_periods_after_a_loss(count in 2_usize..120, loss in any::<prop::sample::Index>()) {
        let mut fleet = TreeFleet::new(count);
        let mut children = vec![0; count];
        let mut roots = 0;
        for index in 0..count {
            match fleet.parent(index) {
                Some(parent) => children[parent] += 1,
                None => roots += 1,
            }
            prop_assert!(fleet.depth(index) <= 3);
        }
        prop_assert_eq!(roots, 1);
        prop_assert!(children.iter().all(|children| *children <= TREE_FAN_IN));
        // Sums take one period per level on the way up, and one per level on the way down.
        for _ in 0..8 {
            fleet.step();
        }
        let whole = count as u32 * REPORTS;
        prop_assert!((0..count).all(|index| fleet.count_at(index) == whole));

        fleet.lost.push(loss.index(count));
        let rest: Vec<usize> = (0..count).filter(|index| !fleet.lost.contains(index)).collect();
        let root = rest.iter().copied().find(|index| fleet.parent(*index).is_none()).expect("root");
        for period in 1..12 {
            fleet.step();
            let found = fleet.count_at(root);
            prop_assert!(period < 2 || found >= whole, "{found} of {whole} after {period} periods");
            prop_assert!(found <= 2 * whole, "{found} of {whole} after {period} periods");
        }
        prop_assert!(rest.iter().all(|index| fleet.count_at(*index) == whole));
    }
}
