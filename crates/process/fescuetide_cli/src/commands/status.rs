//! The command `status`: state of all routers, side processes and pools.

use fescuetide_members::RoleKind;
use fescuetide_members::VmEntry;
use fescuetide_members::VmPhase;
use fescuetide_summary::PoolSum;
use fescuetide_wire::rpc::RouterStatus;
use fescuetide_wire::rpc::SideStatus;
use serde_json::Value;
use serde_json::json;

use crate::arguments::CommandArguments;
use crate::command::CommandSpec;
use crate::context::ToolContext;
use crate::fleet::call_all;
use crate::fleet::router_status;
use crate::fleet::side_status;
use crate::report::CommandReport;
use crate::report::ToolError;
use crate::report::write_table;

pub(crate) const SPEC: CommandSpec = CommandSpec {
    name: "status",
    summary: "Show routers, side processes and loads",
    usage: "",
    help: "
The exit code is 1 when a live VM of the list does not answer.
",
    positional_count: 0..=0,
    flags: &[],
    options: &[],
    run,
};

fn run(context: &ToolContext, _: &CommandArguments) -> Result<CommandReport, ToolError> {
    let list = context.read_vms()?;
    let (routers, sides): (Vec<VmEntry>, Vec<VmEntry>) = list
        .into_iter()
        .partition(|entry| entry.role == RoleKind::Router);
    let router_results = call_all(context, &routers, router_status);
    let side_results = call_all(context, &sides, side_status);
    let mut unreachable = Vec::new();
    let mut report = CommandReport::default();
    let mut router_list = Vec::new();
    let mut rows = vec![heading(&[
        "router",
        "zone",
        "state",
        "offset",
        "requests",
        "control_bytes",
        "vm_list_age_ms",
        "vms",
    ])];
    for (entry, result) in routers.iter().zip(&router_results) {
        let status = result.as_ref().ok();
        record_unreachable(&mut unreachable, entry, status.is_none());
        rows.push(router_row(entry, status));
        router_list.push(router_json(entry, status));
    }
    write_table(&mut report.text, &rows);
    report.text.push('\n');
    let mut side_list = Vec::new();
    let mut rows = vec![heading(&["side", "zone", "pool", "state", "load", "mean"])];
    for (entry, result) in sides.iter().zip(&side_results) {
        let status = result.as_ref().ok();
        record_unreachable(&mut unreachable, entry, status.is_none());
        rows.push(side_row(entry, status));
        side_list.push(side_json(entry, status));
    }
    write_table(&mut report.text, &rows);
    let pools = pool_json(&router_results);
    for pool in &pools {
        report.text.push_str(&format!(
            "\npool {}: {} upstreams, mean load {:.2}, highest load {}",
            pool["pool"].as_str().unwrap_or_default(),
            pool["count"],
            pool["mean"].as_f64().unwrap_or_default(),
            pool["peak"]
        ));
    }
    report.text.push('\n');
    report.json = json!({"routers": router_list, "sides": side_list, "pools": pools});
    if !unreachable.is_empty() {
        report.failure = Some(format!("no answer from {}", unreachable.join(", ")));
    }
    Ok(report)
}

fn heading(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn record_unreachable(unreachable: &mut Vec<String>, entry: &VmEntry, is_unreachable: bool) {
    if is_unreachable && entry.phase == VmPhase::Live {
        unreachable.push(entry.name.to_string());
    }
}

fn router_row(entry: &VmEntry, status: Option<&RouterStatus>) -> Vec<String> {
    let mut row = vec![entry.name.to_string(), entry.zone.to_string()];
    match status {
        None => row.extend(["no answer", "", "", "", "", ""].map(str::to_owned)),
        Some(status) => row.extend([
            router_state(status).to_owned(),
            status.class_offset.to_string(),
            status.active_requests.to_string(),
            status.control_bytes.to_string(),
            status.vm_list_age_ms.to_string(),
            status.vm_count.to_string(),
        ]),
    }
    row
}

fn router_state(status: &RouterStatus) -> &'static str {
    match (status.draining, status.ready) {
        (true, _) => "draining",
        (false, true) => "ready",
        (false, false) => "not ready",
    }
}

fn router_json(entry: &VmEntry, status: Option<&RouterStatus>) -> Value {
    match status {
        None => json!({"vm": entry.name, "zone": entry.zone, "state": "no answer"}),
        Some(status) => json!({
            "vm": entry.name,
            "zone": entry.zone,
            "state": router_state(status),
            "class_offset": status.class_offset,
            "active_requests": status.active_requests,
            "control_bytes": status.control_bytes,
            "vm_list_age_ms": status.vm_list_age_ms,
            "vm_count": status.vm_count,
        }),
    }
}

fn side_row(entry: &VmEntry, status: Option<&SideStatus>) -> Vec<String> {
    let mut row = vec![
        entry.name.to_string(),
        entry.zone.to_string(),
        entry.pool.to_string(),
    ];
    match status {
        None => row.extend(["no answer", "", ""].map(str::to_owned)),
        Some(status) => row.extend([
            side_state(status).to_owned(),
            status.load.to_string(),
            format!("{:.2}", status.mean),
        ]),
    }
    row
}

fn side_state(status: &SideStatus) -> &'static str {
    if status.draining { "draining" } else { "ready" }
}

fn side_json(entry: &VmEntry, status: Option<&SideStatus>) -> Value {
    let mut value = json!({"vm": entry.name, "zone": entry.zone, "pool": entry.pool});
    match status {
        None => value["state"] = json!("no answer"),
        Some(status) => {
            value["state"] = json!(side_state(status));
            value["load"] = json!(status.load);
            value["mean"] = json!(status.mean);
            value["incarnation"] = json!(status.incarnation);
        }
    }
    value
}

/// Load of each pool, from the first router that answered.
fn pool_json(results: &[anyhow::Result<RouterStatus>]) -> Vec<Value> {
    let Some(status) = results.iter().find_map(|result| result.as_ref().ok()) else {
        return Vec::new();
    };
    let mut pools = Vec::new();
    for (pool, wire) in &status.sums {
        let sum = PoolSum::from(*wire);
        pools.push(json!({
            "pool": pool,
            "count": sum.count,
            "mean": sum.mean(),
            "peak": sum.peak,
        }));
    }
    pools
}
