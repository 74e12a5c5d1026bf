//! The fescuetide daemon. Its settings file says whether it runs as a router or as a side process.

mod command;
mod log_queue;
mod logs;

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use anyhow::Context;
use fescuetide_gateway::GatewayProcess;
use fescuetide_platform::PlatformHttpCodec;
use fescuetide_platform::PlatformRecordCodec;
use fescuetide_router::RouterProcess;
use fescuetide_side::SideProcess;
use fescuetided::settings;

use crate::command::DaemonCommand;
use crate::logs::LogTarget;
use fescuetided::settings::DaemonSettings;
use fescuetided::settings::RoleSettings;

/// Exit code for a wrong command line or wrong settings.
const USAGE_EXIT_CODE: u8 = 2;

/// How often a draining process looks whether it is idle.
const DRAIN_STEP_MS: u64 = 20;

fn main() -> ExitCode {
    let command = match command::parse_command() {
        Ok(command) => command,
        Err(error) => {
            eprintln!("fescuetided: {error}; see fescuetided --help");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    match command {
        DaemonCommand::Help => {
            print!("{}", command::HELP_TEXT);
            ExitCode::SUCCESS
        }
        DaemonCommand::Version => {
            println!("fescuetided {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        DaemonCommand::Check(path) => match settings::load(&path) {
            Ok(_) => {
                println!("{}: settings are valid", path.display());
                ExitCode::SUCCESS
            }
            Err(findings) => report_findings(&findings),
        },
        DaemonCommand::Run(path) => match settings::load(&path) {
            Ok(settings) => run(settings),
            Err(findings) => report_findings(&findings),
        },
    }
}

fn report_findings(findings: &fescuetide_base::FindingList) -> ExitCode {
    eprintln!("{findings}");
    ExitCode::from(USAGE_EXIT_CODE)
}

fn run(settings: DaemonSettings) -> ExitCode {
    let target = match &settings.role {
        RoleSettings::Gateway(_) => LogTarget::Queue,
        RoleSettings::Router(_) | RoleSettings::Side(_) => LogTarget::Stderr,
    };
    let queue = logs::start(&settings.log, target);
    let result = run_role(settings.role);
    if let Err(error) = &result {
        tracing::error!("{error:#}");
    }
    if let Some(queue) = queue {
        queue.flush();
    }
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

/// Starts the role and returns when a termination signal came and all work is done.
fn run_role(role: RoleSettings) -> anyhow::Result<()> {
    if let RoleSettings::Gateway(settings) = &role {
        let process = GatewayProcess::start(settings, PlatformHttpCodec, &PlatformRecordCodec)?;
        process.run()?;
        tracing::info!("stopped");
        return Ok(());
    }
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&stop))
            .context("cannot handle termination signals")?;
    }
    match role {
        RoleSettings::Router(settings) => {
            let process = RouterProcess::start(settings)?;
            wait_until(|| stop.load(Ordering::Acquire));
            tracing::info!("draining");
            process.drain();
            wait_until(|| process.is_idle());
        }
        RoleSettings::Side(settings) => {
            let process = SideProcess::start(settings)?;
            wait_until(|| stop.load(Ordering::Acquire));
            tracing::info!("draining");
            process.drain();
            wait_until(|| process.is_idle());
        }
        RoleSettings::Gateway(_) => {}
    }
    tracing::info!("stopped");
    Ok(())
}

fn wait_until(done: impl Fn() -> bool) {
    while !done() {
        thread::sleep(Duration::from_millis(DRAIN_STEP_MS));
    }
}
