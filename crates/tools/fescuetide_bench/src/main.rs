//! Command line of the demo and the experiments.

use std::path::PathBuf;
use std::process::ExitCode;

use fescuetide_bench::compare::run_churn;
use fescuetide_bench::compare::run_faults;
use fescuetide_bench::compare::run_surge;
use fescuetide_bench::demo;
use fescuetide_bench::experiment::ExperimentOptions;
use fescuetide_bench::faults::FaultName;
use fescuetide_bench::load;
use fescuetide_bench::load::LoadOptions;
use fescuetide_bench::scale;
use fescuetide_bench::scale::ScaleSettings;
use fescuetide_bench::signals::install_signal_handlers;
use fescuetide_bench::worth;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

/// Exit code for a wrong command line.
const USAGE_EXIT_CODE: u8 = 2;

const HELP_TEXT: &str = "\
Runs fescuetide fleets on loopback and measures them.

Usage: fescuetide_bench NAME [OPTIONS]

Names:
  demo              Multi-turn chats and service calls under the policies
                    fescuetide, random and round robin
  churn             One engine leaves and another joins every 10 s
  surge             3 of 10 workspaces send at 8 times their usual rate
  faults            Named faults, each alone and then in pairs
  scale             Control cost per router at three fleet sizes
  load              Load patterns replayed through the routing decisions with
                    a model of engines, for fescuetide and three baselines
  worth REPORT...   Tables of the worth (score) of a day by request class and
                    cost, from day reports of the users' benchmark; with
                    --plot also one plot over time, with --log also how
                    requests ended that were not served

Options:
  --seed N          Seed of the load (default 1)
  --deployment NAME foliengut (default) or corrib
  --seconds N       Duration of the load (not for faults and scale)
  --quick           Run a shorter form
  --set LINE        Add a line to the routers' settings
  --sizes LIST      Scale: numbers of routers (default 8,24,72)
  --only NAMES      Faults to run, such as pause,kill
  --seeds N         Faults: number of seeds, starting at --seed (default 1)
  --pattern NAME    Load: a pattern to replay, such as burst (default all)
  --policy NAME     Load: ours (the policy fescuetide), random, least-loaded
                    or rendezvous (default all)
  --rate X          Load: multiple of the usual rates (default 1)
  --multiple X      Load: X in the load cap of an engine, X * mean load + N
  --allowance N     Load: N in the load cap of an engine
  --log FILE        Worth: log lines of the gateways of a day
  --json            Print one JSON object as the last line
  --plot FOLDER     Write SVG plots of churn, surge or worth
  -h, --help        Print this help

The exit code is 1 when a guarantee was violated or a run failed, and 2 for a
wrong command line or file. With FESCUETIDE_KEEP set in the environment, the folders of
the fleets (logs, settings files and journals) are not deleted.
";

enum BenchCommand {
    Help,
    Run(Box<BenchRun>),
}

#[derive(Default)]
struct BenchRun {
    name: String,
    options: ExperimentOptions,
    only: Vec<FaultName>,
    seeds: Option<u64>,
    sizes: Option<Vec<usize>>,
    json: bool,
    plots: Option<PathBuf>,
    reports: Vec<PathBuf>,
    logs: Vec<PathBuf>,
    load: LoadOptions,
}

fn main() -> ExitCode {
    let run = match parse_command() {
        Ok(BenchCommand::Help) => {
            print!("{HELP_TEXT}");
            return ExitCode::SUCCESS;
        }
        Ok(BenchCommand::Run(run)) => run,
        Err(error) => {
            eprintln!("fescuetide_bench: {error}; see fescuetide_bench --help");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    match run_command(&run) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("fescuetide_bench: {error:#}");
            // This command only reads files, so they are at fault.
            match run.name.as_str() {
                "worth" => ExitCode::from(USAGE_EXIT_CODE),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

/// Runs the command and returns the number of violated guarantees.
fn run_command(run: &BenchRun) -> anyhow::Result<usize> {
    install_signal_handlers()?;
    let plots = run.plots.as_deref();
    let result = match run.name.as_str() {
        "churn" => run_churn(&run.options, plots)?,
        "surge" => run_surge(&run.options, plots)?,
        "faults" => return run_fault_seeds(run),
        "scale" => return run_scale(run),
        "load" => {
            load::run(&LoadOptions {
                seed: run.options.seed,
                ..run.load.clone()
            });
            return Ok(0);
        }
        "worth" => return worth::run(&run.reports, &run.logs, plots).map(|()| 0),
        _ => return demo::run(&run.options),
    };
    if run.json {
        println!("{}", result.json);
    }
    Ok(result.violations)
}

/// Runs the fault experiment for each seed and returns the total number of violated guarantees.
fn run_fault_seeds(run: &BenchRun) -> anyhow::Result<usize> {
    let mut violations = 0;
    let mut failing_seeds = Vec::new();
    let count = run.seeds.unwrap_or(1);
    for seed in run.options.seed..run.options.seed.saturating_add(count) {
        let options = ExperimentOptions {
            seed,
            ..run.options.clone()
        };
        let result = run_faults(&options, &run.only)?;
        if run.json {
            println!("{}", result.json);
        }
        if result.violations > 0 {
            failing_seeds.push(seed.to_string());
        }
        violations += result.violations;
    }
    if count > 1 {
        println!(
            "{count} seeds, {violations} violations; seeds with a violation: {}",
            failing_seeds.join(" ")
        );
    }
    Ok(violations)
}

fn run_scale(run: &BenchRun) -> anyhow::Result<usize> {
    let fallback = ScaleSettings::default();
    let violations = scale::run(&ScaleSettings {
        seed: run.options.seed,
        sizes: run.sizes.clone().unwrap_or(fallback.sizes),
        json: run.json,
        ..fallback
    })?;
    Ok(violations as usize)
}

/// Parses a comma-separated list of fleet sizes, such as `8,24,72`.
fn parse_sizes(text: &str) -> Result<Vec<usize>, lexopt::Error> {
    let mut sizes = Vec::new();
    for part in text.split(',') {
        let size: usize = part
            .parse()
            .map_err(|_| format!("{part:?} is not a number of routers"))?;
        sizes.push(size);
    }
    Ok(sizes)
}

fn parse_command() -> Result<BenchCommand, lexopt::Error> {
    let mut parser = Parser::from_env();
    let mut run = BenchRun::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(BenchCommand::Help),
            Arg::Long("seed") => run.options.seed = parser.value()?.parse()?,
            Arg::Long("seconds") => run.options.seconds = Some(parser.value()?.parse()?),
            Arg::Long("deployment") => run.options.deployment = parser.value()?.parse()?,
            Arg::Long("set") => run.options.router_lines.push(parser.value()?.string()?),
            Arg::Long("seeds") => run.seeds = Some(parser.value()?.parse()?),
            Arg::Long("quick") => run.options.quick = true,
            Arg::Long("sizes") => run.sizes = Some(parse_sizes(&parser.value()?.string()?)?),
            Arg::Long("json") => run.json = true,
            Arg::Long("plot") => run.plots = Some(parser.value()?.into()),
            Arg::Long("pattern") => run.load.patterns.push(parser.value()?.parse()?),
            Arg::Long("policy") => run.load.policies.push(parser.value()?.parse()?),
            Arg::Long("rate") => run.load.rate_factor = Some(parser.value()?.parse()?),
            Arg::Long("multiple") => run.load.load_multiple = Some(parser.value()?.parse()?),
            Arg::Long("allowance") => run.load.load_allowance = Some(parser.value()?.parse()?),
            Arg::Long("log") => run.logs.push(parser.value()?.into()),
            Arg::Long("only") => {
                for name in parser.value()?.string()?.split(',') {
                    run.only.push(name.parse()?);
                }
            }
            Arg::Value(value) if run.name.is_empty() => run.name = value.string()?,
            Arg::Value(value) if run.name == "worth" => run.reports.push(value.into()),
            other => return Err(other.unexpected()),
        }
    }
    match run.name.as_str() {
        "demo" | "churn" | "surge" | "faults" | "scale" | "load" | "worth" => {
            Ok(BenchCommand::Run(Box::new(run)))
        }
        "" => Err("the name is missing".into()),
        other => Err(format!("{other:?} is not an experiment").into()),
    }
}
