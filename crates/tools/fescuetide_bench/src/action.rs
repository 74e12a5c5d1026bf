//! Scheduled changes and faults of a run, and their execution on a fleet.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use fescuetide_base::ClassName;
use fescuetide_base::ClassVersion;
use fescuetide_base::ClockMillis;
use fescuetide_base::LogOffset;
use fescuetide_base::SpanMillis;
use fescuetide_classes::ClassTargets;
use fescuetide_classes::LatenessTarget;
use fescuetide_wire::log::CLASS_STREAM;

use crate::fleet::FleetProcesses;
use crate::fleet_faults::put_faults;
use crate::process::ChildProcess;
use crate::process::SignalKind;

/// How long a process may take to exit after SIGTERM.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout of the check whether a process has exited.
const EXIT_CHECK_TIMEOUT: Duration = Duration::from_millis(1);

/// The process of the fleet that an action applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultTarget {
    /// A router, by index in the list of routers.
    Router(usize),
    /// The side process of an upstream, by index in the list of upstreams.
    Side(usize),
    /// An upstream, by index in the list of upstreams.
    Upstream(usize),
    /// The fault-injecting proxy in front of the side process of an upstream.
    Proxy(usize),
    /// The log service.
    Log,
    /// The VM list.
    VmList,
}

/// A change to the fleet or an injected fault.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// Marks an upstream as leaving in the VM list.
    ListLeaving(usize),
    /// Kills the upstream and side process of a VM and removes the VM from the VM list.
    RemoveVm(usize),
    /// Starts a new engine and lists it once its side process accepts connections.
    AddEngine,
    /// Sends SIGSTOP.
    Pause(FaultTarget),
    /// Sends SIGCONT.
    Resume(FaultTarget),
    /// Sends SIGKILL.
    Kill(FaultTarget),
    /// Starts a terminated process again on the same address.
    Start(FaultTarget),
    /// Sends SIGTERM and waits for the process to exit by itself.
    Drain(FaultTarget),
    /// Replaces a stand-in's faults with these, in JSON.
    SetFaults(FaultTarget, String),
    /// Restarts all upstreams that have exited by themselves.
    Revive,
    /// Publishes this many conflicting changes of a class concurrently.
    RaceChanges(String, u32),
}

/// An action scheduled relative to the start of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedAction {
    /// Time from the start of the load, in ms.
    pub at_ms: u64,
    /// The action.
    pub action: FaultAction,
}

/// Schedules an action.
pub fn schedule(at_ms: u64, action: FaultAction) -> TimedAction {
    TimedAction { at_ms, action }
}

/// A completed action.
#[derive(Clone, Debug)]
pub struct ActionRecord {
    /// Start time, in ms since the Unix epoch.
    pub started_ms: u64,
    /// Completion time, in ms since the Unix epoch.
    pub at_ms: u64,
    /// The action.
    pub action: FaultAction,
    /// Name of the VM or service that the action applied to, or empty.
    pub vm: String,
    /// Next offset of the class log after class changes were published.
    pub next_class_offset: Option<u64>,
}

/// Executes an action.
///
/// # Errors
///
/// Fails when a process cannot be signalled or started, or does not end after SIGTERM.
pub fn apply_action(
    fleet: &mut FleetProcesses,
    action: &FaultAction,
) -> anyhow::Result<ActionRecord> {
    let started_ms = ClockMillis::now().as_millis();
    let mut vm = String::new();
    let mut next_class_offset = None;
    match action {
        FaultAction::ListLeaving(index) => {
            fleet.upstreams[*index].vm.leaving = true;
            vm = fleet.upstreams[*index].vm.name.clone();
            fleet.publish_vm_list()?;
        }
        FaultAction::RemoveVm(index) => {
            let node = &mut fleet.upstreams[*index];
            node.side = None;
            node.upstream = None;
            node.removed = true;
            vm = node.vm.name.clone();
            fleet.publish_vm_list()?;
        }
        FaultAction::AddEngine => vm = add_engine(fleet)?,
        FaultAction::Pause(target) => vm = signal(fleet, *target, SignalKind::Pause)?,
        FaultAction::Resume(target) => vm = signal(fleet, *target, SignalKind::Resume)?,
        FaultAction::Kill(target) => {
            vm = target_name(fleet, *target);
            *process_slot(fleet, *target)? = None;
        }
        FaultAction::Start(target) => {
            vm = target_name(fleet, *target);
            start_target(fleet, *target)?;
        }
        FaultAction::Drain(target) => {
            vm = signal(fleet, *target, SignalKind::Terminate)?;
            if let Some(process) = process_slot(fleet, *target)? {
                let ended = process.wait_ended(DRAIN_TIMEOUT)?;
                anyhow::ensure!(ended, "{vm} did not end within {DRAIN_TIMEOUT:?}");
            }
            *process_slot(fleet, *target)? = None;
        }
        FaultAction::SetFaults(target, json) => {
            vm = target_name(fleet, *target);
            let faults: serde_json::Value = serde_json::from_str(json)?;
            put_faults(fault_address(fleet, *target)?, &faults)?;
        }
        FaultAction::Revive => vm = restart_exited(fleet)?,
        FaultAction::RaceChanges(class, count) => {
            publish_conflicting(fleet, class, *count)?;
            let read = fleet
                .log_client()
                .read(CLASS_STREAM, LogOffset::default(), 1)?;
            next_class_offset = Some(read.next);
        }
    }
    Ok(ActionRecord {
        started_ms,
        at_ms: ClockMillis::now().as_millis(),
        action: action.clone(),
        vm,
        next_class_offset,
    })
}

fn add_engine(fleet: &mut FleetProcesses) -> anyhow::Result<String> {
    let index = fleet.upstreams.len();
    let mut ordinal = 0;
    for node in &fleet.upstreams {
        ordinal += usize::from(node.vm.role == "engine");
    }
    fleet.add_upstream("engine", ordinal)?;
    fleet.wait_upstream(index)?;
    fleet.publish_vm_list()?;
    Ok(fleet.upstreams[index].vm.name.clone())
}

/// Restarts upstreams that have exited. Returns their names.
fn restart_exited(fleet: &mut FleetProcesses) -> anyhow::Result<String> {
    let mut names = Vec::new();
    for index in 0..fleet.upstreams.len() {
        let node = &mut fleet.upstreams[index];
        let Some(process) = &mut node.upstream else {
            continue;
        };
        if process.wait_ended(EXIT_CHECK_TIMEOUT)? {
            names.push(node.vm.name.clone());
            fleet.restart_upstream(index)?;
        }
    }
    Ok(names.join(" "))
}

fn fault_address(fleet: &FleetProcesses, target: FaultTarget) -> anyhow::Result<SocketAddr> {
    match target {
        FaultTarget::Upstream(index) => Ok(fleet.upstreams[index].upstream_address),
        FaultTarget::Proxy(index) => Ok(fleet.proxy(index)?.control),
        FaultTarget::Log => Ok(fleet.log_address),
        FaultTarget::VmList => Ok(fleet.vm_list_address),
        FaultTarget::Router(_) | FaultTarget::Side(_) => {
            anyhow::bail!("{target:?} is not a stand-in")
        }
    }
}

fn signal(
    fleet: &mut FleetProcesses,
    target: FaultTarget,
    kind: SignalKind,
) -> anyhow::Result<String> {
    if let Some(process) = process_slot(fleet, target)? {
        process.signal(kind)?;
    }
    Ok(target_name(fleet, target))
}

fn process_slot(
    fleet: &mut FleetProcesses,
    target: FaultTarget,
) -> anyhow::Result<&mut Option<ChildProcess>> {
    Ok(match target {
        FaultTarget::Router(index) => &mut fleet.routers[index].process,
        FaultTarget::Side(index) => &mut fleet.upstreams[index].side,
        FaultTarget::Upstream(index) => &mut fleet.upstreams[index].upstream,
        FaultTarget::Log => &mut fleet.log,
        FaultTarget::VmList => &mut fleet.vm_list,
        FaultTarget::Proxy(index) => {
            anyhow::bail!("the proxy of upstream {index} cannot be signalled")
        }
    })
}

fn target_name(fleet: &FleetProcesses, target: FaultTarget) -> String {
    match target {
        FaultTarget::Router(index) => fleet.routers[index].vm.name.clone(),
        FaultTarget::Side(index) | FaultTarget::Upstream(index) | FaultTarget::Proxy(index) => {
            fleet.upstreams[index].vm.name.clone()
        }
        FaultTarget::Log => "log".to_owned(),
        FaultTarget::VmList => "vms".to_owned(),
    }
}

fn start_target(fleet: &mut FleetProcesses, target: FaultTarget) -> anyhow::Result<()> {
    match target {
        FaultTarget::Router(index) => fleet.start_router(index),
        FaultTarget::Side(index) => fleet.start_side(index),
        FaultTarget::Upstream(index) => fleet.start_upstream(index),
        FaultTarget::Log | FaultTarget::VmList | FaultTarget::Proxy(_) => {
            anyhow::bail!(
                "{target:?} cannot be restarted because it would lose its state; pause it instead"
            )
        }
    }
}

/// Publishes changes that are all based on the class's first version, so at most one may be accepted.
fn publish_conflicting(fleet: &FleetProcesses, class: &str, count: u32) -> anyhow::Result<()> {
    let class: ClassName = class.parse()?;
    thread::scope(|scope| {
        let mut operators = Vec::new();
        for number in 0..count {
            let class = &class;
            operators.push(scope.spawn(move || publish_change(fleet, class, number)));
        }
        for operator in operators {
            match operator.join() {
                Ok(result) => result?,
                Err(_) => anyhow::bail!("an operator's thread panicked"),
            }
        }
        Ok(())
    })
}

fn publish_change(fleet: &FleetProcesses, class: &ClassName, number: u32) -> anyhow::Result<()> {
    let targets = ClassTargets {
        lateness: LatenessTarget {
            within: SpanMillis::new(1_000 + u64::from(number)),
            ..LatenessTarget::default()
        },
        repeatable: true,
        ..ClassTargets::default()
    };
    fleet.publish_class(class, targets, ClassVersion::new(1))
}
