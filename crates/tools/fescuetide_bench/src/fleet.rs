//! A fleet of real processes on loopback.

mod upstreams;

use std::fmt::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use fescuetide_base::ChangeId;
use fescuetide_base::ClassName;
use fescuetide_base::ClassVersion;
use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_classes::ChangeAction;
use fescuetide_classes::ClassChange;
use fescuetide_classes::ClassTargets;
use fescuetide_net::ControlMeter;
use fescuetide_net::LogClient;
use fescuetide_wire::log::CLASS_STREAM;
use fescuetide_wire::log::ChangeWire;
use fescuetide_wire::log::ClassRecord;
use fescuetide_wire::vms::VmWire;

use crate::fleet_faults::ProxyNode;
use crate::ports::free_address;
use crate::probe::StatusProbe;
use crate::process::ChildProcess;
use crate::process::ProgramPaths;
use crate::process::build_programs;
use crate::process::wait_for;

/// How long processes may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout of a call to a stand-in.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// Size and configuration of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// The region.
    pub region: String,
    /// The availability zones; VMs are assigned to them round-robin.
    pub zones: Vec<String>,
    /// Number of routers.
    pub routers: usize,
    /// Number of engines in the pool `fescuetide-pool`.
    pub engines: usize,
    /// The pool of plain services.
    pub service_pool: String,
    /// Number of plain services.
    pub services: usize,
    /// Classes to publish when the fleet starts.
    pub classes: Vec<(ClassName, ClassTargets)>,
    /// Options of engine stand-ins.
    pub engine_options: Vec<String>,
    /// Options of service stand-ins.
    pub service_options: Vec<String>,
    /// Whether all side processes of a role share one upstream. This reduces the number of processes when only the
    /// fleet's own processes are measured.
    pub shared_upstream: bool,
    /// Lines added to the routers' settings.
    pub router_lines: Vec<String>,
    /// Lines added to the side processes' settings.
    pub side_lines: Vec<String>,
    /// Indices of the upstreams whose side processes routers reach through a fault-injecting proxy.
    pub proxied: Vec<usize>,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            region: "ch-west".to_owned(),
            zones: ["lsn-a", "lsn-b", "gva-1"].map(str::to_owned).to_vec(),
            routers: 3,
            engines: 12,
            service_pool: "deck-api".to_owned(),
            services: 3,
            classes: Vec::new(),
            engine_options: Vec::new(),
            service_options: Vec::new(),
            shared_upstream: false,
            router_lines: Vec::new(),
            side_lines: Vec::new(),
            proxied: Vec::new(),
        }
    }
}

/// An upstream with its side process.
#[derive(Debug)]
pub struct UpstreamNode {
    /// Its entry in the VM list.
    pub vm: VmWire,
    /// Address that the side process listens on. If there is a proxy, the VM list contains the proxy's address instead.
    pub side_address: SocketAddr,
    /// The proxy between routers and the side process.
    pub proxy: Option<ProxyNode>,
    /// Address that the upstream listens on.
    pub upstream_address: SocketAddr,
    /// Journal file in which the upstream records the requests it runs.
    pub journal: PathBuf,
    /// The upstream.
    pub upstream: Option<ChildProcess>,
    /// The side process.
    pub side: Option<ChildProcess>,
    /// Whether the VM was removed from the VM list.
    pub removed: bool,
}

/// A router of the fleet.
#[derive(Debug)]
pub struct RouterNode {
    /// Its entry in the VM list.
    pub vm: VmWire,
    /// The process.
    pub process: Option<ChildProcess>,
}

/// A running fleet. All processes are killed when it is dropped.
#[derive(Debug)]
pub struct FleetProcesses {
    /// The settings it was started with.
    pub settings: FleetSettings,
    /// Folder of logs, settings files and journals.
    pub folder: PathBuf,
    /// The routers.
    pub routers: Vec<RouterNode>,
    /// Engines, followed by plain services.
    pub upstreams: Vec<UpstreamNode>,
    /// The log service's address.
    pub log_address: SocketAddr,
    /// The VM list's address.
    pub vm_list_address: SocketAddr,
    /// The log service.
    pub log: Option<ChildProcess>,
    /// The VM list.
    pub vm_list: Option<ChildProcess>,
    programs: ProgramPaths,
}

impl FleetProcesses {
    /// Starts all processes and waits until all routers accept requests and know all classes.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start or does not answer in time.
    pub fn start(settings: FleetSettings) -> anyhow::Result<Self> {
        let programs = build_programs()?;
        let mut fleet = Self {
            settings,
            folder: create_fleet_folder()?,
            routers: Vec::new(),
            upstreams: Vec::new(),
            log_address: free_address()?,
            vm_list_address: free_address()?,
            log: None,
            vm_list: None,
            programs,
        };
        fleet.start_log()?;
        fleet.start_vm_list()?;
        for ordinal in 0..fleet.settings.engines {
            fleet.add_upstream("engine", ordinal)?;
        }
        for ordinal in 0..fleet.settings.services {
            fleet.add_upstream("service", ordinal)?;
        }
        for ordinal in 0..fleet.settings.routers {
            fleet.add_router(ordinal)?;
        }
        wait_for("start of the VM list", START_TIMEOUT, || {
            fleet.publish_vm_list().is_ok()
        })?;
        let classes = fleet.settings.classes.clone();
        for (class, targets) in classes {
            fleet.publish_class(&class, targets, ClassVersion::default())?;
        }
        wait_for("start of the routers", START_TIMEOUT, || {
            fleet.routers.iter().all(|router| is_ready(router.vm.data))
        })?;
        // Requests are refused until the upstream's side process listens.
        let probe = StatusProbe::new()?;
        wait_for("start of the side processes", START_TIMEOUT, || {
            fleet.upstreams.iter().all(|node| {
                probe
                    .side(node.vm.control)
                    .is_ok_and(|status| status.vm.as_str() == node.vm.name)
            })
        })?;
        // A router reports ready after the first log records; it may not have read the last published classes yet.
        let published = fleet.settings.classes.len() as u64;
        wait_for("classes in force on all routers", START_TIMEOUT, || {
            fleet.routers.iter().all(|router| {
                probe
                    .router(router.vm.control)
                    .is_ok_and(|status| status.class_offset >= published)
            })
        })?;
        Ok(fleet)
    }

    /// Starts the log service.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub fn start_log(&mut self) -> anyhow::Result<()> {
        let arguments = stand_in_arguments("log", self.log_address);
        self.log = Some(self.start_stand_in("log", &arguments)?);
        let address = self.log_address;
        wait_for("start of the log service", START_TIMEOUT, || {
            ureq::get(format!("http://{address}/streams/{CLASS_STREAM}"))
                .call()
                .is_ok()
        })
    }

    fn start_vm_list(&mut self) -> anyhow::Result<()> {
        let arguments = stand_in_arguments("vms", self.vm_list_address);
        self.vm_list = Some(self.start_stand_in("vms", &arguments)?);
        Ok(())
    }

    pub(crate) fn start_stand_in(
        &self,
        name: &str,
        arguments: &[String],
    ) -> anyhow::Result<ChildProcess> {
        ChildProcess::start(name, &self.programs.standin, arguments, &self.folder)
    }

    fn zone(&self, ordinal: usize) -> String {
        let zones = &self.settings.zones;
        zones[ordinal % zones.len()].clone()
    }

    fn new_vm(&self, role: &str, ordinal: usize, pool: &str) -> anyhow::Result<VmWire> {
        Ok(VmWire {
            name: format!("{role}-{}", ordinal + 1),
            role: role.to_owned(),
            pool: pool.to_owned(),
            zone: self.zone(ordinal),
            region: self.settings.region.clone(),
            data: free_address()?,
            control: free_address()?,
            leaving: false,
        })
    }

    /// Adds a router and starts it, without publishing the VM list.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub fn add_router(&mut self, ordinal: usize) -> anyhow::Result<()> {
        let vm = self.new_vm("router", ordinal, "fescuetide-router")?;
        self.routers.push(RouterNode { vm, process: None });
        let index = self.routers.len() - 1;
        self.start_router(index)
    }

    /// Starts the router at `index` in the list of routers.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub fn start_router(&mut self, index: usize) -> anyhow::Result<()> {
        // A previous process that received SIGTERM may still hold the ports; dropping it kills it.
        self.routers[index].process = None;
        let vm = &self.routers[index].vm;
        let mut text = String::from("role = \"router\"\n\n[router]\n");
        write_vm_settings(&mut text, vm)?;
        writeln!(text, "listen = \"{}\"", vm.data)?;
        writeln!(text, "log_url = \"http://{}\"", self.log_address)?;
        writeln!(text, "vm_list_url = \"http://{}\"", self.vm_list_address)?;
        for line in &self.settings.router_lines {
            writeln!(text, "{line}")?;
        }
        let process = self.start_daemon(&vm.name, &text)?;
        self.routers[index].process = Some(process);
        Ok(())
    }

    fn start_daemon(&self, name: &str, settings: &str) -> anyhow::Result<ChildProcess> {
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings)?;
        let arguments = [path.display().to_string()];
        ChildProcess::start(name, &self.programs.daemon, &arguments, &self.folder)
    }

    /// Waits until the upstream at `index` and its side process accept connections.
    ///
    /// # Errors
    ///
    /// Fails when that takes too long.
    pub fn wait_upstream(&self, index: usize) -> anyhow::Result<()> {
        let node = &self.upstreams[index];
        wait_for("start of an upstream", START_TIMEOUT, || {
            TcpStream::connect(node.upstream_address).is_ok()
                && TcpStream::connect(node.vm.data).is_ok()
        })
    }

    /// Publishes the current VMs to the VM list service.
    ///
    /// # Errors
    ///
    /// Fails when the VM list service rejects the request.
    pub fn publish_vm_list(&self) -> anyhow::Result<()> {
        let mut list: Vec<&VmWire> = Vec::new();
        for router in &self.routers {
            list.push(&router.vm);
        }
        for node in &self.upstreams {
            if node.removed {
                continue;
            }
            list.push(&node.vm);
        }
        ureq::put(format!("http://{}/vms", self.vm_list_address)).send_json(&list)?;
        Ok(())
    }

    /// Appends a change of a class to the log.
    ///
    /// # Errors
    ///
    /// Fails when the log service rejects the append.
    pub fn publish_class(
        &self,
        class: &ClassName,
        targets: ClassTargets,
        based_on: ClassVersion,
    ) -> anyhow::Result<()> {
        let change = ClassChange {
            id: ChangeId::generate(),
            class: class.clone(),
            based_on,
            action: ChangeAction::Set(targets),
            author: "bench".to_owned(),
            at: ClockMillis::now(),
        };
        let record = ClassRecord::Change(ChangeWire::from(change));
        self.log_client()
            .append(CLASS_STREAM, &record)
            .with_context(|| format!("class {class} cannot be published"))?;
        Ok(())
    }

    /// A client of the fleet's log service.
    pub fn log_client(&self) -> LogClient {
        LogClient::new(
            format!("http://{}", self.log_address),
            SpanMillis::new(CALL_TIMEOUT_MS),
            ControlMeter::default(),
        )
    }

    /// The addresses of all routers for caller traffic.
    pub fn router_addresses(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(|router| router.vm.data).collect()
    }
}

impl Drop for FleetProcesses {
    fn drop(&mut self) {
        self.routers.clear();
        self.upstreams.clear();
        self.log = None;
        self.vm_list = None;
        if std::env::var_os("FESCUETIDE_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Whether the router at `address` reports that it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    ureq::get(format!("http://{address}/readyz")).call().is_ok()
}

fn write_vm_settings(text: &mut String, vm: &VmWire) -> anyhow::Result<()> {
    writeln!(text, "vm = \"{}\"", vm.name)?;
    writeln!(text, "zone = \"{}\"", vm.zone)?;
    writeln!(text, "region = \"{}\"", vm.region)?;
    writeln!(text, "control_listen = \"{}\"", vm.control)?;
    Ok(())
}

pub(crate) fn stand_in_arguments(role: &str, address: SocketAddr) -> Vec<String> {
    vec![role.to_owned(), "--listen".to_owned(), address.to_string()]
}

/// Creates a unique temporary folder for a fleet.
fn create_fleet_folder() -> anyhow::Result<PathBuf> {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("fescuetide-{}-{count}", std::process::id());
    let folder = Path::new(&std::env::temp_dir()).join(name);
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}
