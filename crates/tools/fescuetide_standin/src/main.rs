//! Runs one stand-in as a process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use fescuetide_standin::engine::EngineSettings;
use fescuetide_standin::engine::EngineStandIn;
use fescuetide_standin::journal::JournalFile;
use fescuetide_standin::log::LogStandIn;
use fescuetide_standin::service::ServiceSettings;
use fescuetide_standin::service::ServiceStandIn;
use fescuetide_standin::vms::VmListStandIn;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

/// Exit code for a wrong command line.
const USAGE_EXIT_CODE: u8 = 2;

const HELP_TEXT: &str = "\
Stand-ins for the platform and for upstreams, for tests and the demo.

Usage: fescuetide-standin ROLE --listen ADDRESS [OPTIONS]

Roles:
  engine     A model engine
  service    A plain service
  log        The platform's log service
  vms        The platform's VM list

Options:
  --listen ADDRESS     Address and port to serve
  --name NAME          Name in the journal
  --journal FILE       Where to write down what was run
  --step-ms N          Engine: time of one step in ms
  --prefill-tokens N   Engine: prompt tokens taken in by a step
  --batch-limit N      Engine: requests that run at once
  --cache-blocks N     Engine: size of the prefix cache in blocks
  --run-ms N           Service: time of a run in ms
  -h, --help           Print this help
";

struct StandInCommand {
    role: String,
    listen: Option<SocketAddr>,
    journal: Option<PathBuf>,
    engine: EngineSettings,
    service: ServiceSettings,
}

fn main() -> ExitCode {
    let command = match parse_command() {
        Ok(Some(command)) => command,
        Ok(None) => {
            print!("{HELP_TEXT}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("fescuetide-standin: {error}; see fescuetide-standin --help");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fescuetide-standin: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn parse_command() -> Result<Option<StandInCommand>, lexopt::Error> {
    let mut parser = Parser::from_env();
    let mut command = StandInCommand {
        role: String::new(),
        listen: None,
        journal: None,
        engine: EngineSettings::default(),
        service: ServiceSettings::default(),
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Long("listen") => command.listen = Some(parser.value()?.parse()?),
            Arg::Long("journal") => command.journal = Some(parser.value()?.parse()?),
            Arg::Long("name") => {
                let name = parser.value()?.string()?;
                command.engine.name = name.clone();
                command.service.name = name;
            }
            Arg::Long("step-ms") => command.engine.step_ms = parser.value()?.parse()?,
            Arg::Long("prefill-tokens") => {
                command.engine.prefill_tokens = parser.value()?.parse()?
            }
            Arg::Long("batch-limit") => command.engine.batch_limit = parser.value()?.parse()?,
            Arg::Long("cache-blocks") => command.engine.cache_blocks = parser.value()?.parse()?,
            Arg::Long("run-ms") => command.service.run_ms = parser.value()?.parse()?,
            Arg::Value(value) if command.role.is_empty() => command.role = value.string()?,
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(command))
}

fn run(command: StandInCommand) -> anyhow::Result<()> {
    let Some(listen) = command.listen else {
        anyhow::bail!("--listen is missing");
    };
    let journal = command.journal.as_deref();
    match command.role.as_str() {
        "engine" => {
            let journal = JournalFile::open(&command.engine.name, journal)?;
            EngineStandIn::new(command.engine, journal).serve(listen)
        }
        "service" => {
            let journal = JournalFile::open(&command.service.name, journal)?;
            ServiceStandIn::new(command.service, journal).serve(listen)
        }
        "log" => LogStandIn::default().serve(listen),
        "vms" => VmListStandIn::default().serve(listen),
        "" => anyhow::bail!("the role is missing"),
        other => anyhow::bail!("{other:?} is not a role"),
    }
}
