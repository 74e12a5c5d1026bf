//! Output of results: tables, target verdicts and the final JSON object.

use fescuetide_wire::api::CallOutcome;
use serde_json::Value;
use serde_json::json;

use crate::measure::RunMetrics;

/// Maximum number of violations printed per run.
const VIOLATION_LIMIT: usize = 10;

/// Width of the first column.
const NAME_WIDTH: usize = 26;

/// Width of each further column.
const VALUE_WIDTH: usize = 18;

/// A target and its measured value.
#[derive(Clone, Debug)]
pub struct TargetVerdict {
    /// The target.
    pub target: String,
    /// The measured value.
    pub measured: String,
    /// Whether the target is met.
    pub met: bool,
}

/// Prints a table of metrics with one column per run.
pub fn print_table(runs: &[RunMetrics]) {
    println!();
    print_row("", runs, |run| run.label.clone());
    print_row("requests", runs, |run| run.requests.to_string());
    for outcome in [
        CallOutcome::Completed,
        CallOutcome::NotRun,
        CallOutcome::Failed,
        CallOutcome::Unknown,
    ] {
        print_row(&format!("  {outcome}"), runs, |run| {
            run.count(outcome).to_string()
        });
    }
    print_row("  broken off", runs, |run| run.broken.to_string());
    print_row("first token p50/95/99 ms", runs, |run| {
        let times = run.first_token;
        format!("{}/{}/{}", times.p50, times.p95, times.p99)
    });
    print_row("tokens apart p50/95/99 ms", runs, |run| {
        let times = run.inter_token;
        format!("{}/{}/{}", times.p50, times.p95, times.p99)
    });
    print_row("cache reuse", runs, |run| {
        format!("{:.3}", run.reuse.total.ratio())
    });
    print_row("  leaving not counted", runs, |run| {
        format!("{:.3}", run.reuse.total.ratio_listed())
    });
    print_row("  prompt from cache", runs, |run| {
        let total = run.reuse.total;
        format!("{:.3}", total.served as f64 / total.prompt.max(1) as f64)
    });
    print_row("skew p99", runs, |run| format!("{:.2}", run.skew.p99));
    print_row("skew max (cap then)", runs, |run| {
        format!("{:.2} ({:.2})", run.skew.max, run.skew.cap_at_max)
    });
    print_row("samples over cap", runs, |run| {
        format!("{} of {}", run.skew.over_cap, run.skew.samples)
    });
    print_row("  with rising load", runs, |run| {
        run.skew.over_cap_rising.to_string()
    });
    print_row("mean load", runs, |run| {
        format!("{:.1}", run.skew.mean_load)
    });
    print_row("control bytes/s/router", runs, |run| {
        run.control_bytes_per_s
            .map_or("-".to_owned(), |bytes| format!("{bytes:.0}"))
    });
    print_row("violations", runs, |run| run.violations.len().to_string());
    println!();
    print_violations(runs);
}

fn print_row(name: &str, runs: &[RunMetrics], value: impl Fn(&RunMetrics) -> String) {
    let mut line = format!("{name:<NAME_WIDTH$}");
    for run in runs {
        line.push_str(&format!("{:>VALUE_WIDTH$}", value(run)));
    }
    println!("{line}");
}

/// Prints the violations found in all runs.
pub fn print_violations(runs: &[RunMetrics]) {
    for run in runs {
        for violation in run.violations.iter().take(VIOLATION_LIMIT) {
            println!("{}: {violation}", run.label);
        }
        if run.violations.len() > VIOLATION_LIMIT {
            println!(
                "{}: {} more",
                run.label,
                run.violations.len() - VIOLATION_LIMIT
            );
        }
    }
}

/// Prints whether each target is met.
pub fn print_verdicts(verdicts: &[TargetVerdict]) {
    for verdict in verdicts {
        let word = if verdict.met { "met" } else { "MISSED" };
        println!("target {}: {} - {word}", verdict.target, verdict.measured);
    }
}

/// Builds the JSON object that an experiment prints as its last line.
pub fn final_json(experiment: &str, seed: u64, runs: &[RunMetrics], items: Vec<Value>) -> Value {
    let mut requests = 0;
    let mut violations = 0;
    for run in runs {
        requests += run.requests;
        violations += run.violations.len();
    }
    json!({
        "experiment": experiment,
        "seed": seed,
        "requests": requests,
        "violations": violations,
        "runs": items,
    })
}
