//! The command `drain`.

use anyhow::Context;
use fescuetide_base::VmName;
use fescuetide_members::RoleKind;
use serde_json::json;

use crate::arguments::CommandArguments;
use crate::command::CommandSpec;
use crate::context::ToolContext;
use crate::fleet;
use crate::report::CommandReport;
use crate::report::ToolError;

pub(crate) const SPEC: CommandSpec = CommandSpec {
    name: "drain",
    summary: "Stop a VM from taking new work",
    usage: "VM",
    help: "
Work in progress is completed. A router fails its readiness check; a side
process refuses new attempts. Draining ends only with a restart.
",
    positional_count: 1..=1,
    flags: &[],
    options: &[],
    run,
};

fn run(context: &ToolContext, arguments: &CommandArguments) -> Result<CommandReport, ToolError> {
    let name: VmName = arguments.parse_positional(0, "VM")?;
    let list = context.read_vms()?;
    let Some(entry) = list.into_iter().find(|entry| entry.name == name) else {
        return Err(ToolError::finding(
            format!("VM {name}"),
            "is not in the VM list",
        ));
    };
    context
        .runtime
        .block_on(async {
            match entry.role {
                RoleKind::Router => {
                    let client = fleet::connect_router(&entry).await?;
                    client.drain(fleet::deadline()).await?;
                }
                RoleKind::Engine | RoleKind::Service => {
                    let client = fleet::connect_side(&entry).await?;
                    client.drain(fleet::deadline()).await?;
                }
            }
            anyhow::Ok(())
        })
        .with_context(|| format!("VM {name} at {}", entry.control))?;
    Ok(CommandReport {
        text: format!("{name}: draining\n"),
        json: json!({"vm": name, "draining": true}),
        ..CommandReport::default()
    })
}
