//! Computes the mean load of a pool from the reports of two collectors.

use fescuetide_base::ClockMillis;
use fescuetide_base::LoadCount;
use fescuetide_base::PoolName;
use fescuetide_summary::CollectorSettings;
use fescuetide_summary::LoadCollector;
use fescuetide_summary::UpstreamReport;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let pool: PoolName = "pool".parse()?;
    let now = ClockMillis::new(1_000);
    let mut one = LoadCollector::new(CollectorSettings::default());
    let mut other = LoadCollector::new(CollectorSettings::default());
    for (collector, first) in [(&mut one, 0_u32), (&mut other, 3)] {
        for index in first..first + 3 {
            let report = UpstreamReport {
                vm: format!("engine-{index}").parse()?,
                pool: pool.clone(),
                load: LoadCount::new(index),
            };
            collector.note_report(report, now);
        }
    }
    one.note_child("router-2".parse()?, other.own_sums(), now);
    for (pool, sum) in one.total_sums() {
        println!("{pool}: {} upstreams, mean load {}", sum.count, sum.mean());
    }
    Ok(())
}
