//! The command `burn`: burn rates of all classes, summed over routers.

use anyhow::Context;
use fescuetide_base::ClassName;
use fescuetide_classes::ClassTable;
use fescuetide_members::VmEntry;
use fescuetide_records::BurnCount;
use fescuetide_records::BurnReport;
use fescuetide_records::BurnWindow;
use fescuetide_wire::records::BurnWire;
use indexmap::IndexMap;
use serde_json::json;

use crate::arguments::CommandArguments;
use crate::command::CommandSpec;
use crate::context::ToolContext;
use crate::fleet;
use crate::report::CommandReport;
use crate::report::ToolError;

/// Counts per class, one for each of [`BurnWindow::ALL`].
type ClassCounts = IndexMap<ClassName, [BurnCount; 4]>;

pub(crate) const SPEC: CommandSpec = CommandSpec {
    name: "burn",
    summary: "Report the burn rates of classes",
    usage: "",
    help: "
For each class and window: requests, those refused, and the burn rate of each
target. A rate of 1 uses up exactly what the target allows, 2 twice as much. A
target of 0 shows the number of requests that missed it. The counts are summed
over all live routers and reach back to each router's start, at most 6 hours.
",
    positional_count: 0..=0,
    flags: &[],
    options: &[],
    run,
};

fn run(context: &ToolContext, _: &CommandArguments) -> Result<CommandReport, ToolError> {
    let snapshot = fleet::newest_class_snapshot(context)?
        .context("no live router returned its class table")?;
    let mut table = ClassTable::default();
    table.restore(snapshot);
    let routers = fleet::live_routers(&context.read_vms()?);
    let mut counts = ClassCounts::new();
    let mut unreachable = Vec::new();
    let results = fleet::call_all(context, &routers, fetch_burn_counts);
    for (router, result) in routers.iter().zip(results) {
        match result {
            Ok(list) => merge_counts(&mut counts, list),
            Err(_) => unreachable.push(router.name.to_string()),
        }
    }
    let mut report = BurnReport::default();
    for (class, _, targets) in table.iter() {
        let counts = counts.get(class).copied().unwrap_or_default();
        report.add_class(class, &targets, &counts);
    }
    let failure = (!unreachable.is_empty()).then(|| {
        let names = unreachable.join(", ");
        format!("counts exclude routers that do not answer: {names}")
    });
    Ok(CommandReport {
        text: report.to_string(),
        json: json!({ "lines": report.lines, "silent": unreachable }),
        failure,
        ..CommandReport::default()
    })
}

async fn fetch_burn_counts(entry: VmEntry) -> anyhow::Result<Vec<BurnWire>> {
    let client = fleet::connect_router(&entry).await?;
    Ok(client.burn(fleet::deadline()).await?)
}

fn merge_counts(counts: &mut ClassCounts, list: Vec<BurnWire>) {
    for wire in list {
        // A router of another version may use other windows, whose counts cannot be summed with these.
        if wire.counts.len() != BurnWindow::ALL.len() {
            continue;
        }
        let sums = counts.entry(wire.class).or_default();
        for (sum, count) in sums.iter_mut().zip(wire.counts) {
            sum.merge(&BurnCount::from(count));
        }
    }
}
