//! Fault injection into a running fleet: process signals, the VM list, proxies and stand-in faults.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use fescuetide_classes::ClassTargets;
use fescuetide_standin::faults::EngineFaults;
use fescuetide_standin::faults::ProxyFaults;
use fescuetide_standin::faults::VmListFaults;
use fescuetide_standin::proxy::ConnectionStatus;
use fescuetide_wire::vms::VmWire;
use serde::Serialize;

use crate::fleet::FleetProcesses;
use crate::fleet::FleetSettings;
use crate::fleet::stand_in_arguments;
use crate::ports::free_address;
use crate::process::ChildProcess;
use crate::process::SignalKind;
use crate::process::wait_for;

/// Timeout for a process to exit after SIGKILL and for a proxy to start.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(30);

/// The proxy of one upstream.
#[derive(Debug)]
pub struct ProxyNode {
    /// Address of its HTTP control interface.
    pub control: SocketAddr,
    /// The process.
    pub process: ChildProcess,
}

impl ProxyNode {
    /// Replaces the proxy's faults.
    ///
    /// # Errors
    ///
    /// Fails when the proxy does not answer.
    pub fn set_faults(&self, faults: &ProxyFaults) -> anyhow::Result<()> {
        put_faults(self.control, faults)
    }

    /// The open connections.
    ///
    /// # Errors
    ///
    /// Fails when the proxy does not answer.
    pub fn connections(&self) -> anyhow::Result<Vec<ConnectionStatus>> {
        let url = format!("http://{}/connections", self.control);
        Ok(ureq::get(url).call()?.body_mut().read_json()?)
    }
}

/// Replaces the faults of the stand-in whose HTTP interface is at `address`.
///
/// # Errors
///
/// Fails when the stand-in rejects them.
pub fn put_faults<T: Serialize>(address: SocketAddr, faults: &T) -> anyhow::Result<()> {
    ureq::put(format!("http://{address}/faults"))
        .send_json(faults)
        .with_context(|| format!("cannot set the faults of the stand-in at {address}"))?;
    Ok(())
}

impl FleetProcesses {
    pub(crate) fn start_proxy(
        &self,
        vm: &VmWire,
        side_address: SocketAddr,
    ) -> anyhow::Result<ProxyNode> {
        let control = free_address()?;
        let mut arguments = stand_in_arguments("proxy", vm.data);
        arguments.extend(["--target".to_owned(), side_address.to_string()]);
        arguments.extend(["--control".to_owned(), control.to_string()]);
        let process = self.start_stand_in(&format!("{}-proxy", vm.name), &arguments)?;
        let node = ProxyNode { control, process };
        wait_for("start of a proxy", PROCESS_TIMEOUT, || {
            node.connections().is_ok()
        })?;
        Ok(node)
    }

    /// The proxy of the upstream at `index`.
    ///
    /// # Errors
    ///
    /// Fails when it has none.
    pub fn proxy(&self, index: usize) -> anyhow::Result<&ProxyNode> {
        let proxy = self.upstreams[index].proxy.as_ref();
        proxy.with_context(|| format!("upstream {index} has no proxy"))
    }

    /// Sets or clears the leaving mark of the upstream at `index` and publishes the VM list.
    ///
    /// # Errors
    ///
    /// Fails when the VM list service rejects the request.
    pub fn mark_leaving(&mut self, index: usize, leaving: bool) -> anyhow::Result<()> {
        self.upstreams[index].vm.leaving = leaving;
        self.publish_vm_list()
    }

    /// Replaces the faults of the VM list.
    ///
    /// # Errors
    ///
    /// Fails when the VM list service rejects them.
    pub fn set_vm_list_faults(&self, faults: &VmListFaults) -> anyhow::Result<()> {
        put_faults(self.vm_list_address, faults)
    }

    /// Replaces the faults of the engine at `index`.
    ///
    /// # Errors
    ///
    /// Fails when the engine rejects them.
    pub fn set_engine_faults(&self, index: usize, faults: &EngineFaults) -> anyhow::Result<()> {
        put_faults(self.upstreams[index].upstream_address, faults)
    }

    /// Sends a signal to the upstream at `index`.
    ///
    /// # Errors
    ///
    /// Fails when it does not run.
    pub fn signal_upstream(&self, index: usize, kind: SignalKind) -> anyhow::Result<()> {
        signal(self.upstreams[index].upstream.as_ref(), kind)
    }

    /// Sends a signal to the side process at `index`.
    ///
    /// # Errors
    ///
    /// Fails when it does not run.
    pub fn signal_side(&self, index: usize, kind: SignalKind) -> anyhow::Result<()> {
        signal(self.upstreams[index].side.as_ref(), kind)
    }

    /// Sends a signal to the router at `index`.
    ///
    /// # Errors
    ///
    /// Fails when it does not run.
    pub fn signal_router(&self, index: usize, kind: SignalKind) -> anyhow::Result<()> {
        signal(self.routers[index].process.as_ref(), kind)
    }

    /// Kills the upstream at `index` and waits for it to exit.
    ///
    /// # Errors
    ///
    /// Fails when it does not run.
    pub fn kill_upstream(&mut self, index: usize) -> anyhow::Result<()> {
        kill(&mut self.upstreams[index].upstream)
    }

    /// Kills the side process at `index` and waits for it to exit.
    ///
    /// # Errors
    ///
    /// Fails when it does not run.
    pub fn kill_side(&mut self, index: usize) -> anyhow::Result<()> {
        kill(&mut self.upstreams[index].side)
    }

    /// Kills the router at `index` and waits for it to exit.
    ///
    /// # Errors
    ///
    /// Fails when it does not run.
    pub fn kill_router(&mut self, index: usize) -> anyhow::Result<()> {
        kill(&mut self.routers[index].process)
    }

    /// Kills the upstream at `index`, if it is running, and starts it again.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub fn restart_upstream(&mut self, index: usize) -> anyhow::Result<()> {
        self.upstreams[index].upstream = None;
        self.start_upstream(index)
    }

    /// Kills the side process at `index`, if it is running, and starts it again.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub fn restart_side(&mut self, index: usize) -> anyhow::Result<()> {
        self.upstreams[index].side = None;
        self.start_side(index)
    }

    /// Kills the router at `index`, if it is running, and starts it again.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub fn restart_router(&mut self, index: usize) -> anyhow::Result<()> {
        self.routers[index].process = None;
        self.start_router(index)
    }
}

fn signal(process: Option<&ChildProcess>, kind: SignalKind) -> anyhow::Result<()> {
    process.context("the process is not running")?.signal(kind)
}

fn kill(slot: &mut Option<ChildProcess>) -> anyhow::Result<()> {
    let mut process = slot.take().context("the process is not running")?;
    process.signal(SignalKind::Kill)?;
    anyhow::ensure!(
        process.wait_ended(PROCESS_TIMEOUT)?,
        "{} did not exit after SIGKILL",
        process.name()
    );
    Ok(())
}

/// Settings of a small fleet for fault tests: engines only, with one repeatable class `chat` and the default step of
/// 20 ms.
pub fn fault_settings(routers: usize, engines: usize) -> FleetSettings {
    let Ok(class) = "chat".parse() else {
        unreachable!("the class name is valid")
    };
    let targets = ClassTargets {
        repeatable: true,
        ..ClassTargets::default()
    };
    FleetSettings {
        routers,
        engines,
        services: 0,
        classes: vec![(class, targets)],
        ..FleetSettings::default()
    }
}
