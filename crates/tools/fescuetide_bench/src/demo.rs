//! The demo: runs multi-turn chats and service calls against one fleet per routing policy.

use crate::experiment::ExperimentOptions;
use crate::experiment::plan_demo;
use crate::measure::RunMetrics;
use crate::report::print_table;
use crate::runner::run_all;

/// Runs the demo and prints its table. Returns the number of violated guarantees.
///
/// # Errors
///
/// Fails when a fleet does not start.
pub fn run(options: &ExperimentOptions) -> anyhow::Result<usize> {
    let plan = plan_demo(options)?;
    println!("3 fleets, each with 3 routers, 12 engines, 3 services and the platform's stand-ins");
    println!("{}", plan.description);
    let mut metrics = Vec::new();
    for run in run_all(plan.runs)? {
        metrics.push(RunMetrics::new(&plan.calls, &run)?);
    }
    print_table(&metrics);
    Ok(metrics.iter().map(|run| run.violations.len()).sum())
}
