//! The demo and the experiments.

use std::process::ExitCode;

use fescuetide_bench::demo;
use fescuetide_bench::demo::DemoSettings;
use fescuetide_bench::scale;
use fescuetide_bench::scale::ScaleSettings;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

/// Exit code for a wrong command line.
const USAGE_EXIT_CODE: u8 = 2;

const HELP_TEXT: &str = "\
Runs fescuetide fleets on loopback and measures them.

Usage: fescuetide_bench NAME [OPTIONS]

Names:
  demo            A fleet with returning chats for some seconds
  scale           Control cost per router at three fleet sizes

Options:
  --seed N        Seed of the traffic (default 1)
  --sizes LIST    Scale: numbers of routers (default 8,24,72)
  --json          Print the result as JSON on the last line
  --seconds N     How long traffic is sent (default 10)
  -h, --help      Print this help
";

enum BenchCommand {
    Help,
    Demo(DemoSettings),
    Scale(ScaleSettings),
}

fn main() -> ExitCode {
    let result = match parse_command() {
        Ok(BenchCommand::Help) => {
            print!("{HELP_TEXT}");
            Ok(())
        }
        Ok(BenchCommand::Demo(settings)) => demo::run(&settings),
        Ok(BenchCommand::Scale(settings)) => scale::run(&settings).and_then(check_violations),
        Err(error) => {
            eprintln!("fescuetide_bench: {error}; see fescuetide_bench --help");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fescuetide_bench: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn check_violations(count: u64) -> anyhow::Result<()> {
    anyhow::ensure!(count == 0, "{count} violations");
    Ok(())
}

/// Reads a list such as `8,24,72`.
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
    let mut settings = DemoSettings::default();
    let mut scale = ScaleSettings::default();
    let mut name = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(BenchCommand::Help),
            Arg::Long("seed") => settings.seed = parser.value()?.parse()?,
            Arg::Long("json") => scale.json = true,
            Arg::Long("sizes") => scale.sizes = parse_sizes(&parser.value()?.string()?)?,
            Arg::Long("seconds") => settings.seconds = parser.value()?.parse()?,
            Arg::Value(value) if name.is_none() => name = Some(value.string()?),
            other => return Err(other.unexpected()),
        }
    }
    match name.as_deref() {
        Some("demo") => Ok(BenchCommand::Demo(settings)),
        Some("scale") => {
            scale.seed = settings.seed;
            Ok(BenchCommand::Scale(scale))
        }
        Some(other) => Err(format!("{other:?} is not an experiment").into()),
        None => Err("the name is missing".into()),
    }
}
