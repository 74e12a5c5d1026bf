//! Access to the class configuration of a running fleet: runs the operators' tool and reads the routers' class tables.

use std::process::Command;
use std::process::Stdio;

use anyhow::Context;
use fescuetide_base::SpanMillis;
use fescuetide_classes::ClassSnapshot;
use fescuetide_net::ControlMeter;
use fescuetide_net::connect_control;
use fescuetide_net::rpc_context;
use fescuetide_wire::rpc::RouterControlClient;
use fescuetide_wire::vms::VmWire;
use serde_json::Value;
use tarpc::client;

use crate::fleet::FleetProcesses;
use crate::process::build_programs;

/// Timeout of a call.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// The result of a run of the tool.
#[derive(Clone, Debug)]
pub struct ToolResult {
    /// The exit code.
    pub code: Option<i32>,
    /// The JSON output, or null when there is none.
    pub json: Value,
    /// The standard error output.
    pub errors: String,
}

/// A running instance of the tool.
#[derive(Debug)]
pub struct ToolRun {
    child: std::process::Child,
}

impl ToolRun {
    /// Starts `fescuetide` with `--json` against the fleet.
    ///
    /// # Errors
    ///
    /// Fails when the tool cannot be started.
    pub fn start(fleet: &FleetProcesses, arguments: &[&str]) -> anyhow::Result<Self> {
        let child = Command::new(build_programs()?.tool)
            .args(arguments)
            .arg("--json")
            .arg(format!("--log-url=http://{}", fleet.log_address))
            .arg(format!("--vm-list-url=http://{}", fleet.vm_list_address))
            .current_dir(&fleet.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .context("cannot start the tool")?;
        Ok(Self { child })
    }

    /// Waits for the tool to exit.
    ///
    /// # Errors
    ///
    /// Fails when the tool cannot be waited for.
    pub fn wait(self) -> anyhow::Result<ToolResult> {
        let output = self.child.wait_with_output()?;
        Ok(ToolResult {
            code: output.status.code(),
            json: serde_json::from_slice(&output.stdout).unwrap_or_default(),
            errors: String::from_utf8_lossy(&output.stderr).into_owned(),
        })
    }
}

/// Runs `fescuetide` with `--json` against the fleet and waits for it to exit.
///
/// # Errors
///
/// Fails when the tool cannot be run.
pub fn run_tool(fleet: &FleetProcesses, arguments: &[&str]) -> anyhow::Result<ToolResult> {
    ToolRun::start(fleet, arguments)?.wait()
}

/// The class table of a router, or `None` while it is incomplete.
///
/// # Errors
///
/// Fails when the router does not answer.
pub fn router_table(router: &VmWire) -> anyhow::Result<Option<ClassSnapshot>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let transport = connect_control(router.control, ControlMeter::default()).await?;
        let rpc_client = RouterControlClient::new(client::Config::default(), transport).spawn();
        let context = rpc_context(SpanMillis::new(CALL_TIMEOUT_MS));
        Ok(rpc_client.snapshot(context, 0).await?)
    })
}
