//! The demo and the experiments.

use std::process::ExitCode;

use fescuetide_bench::demo;
use fescuetide_bench::demo::DemoSettings;
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

Options:
  --seed N        Seed of the traffic (default 1)
  --seconds N     How long traffic is sent (default 10)
  -h, --help      Print this help
";

enum BenchCommand {
    Help,
    Demo(DemoSettings),
}

fn main() -> ExitCode {
    let result = match parse_command() {
        Ok(BenchCommand::Help) => {
            print!("{HELP_TEXT}");
            Ok(())
        }
        Ok(BenchCommand::Demo(settings)) => demo::run(&settings),
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

fn parse_command() -> Result<BenchCommand, lexopt::Error> {
    let mut parser = Parser::from_env();
    let mut settings = DemoSettings::default();
    let mut name = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(BenchCommand::Help),
            Arg::Long("seed") => settings.seed = parser.value()?.parse()?,
            Arg::Long("seconds") => settings.seconds = parser.value()?.parse()?,
            Arg::Value(value) if name.is_none() => name = Some(value.string()?),
            other => return Err(other.unexpected()),
        }
    }
    match name.as_deref() {
        Some("demo") => Ok(BenchCommand::Demo(settings)),
        Some(other) => Err(format!("{other:?} is not an experiment").into()),
        None => Err("the name is missing".into()),
    }
}
