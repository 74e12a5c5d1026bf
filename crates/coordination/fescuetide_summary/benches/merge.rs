//! Benchmarks of one reporting period of a collector and of finding its parent.

use std::hint::black_box;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use fescuetide_base::ClockMillis;
use fescuetide_base::LoadCount;
use fescuetide_base::PoolName;
use fescuetide_base::VmName;
use fescuetide_summary::prelude::*;

/// Upstreams per collector in the largest planned fleet: 6,300 upstreams over 340 routers.
const REPORTS: usize = 19;

fn merge(criterion: &mut Criterion) {
    let pool: PoolName = "pool".parse().expect("name");
    let now = ClockMillis::new(1_000);
    for size in [12_usize, 100, 1_000, 6_300] {
        let routers = size.div_ceil(REPORTS);
        let children = TREE_FAN_IN.min(routers.saturating_sub(1));
        let reports: Vec<UpstreamReport> = (0..REPORTS.min(size))
            .map(|index| UpstreamReport {
                vm: format!("engine-{index}").parse().expect("name"),
                pool: pool.clone(),
                load: LoadCount::new(index as u32),
            })
            .collect();
        let names: Vec<VmName> = (0..children)
            .map(|index| format!("router-{index}").parse().expect("name"))
            .collect();
        criterion.bench_with_input(
            BenchmarkId::new("period", size),
            &reports,
            |bench, reports| {
                let mut collector = LoadCollector::default();
                bench.iter(|| {
                    for report in reports {
                        collector.note_report(report.clone(), now);
                    }
                    for name in &names {
                        collector.note_child(name.clone(), collector.own_sums(), now);
                    }
                    collector.expire(now);
                    black_box(collector.subtree_sums())
                });
            },
        );
        let tree = SummaryTree::new((0..routers).map(|index| {
            let name: VmName = format!("router-{index}").parse().expect("name");
            name
        }));
        let me: VmName = "router-0".parse().expect("name");
        criterion.bench_function(&format!("parent/{size}"), |bench| {
            bench.iter(|| black_box(tree.parent(&me, |_| false)));
        });
    }
}

fn main() {
    let mut criterion = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
        .configure_from_args();
    merge(&mut criterion);
    criterion.final_summary();
}
