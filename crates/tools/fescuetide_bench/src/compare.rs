//! Runs the experiments churn, surge and faults and compares their metrics with the targets.

use std::path::Path;

use serde_json::Value;

use crate::experiment::ExperimentOptions;
use crate::experiment::ExperimentPlan;
use crate::experiment::plan_churn;
use crate::experiment::plan_surge;
use crate::faults::FaultName;
use crate::faults::PARALLEL_RUNS;
use crate::faults::fault_sets;
use crate::faults::plan_fault_set;
use crate::measure::RunMetrics;
use crate::plot::plot_reuse;
use crate::plot::plot_skew;
use crate::report::TargetVerdict;
use crate::report::final_json;
use crate::report::print_table;
use crate::report::print_verdicts;
use crate::runner::RunRecord;
use crate::runner::run_all;

/// Maximum control bytes per router and second.
const CONTROL_TARGET: f64 = 2_000.0;

/// Minimum cache reuse in churn.
const REUSE_TARGET: f64 = 0.95;

/// Minimum cache reuse in churn, as a multiple of the reuse under random routing.
const RANDOM_TARGET: f64 = 2.5;

/// Minimum factor by which the p99 time to first token improves on plain rendezvous hashing.
const FIRST_TOKEN_TARGET: f64 = 2.0;

/// The result of an experiment.
#[derive(Clone, Debug)]
pub struct ExperimentResult {
    /// The JSON object printed as the last line.
    pub json: Value,
    /// Number of violated guarantees.
    pub violations: usize,
}

/// Runs the churn experiment.
///
/// # Errors
///
/// Fails when a fleet cannot be run or a plot cannot be written.
pub fn run_churn(
    options: &ExperimentOptions,
    plots: Option<&Path>,
) -> anyhow::Result<ExperimentResult> {
    let (metrics, records) = run_plan(plan_churn(options)?)?;
    let reuse = metrics[0].reuse.total.ratio();
    let mut verdicts = vec![TargetVerdict {
        target: format!("reuse through churn ≥ {REUSE_TARGET}"),
        measured: format!("{reuse:.3}"),
        met: reuse >= REUSE_TARGET,
    }];
    if let Some(random) = metrics.iter().find(|run| run.label == "random") {
        let multiple = reuse / random.reuse.total.ratio();
        verdicts.push(TargetVerdict {
            target: format!("reuse ≥ {RANDOM_TARGET} × random"),
            measured: format!("{multiple:.2} ×"),
            met: multiple >= RANDOM_TARGET,
        });
    }
    push_common_verdicts(&metrics[0], &mut verdicts);
    print_verdicts(&verdicts);
    if let Some(folder) = plots {
        plot_reuse(folder, &metrics)?;
        plot_skew(folder, "churn", &records)?;
    }
    Ok(build_result("churn", options, &metrics))
}

/// Runs the surge experiment.
///
/// # Errors
///
/// Fails when a fleet cannot be run or a plot cannot be written.
pub fn run_surge(
    options: &ExperimentOptions,
    plots: Option<&Path>,
) -> anyhow::Result<ExperimentResult> {
    let (metrics, records) = run_plan(plan_surge(options)?)?;
    let fescuetide = &metrics[0];
    let mut verdicts = vec![TargetVerdict {
        target: "load within the cap in every sample".to_owned(),
        measured: format!(
            "{} of {} over it",
            fescuetide.skew.over_cap, fescuetide.skew.samples
        ),
        met: fescuetide.skew.over_cap == 0,
    }];
    if let Some(plain) = metrics.iter().find(|run| run.label == "rendezvous") {
        let factor = plain.first_token.p99 as f64 / fescuetide.first_token.p99.max(1) as f64;
        verdicts.push(TargetVerdict {
            target: format!("p99 first token {FIRST_TOKEN_TARGET} × better than rendezvous"),
            measured: format!("{factor:.2} ×"),
            met: factor >= FIRST_TOKEN_TARGET,
        });
    }
    push_common_verdicts(fescuetide, &mut verdicts);
    print_verdicts(&verdicts);
    if let Some(folder) = plots {
        plot_skew(folder, "surge", &records)?;
    }
    Ok(build_result("surge", options, &metrics))
}

/// Runs the fault experiment: each fault alone, then pairs of faults.
///
/// # Errors
///
/// Fails when a fleet cannot be run.
pub fn run_faults(
    options: &ExperimentOptions,
    only: &[FaultName],
) -> anyhow::Result<ExperimentResult> {
    let deployment = options.load_deployment()?;
    let mut specs = Vec::new();
    for set in fault_sets(only, options.quick) {
        specs.push(plan_fault_set(options, &deployment, &set));
    }
    let mut metrics = Vec::new();
    for batch in specs.chunks(PARALLEL_RUNS) {
        let mut batch_metrics = Vec::new();
        for (spec, run) in batch.iter().zip(run_all(batch.to_vec())?) {
            batch_metrics.push(RunMetrics::new(&spec.calls, &run)?);
        }
        print_table(&batch_metrics);
        metrics.extend(batch_metrics);
    }
    let items = metrics
        .iter()
        .map(|run| run.to_json("fault", false))
        .collect();
    Ok(ExperimentResult {
        json: final_json("faults", options.seed, &metrics, items),
        violations: metrics.iter().map(|run| run.violations.len()).sum(),
    })
}

fn run_plan(plan: ExperimentPlan) -> anyhow::Result<(Vec<RunMetrics>, Vec<RunRecord>)> {
    println!("{}", plan.description);
    let records = run_all(plan.runs)?;
    let mut metrics = Vec::new();
    for run in &records {
        metrics.push(RunMetrics::new(&plan.calls, run)?);
    }
    print_table(&metrics);
    Ok((metrics, records))
}

fn push_common_verdicts(fescuetide: &RunMetrics, verdicts: &mut Vec<TargetVerdict>) {
    let measured = fescuetide.control_bytes_per_s;
    verdicts.push(TargetVerdict {
        target: format!("control ≤ {CONTROL_TARGET} bytes/s per router"),
        measured: measured.map_or("not measured".to_owned(), |bytes| format!("{bytes:.0}")),
        met: measured.is_some_and(|bytes| bytes <= CONTROL_TARGET),
    });
    verdicts.push(TargetVerdict {
        target: "no violations".to_owned(),
        measured: fescuetide.violations.len().to_string(),
        met: fescuetide.violations.is_empty(),
    });
}

fn build_result(
    name: &str,
    options: &ExperimentOptions,
    metrics: &[RunMetrics],
) -> ExperimentResult {
    let items = metrics
        .iter()
        .map(|run| run.to_json("policy", true))
        .collect();
    ExperimentResult {
        json: final_json(name, options.seed, metrics, items),
        violations: metrics.iter().map(|run| run.violations.len()).sum(),
    }
}
