//! Benchmarks of ranking the upstreams for one request.

use std::hint::black_box;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use fescuetide_base::ChatName;
use fescuetide_base::ModelName;
use fescuetide_base::StableHash;
use fescuetide_base::WorkspaceName;
use fescuetide_routing::RankKey;
use fescuetide_routing::ShardSize;
use fescuetide_routing::rank_upstreams;

/// Number of candidates that a router requests.
const HEAD: usize = 128;

fn rank(criterion: &mut Criterion) {
    let workspace: WorkspaceName = "workspace-1".parse().expect("name");
    let model: ModelName = "deck-1".parse().expect("name");
    let chat: ChatName = "chat-1".parse().expect("name");
    let key = RankKey {
        workspace: &workspace,
        model: Some(&model),
        chat: Some(&chat),
    };
    let shard = ShardSize::at_least(8);
    for size in [12_usize, 100, 1_000, 6_300] {
        let vms: Vec<u64> = (0..size)
            .map(|index| StableHash::hash_bytes(format!("engine-{index}").as_bytes()))
            .collect();
        criterion.bench_with_input(BenchmarkId::new("rank_head", size), &vms, |bench, vms| {
            bench.iter(|| rank_upstreams(black_box(&key), vms, shard, HEAD));
        });
        criterion.bench_with_input(BenchmarkId::new("rank_all", size), &vms, |bench, vms| {
            bench.iter(|| rank_upstreams(black_box(&key), vms, shard, vms.len()));
        });
    }
}

fn main() {
    let mut criterion = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
        .configure_from_args();
    rank(&mut criterion);
    criterion.final_summary();
}
