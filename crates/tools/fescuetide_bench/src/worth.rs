//! Renders the day reports of the users' benchmark, which is a separate program, as tables and plots.
//!
//! The worth is the benchmark's score of a day: the weighted sum of credit earned ÷ credit owed, minus deductions for
//! costs such as store calls. No credit is owed for a request to which no response was allowed or whose
//! caller disconnected early.

use std::fmt::Write;
use std::path::Path;
use std::path::PathBuf;

use anyhow::Context;
use fescuetide_platform_report::DayReport;

use crate::endings::EndingTable;
use crate::plot;

/// Costs that deduct less than this from the worth are omitted from the table.
const MIN_LISTED_COST: f64 = 0.000_5;

/// A report, labelled with the name of its file.
struct NamedDay {
    name: String,
    day: DayReport,
}

/// Prints a table for each report, and one of the endings of requests for each log. With a folder, also plots the worth of all
/// reports over time in one SVG file.
///
/// # Errors
///
/// Fails when a report or log cannot be read, or the plot cannot be written. Nothing is printed or written then.
pub fn run(reports: &[PathBuf], logs: &[PathBuf], folder: Option<&Path>) -> anyhow::Result<()> {
    anyhow::ensure!(
        !reports.is_empty() || !logs.is_empty(),
        "no reports were given"
    );
    let mut endings = Vec::with_capacity(logs.len());
    for path in logs {
        endings.push((path, EndingTable::load(path)?));
    }
    let mut days = Vec::with_capacity(reports.len());
    for path in reports {
        let name = path
            .file_stem()
            .context("the report path has no file name")?;
        days.push(NamedDay {
            name: name.to_string_lossy().into_owned(),
            day: DayReport::load(path)?,
        });
    }
    for named in &days {
        print!("{}", render(&named.name, &named.day));
    }
    for (path, table) in &endings {
        print!("{}", table.render(&path.display().to_string()));
    }
    let Some(folder) = folder else {
        return Ok(());
    };
    let lines = days.iter().map(|named| {
        let points = named.day.windows.iter().filter_map(|row| {
            let second: f64 = row.name.parse().ok()?;
            Some((second, row.worth))
        });
        (named.name.clone(), points.collect())
    });
    plot::plot_worth(folder, lines.collect())
}

/// Renders the report of one day as Markdown tables.
pub fn render(name: &str, day: &DayReport) -> String {
    let mut text = format!("## {name}: worth {:.3}\n\n", day.worth);
    text.push_str(
        "| kind | requests | in time | late | refused | failed | not counted | worth | p50 ms | p99 ms |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for row in &day.classes {
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {} | {:.3} | {:.0} | {:.0} |",
            row.name,
            row.requests,
            row.in_time,
            row.late,
            row.refused,
            row.failed,
            row.excluded,
            row.worth,
            row.p50_ms,
            row.p99_ms
        );
    }
    text.push_str("\n| component or cost | weight or amount | contribution to the worth |\n| --- | --- | --- |\n");
    for component in &day.components {
        let value = component.weight * component.value;
        let _ = writeln!(
            text,
            "| {} | {} | +{value:.3} |",
            component.name, component.weight
        );
    }
    for cost in &day.costs {
        if cost.deduction < MIN_LISTED_COST {
            continue;
        }
        let _ = writeln!(
            text,
            "| {} | {:.1} | -{:.4} |",
            cost.name, cost.amount, cost.deduction
        );
    }
    if let Some(window) = worst_window(day) {
        let _ = writeln!(text, "\nWorst window: {window}");
    }
    text.push('\n');
    text
}

fn worst_window(day: &DayReport) -> Option<String> {
    let owed = day.windows.iter().filter(|row| row.requests > row.excluded);
    let worst = owed.min_by(|one, other| one.worth.total_cmp(&other.worth))?;
    Some(format!(
        "from second {}, worth {:.3}: {} of {} requests late, {} refused, {} failed",
        worst.name, worst.worth, worst.late, worst.requests, worst.refused, worst.failed
    ))
}
