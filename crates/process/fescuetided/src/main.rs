//! The fescuetide daemon. The settings file selects its role: router, gateway or side process.

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
use crate::logs::LogOutput;
use fescuetided::settings::DaemonSettings;
use fescuetided::settings::RoleSettings;

/// Exit code for an invalid command line or invalid settings.
const USAGE_EXIT_CODE: u8 = 2;

/// Interval at which a router or side process polls for a termination signal and, while draining, for idleness.
const POLL_INTERVAL_MS: u64 = 20;

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
    let output = match &settings.role {
        RoleSettings::Gateway(_) => LogOutput::QueuedStdout,
        RoleSettings::Router(_) | RoleSettings::Side(_) => LogOutput::Stderr,
    };
    let queue = logs::start(&settings.log, output);
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

/// Starts the role, waits for a termination signal, drains, and returns when no work is left.
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

fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
}
