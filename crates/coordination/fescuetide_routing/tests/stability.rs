//! Stability of the ranking under membership changes, differing VM lists and changing demand.

use fescuetide_base::ChatName;
use fescuetide_base::ClockMillis;
use fescuetide_base::ModelName;
use fescuetide_base::PoolName;
use fescuetide_base::StableHash;
use fescuetide_base::WorkspaceName;
use fescuetide_routing::prelude::*;
use fescuetide_routing::rank_upstreams;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn hashes(count: usize) -> Vec<u64> {
    (0..count)
        .map(|index| StableHash::hash_bytes(format!("engine-{index}").as_bytes()))
        .collect()
}

/// Returns the hashes of the upstreams for a chat, best first.
fn route(workspace: usize, chat: usize, vms: &[u64], shard: usize, count: usize) -> Vec<u64> {
    let workspace: WorkspaceName = format!("workspace-{workspace}").parse().expect("name");
    let model: ModelName = "deck-1".parse().expect("name");
    let chat: ChatName = format!("chat-{chat}").parse().expect("name");
    let key = RankKey {
        workspace: &workspace,
        model: Some(&model),
        chat: Some(&chat),
    };
    let order = rank_upstreams(&key, vms, ShardSize::at_least(shard), count);
    order.into_iter().map(|index| vms[index as usize]).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(54),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a ranking that depends on the order of the VM list or on the number of requested candidates: when
    /// the first choice is full, every router must select the same second choice.
    #[test]
    fn order_is_the_same_everywhere(
        (count, order) in (1_usize..400).prop_flat_map(|count| {
            (Just(count), Just((0..count).collect::<Vec<_>>()).prop_shuffle())
        }),
        workspace in 0_usize..100, chat in 0_usize..100, log in 0_u32..6, head in 1_usize..40,
    ) {
        let vms = hashes(count);
        let shuffled: Vec<u64> = order.iter().map(|index| vms[*index]).collect();
        let shard = 1 << log;
        let whole = route(workspace, chat, &vms, shard, count);
        let part = route(workspace, chat, &shuffled, shard, head);
        prop_assert_eq!(whole.len(), count);
        prop_assert_eq!(part.len(), head.max(shard).min(count));
        prop_assert_eq!(&whole[..part.len()], &part[..]);
    }

    /// Guards against a VM that moves more than its own share of chats when it leaves or, by symmetry, joins: chats
    /// move only away from this VM, or to the one that replaces it in the shard.
    #[test]
    fn leaving_vm_moves_only_its_share(
        count in 2_usize..200, leaving in any::<prop::sample::Index>(), workspace in 0_usize..50, log in 0_u32..5,
    ) {
        let before = hashes(count);
        let mut after = before.clone();
        let removed = after.remove(leaving.index(count));
        let shard = 1_usize << log;
        let mut replacements = Vec::new();
        for chat in 0..40 {
            let old = route(workspace, chat, &before, shard, count);
            let new = route(workspace, chat, &after, shard, count);
            let kept: Vec<u64> = old.iter().copied().filter(|vm| *vm != removed).collect();
            if !old[..shard.min(count)].contains(&removed) {
                prop_assert_eq!(kept, new);
            } else if old[0] != removed && new[0] != old[0] {
                replacements.push(new[0]);
            }
        }
        replacements.dedup();
        prop_assert!(replacements.len() <= 1, "chats moved onto {} VMs", replacements.len());
    }
}

/// Guards against routers making different decisions because their VM lists differ by a few VMs.
#[test]
fn differing_views_agree_on_nearly_all_routes() {
    for (count, chats) in [(12, 4_000), (6_300, 8_000)] {
        for missing in [1, 2, 5] {
            let one = hashes(count);
            // Each list lacks different VMs, `missing` in total.
            let other: Vec<u64> = one[missing / 2..].to_vec();
            let one = &one[..count - (missing - missing / 2)];
            let same = (0..chats).filter(|chat| {
                let workspace = chat % 4_000;
                route(workspace, *chat, one, 4, 8)[0] == route(workspace, *chat, &other, 4, 8)[0]
            });
            let share = same.count() as f64 / chats as f64;
            println!("views differ by {missing} of {count}: {share:.4} of routes agree");
            // Each VM that is in only one of the lists moves its own share and that of the VM that replaces it.
            let least = 1.0 - 2.0 * missing as f64 / count as f64 - 0.02;
            assert!(share >= least, "{share} < {least}");
        }
    }
}

struct DemandRun {
    table: DemandTable,
    pool: PoolName,
    workspaces: Vec<WorkspaceName>,
}

impl DemandRun {
    fn new(settings: DemandSettings, workspaces: usize) -> Self {
        let name = |index| format!("workspace-{index}").parse().expect("name");
        Self {
            table: DemandTable::new(settings),
            pool: "pool".parse().expect("name"),
            workspaces: (0..workspaces).map(name).collect(),
        }
    }

    fn note(&mut self, workspace: usize, upstreams: usize, now: u64) -> usize {
        let key = RankKey {
            workspace: &self.workspaces[workspace],
            model: None,
            chat: None,
        };
        let now = ClockMillis::new(now);
        self.table
            .note_request(&self.pool, &key, upstreams, now)
            .get()
    }

    /// Sends `rounds` requests, one in `period` from workspace 0, and returns the sizes of its shard.
    fn send(&mut self, rounds: usize, period: usize, start: u64) -> Vec<usize> {
        let mut sizes = Vec::new();
        for round in 0..rounds {
            let now = start + round as u64 * 50;
            let size = self.note(
                if round % period == 0 {
                    0
                } else {
                    1 + round % 9
                },
                12,
                now,
            );
            if round % period == 0 {
                sizes.push(size);
            }
        }
        sizes
    }
}

/// Guards against a shard size that does not follow demand, or that flaps while demand varies around a threshold.
#[test]
fn shard_follows_demand_without_flapping() {
    let mut run = DemandRun::new(DemandSettings::default(), 10);
    let mut now = 0;
    let mut sizes = Vec::new();
    // The share varies around 1 in 12, where 12 × 2 ÷ 12 = 2 engines are wanted: the threshold between sizes 2 and 4.
    for period in [11, 14, 11, 14, 11, 14] {
        sizes.extend(run.send(1_000, period, now));
        now += 50_000;
    }
    sizes.dedup();
    assert_eq!(sizes, [4], "size flaps");
    let surge = run.send(4_000, 2, now);
    assert_eq!(
        surge.last(),
        Some(&16),
        "half of the requests want 12 engines"
    );
    let calm = run.send(12_000, 40, now + 200_000);
    assert_eq!(calm.last(), Some(&1), "one in 40 wants 0.6 engines");
}

/// Guards against unbounded memory use, and against evicting the busiest workspaces at the size limit.
#[test]
fn demand_table_stays_within_its_limit() {
    let settings = DemandSettings {
        entry_limit: 64,
        ..DemandSettings::default()
    };
    let mut run = DemandRun::new(settings, 1_000);
    for round in 0..20_000_usize {
        let others = 1 + (round * 7) % 999;
        run.note(
            if round % 2 == 0 { 0 } else { others },
            100,
            round as u64 * 10,
        );
        assert!(run.table.len() <= 64);
    }
    let size = run.note(0, 100, 200_000);
    assert!(size >= 64, "busiest workspace was evicted");
}
