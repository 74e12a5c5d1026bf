//! Command line program that runs one stand-in.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use fescuetide_standin::engine::EngineSettings;
use fescuetide_standin::engine::EngineStandIn;
use fescuetide_standin::journal::JournalFile;
use fescuetide_standin::log::LogStandIn;
use fescuetide_standin::proxy::ProxySettings;
use fescuetide_standin::proxy::ProxyStandIn;
use fescuetide_standin::service::ServiceSettings;
use fescuetide_standin::service::ServiceStandIn;
use fescuetide_standin::vms::VmListStandIn;
use fescuetide_standin::weights::WeightSettings;
use fescuetide_standin::weights::WeightStandIn;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use serde::de::DeserializeOwned;

/// Exit code for an invalid command line.
const USAGE_EXIT_CODE: u8 = 2;

const HELP_TEXT: &str = "\
Runs a stand-in for a platform service or an upstream, for tests and the demo.

Usage: fescuetide-standin ROLE --listen ADDRESS [OPTIONS]

Roles:
  engine     A model engine
  service    A plain service
  log        The platform's log service
  vms        The platform's VM list
  weights    The platform's weight store
  proxy      A TCP proxy that injects faults

Options:
  --listen ADDRESS     Address and port to listen on
  --name NAME          Name in the journal
  --journal FILE       File in which requests that ran are recorded
  --step-ms N          Engine: duration of a step in ms
  --prefill-tokens N   Engine: maximum prompt tokens processed per step
  --batch-limit N      Engine: maximum requests in the batch
  --cache-blocks N     Engine: capacity of the prefix cache in blocks
  --order-ms N         Engine: time to execute an order in ms
  --kv-block-us N      Engine: time to export or import a cache block in us
  --ignore-fencing     Engine: also execute orders with stale fencing numbers
  --run-ms N           Service: duration of a run in ms
  --rate-bytes N       Weights: total rate of all downloads in bytes/s
  --size-bytes N       Weights: size of each download in bytes
  --target ADDRESS     Proxy: address to which connections are forwarded
  --control ADDRESS    Proxy: address of its HTTP control interface
  --faults JSON        Initial faults, as in PUT /faults (not for log)
  -h, --help           Print this help
";

struct StandInCommand {
    role: String,
    listen: Option<SocketAddr>,
    journal: Option<PathBuf>,
    engine: EngineSettings,
    service: ServiceSettings,
    weights: WeightSettings,
    target: Option<SocketAddr>,
    control: Option<SocketAddr>,
    faults: Option<String>,
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
        weights: WeightSettings::default(),
        target: None,
        control: None,
        faults: None,
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
            Arg::Long("order-ms") => command.engine.order_ms = parser.value()?.parse()?,
            Arg::Long("kv-block-us") => command.engine.kv_block_us = parser.value()?.parse()?,
            Arg::Long("ignore-fencing") => command.engine.rejects_stale_orders = false,
            Arg::Long("rate-bytes") => {
                command.weights.rate_bytes_per_s = parser.value()?.parse()?
            }
            Arg::Long("size-bytes") => command.weights.size_bytes = parser.value()?.parse()?,
            Arg::Long("target") => command.target = Some(parser.value()?.parse()?),
            Arg::Long("control") => command.control = Some(parser.value()?.parse()?),
            Arg::Long("faults") => command.faults = Some(parser.value()?.string()?),
            Arg::Long("run-ms") => command.service.run_ms = parser.value()?.parse()?,
            Arg::Value(value) if command.role.is_empty() => command.role = value.string()?,
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(command))
}

fn run(command: StandInCommand) -> anyhow::Result<()> {
    let Some(listen) = command.listen else {
        anyhow::bail!("the option --listen is required");
    };
    let journal = command.journal.as_deref();
    let faults = command.faults.as_deref();
    match command.role.as_str() {
        "engine" => {
            let journal = JournalFile::open(&command.engine.name, journal)?;
            EngineStandIn::new(command.engine, journal, parse_faults(faults)?).serve(listen)
        }
        "service" => {
            let journal = JournalFile::open(&command.service.name, journal)?;
            ServiceStandIn::new(command.service, journal, parse_faults(faults)?).serve(listen)
        }
        "log" => LogStandIn::default().serve(listen),
        "vms" => VmListStandIn::new(parse_faults(faults)?).serve(listen),
        "weights" => WeightStandIn::new(command.weights, parse_faults(faults)?).serve(listen),
        "proxy" => {
            let settings = ProxySettings {
                target: command
                    .target
                    .context("the proxy requires the option --target")?,
                control: command
                    .control
                    .context("the proxy requires the option --control")?,
            };
            ProxyStandIn::new(settings, parse_faults(faults)?).serve(listen)
        }
        "" => anyhow::bail!("no role is given"),
        other => anyhow::bail!("unknown role {other:?}"),
    }
}

/// Parses the faults given on the command line. Without them, no fault is active.
fn parse_faults<T: Default + DeserializeOwned>(text: Option<&str>) -> anyhow::Result<T> {
    match text {
        Some(text) => serde_json::from_str(text).context("the value of --faults is malformed"),
        None => Ok(T::default()),
    }
}
