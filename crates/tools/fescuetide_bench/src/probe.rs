//! Client for the control RPC of routers and side processes.

use std::net::SocketAddr;

use anyhow::Context;
use fescuetide_base::SpanMillis;
use fescuetide_net::ControlMeter;
use fescuetide_net::connect_control;
use fescuetide_net::rpc_context;
use fescuetide_wire::rpc::RouterControlClient;
use fescuetide_wire::rpc::RouterStatus;
use fescuetide_wire::rpc::SideControlClient;
use fescuetide_wire::rpc::SideStatus;
use tarpc::client;
use tokio::runtime::Runtime;

/// Timeout of a call.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// Queries the status of processes.
#[derive(Debug)]
pub struct StatusProbe {
    runtime: Runtime,
}

impl StatusProbe {
    /// Creates a probe.
    ///
    /// # Errors
    ///
    /// Fails when no runtime can be made.
    pub fn new() -> anyhow::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        Ok(Self { runtime })
    }

    /// The status of the router with this control address.
    ///
    /// # Errors
    ///
    /// Fails when the router does not answer.
    pub fn router(&self, control: SocketAddr) -> anyhow::Result<RouterStatus> {
        self.runtime.block_on(async {
            let transport = connect_control(control, ControlMeter::default()).await?;
            let rpc_client = RouterControlClient::new(client::Config::default(), transport).spawn();
            let context = rpc_context(SpanMillis::new(CALL_TIMEOUT_MS));
            rpc_client
                .status(context)
                .await
                .context("router does not answer")
        })
    }

    /// Tells the side process with this control address to refuse new work.
    ///
    /// # Errors
    ///
    /// Fails when the side process does not answer.
    pub fn drain_side(&self, control: SocketAddr) -> anyhow::Result<()> {
        self.runtime.block_on(async {
            let transport = connect_control(control, ControlMeter::default()).await?;
            let rpc_client = SideControlClient::new(client::Config::default(), transport).spawn();
            let context = rpc_context(SpanMillis::new(CALL_TIMEOUT_MS));
            rpc_client
                .drain(context)
                .await
                .context("side process does not answer")
        })
    }

    /// The status of the side process with this control address.
    ///
    /// # Errors
    ///
    /// Fails when the side process does not answer.
    pub fn side(&self, control: SocketAddr) -> anyhow::Result<SideStatus> {
        self.runtime.block_on(async {
            let transport = connect_control(control, ControlMeter::default()).await?;
            let rpc_client = SideControlClient::new(client::Config::default(), transport).spawn();
            let context = rpc_context(SpanMillis::new(CALL_TIMEOUT_MS));
            rpc_client
                .status(context)
                .await
                .context("side process does not answer")
        })
    }
}
