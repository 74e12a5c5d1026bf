//! Control RPC to routers and side processes.

use std::future::Future;

use fescuetide_base::SpanMillis;
use fescuetide_classes::ClassSnapshot;
use fescuetide_members::RoleKind;
use fescuetide_members::VmEntry;
use fescuetide_members::VmPhase;
use fescuetide_net::ControlMeter;
use fescuetide_net::connect_control;
use fescuetide_net::rpc_context;
use fescuetide_wire::rpc::RouterControlClient;
use fescuetide_wire::rpc::RouterStatus;
use fescuetide_wire::rpc::SideControlClient;
use fescuetide_wire::rpc::SideStatus;
use tarpc::client;

use crate::context::ToolContext;

/// Timeout of one RPC.
const RPC_TIMEOUT_MS: u64 = 2_000;

/// Returns the routers of the list that are live.
pub(crate) fn live_routers(list: &[VmEntry]) -> Vec<VmEntry> {
    let mut routers = Vec::new();
    for entry in list {
        if entry.role == RoleKind::Router && entry.phase == VmPhase::Live {
            routers.push(entry.clone());
        }
    }
    routers
}

/// Connects to a router's control address.
pub(crate) async fn connect_router(entry: &VmEntry) -> anyhow::Result<RouterControlClient> {
    let transport = connect_control(entry.control, ControlMeter::default()).await?;
    Ok(RouterControlClient::new(client::Config::default(), transport).spawn())
}

/// Connects to a side process's control address.
pub(crate) async fn connect_side(entry: &VmEntry) -> anyhow::Result<SideControlClient> {
    let transport = connect_control(entry.control, ControlMeter::default()).await?;
    Ok(SideControlClient::new(client::Config::default(), transport).spawn())
}

/// RPC context whose deadline is [`RPC_TIMEOUT_MS`] from now.
pub(crate) fn deadline() -> tarpc::context::Context {
    rpc_context(SpanMillis::new(RPC_TIMEOUT_MS))
}

pub(crate) async fn router_status(entry: VmEntry) -> anyhow::Result<RouterStatus> {
    Ok(connect_router(&entry).await?.status(deadline()).await?)
}

pub(crate) async fn side_status(entry: VmEntry) -> anyhow::Result<SideStatus> {
    Ok(connect_side(&entry).await?.status(deadline()).await?)
}

async fn router_snapshot(entry: VmEntry) -> anyhow::Result<Option<ClassSnapshot>> {
    Ok(connect_router(&entry)
        .await?
        .snapshot(deadline(), 0)
        .await?)
}

/// Calls all VMs of the list concurrently. Returns one result per VM, in the order of the list.
pub(crate) fn call_all<T, F>(
    context: &ToolContext,
    list: &[VmEntry],
    call: impl Fn(VmEntry) -> F,
) -> Vec<anyhow::Result<T>>
where
    T: Send + 'static,
    F: Future<Output = anyhow::Result<T>> + Send + 'static,
{
    context.runtime.block_on(async {
        let mut tasks = Vec::with_capacity(list.len());
        for entry in list {
            tasks.push(tokio::spawn(call(entry.clone())));
        }
        let mut results = Vec::with_capacity(tasks.len());
        for task in tasks {
            results.push(task.await.unwrap_or_else(|error| Err(error.into())));
        }
        results
    })
}

/// Returns the class table with the highest offset among those of all live routers. Routers that do not answer are
/// skipped.
pub(crate) fn newest_class_snapshot(
    context: &ToolContext,
) -> anyhow::Result<Option<ClassSnapshot>> {
    let routers = live_routers(&context.read_vms()?);
    let mut newest: Option<ClassSnapshot> = None;
    for result in call_all(context, &routers, router_snapshot) {
        let Ok(Some(snapshot)) = result else {
            continue;
        };
        if newest
            .as_ref()
            .is_none_or(|newest| newest.next_offset < snapshot.next_offset)
        {
            newest = Some(snapshot);
        }
    }
    Ok(newest)
}
