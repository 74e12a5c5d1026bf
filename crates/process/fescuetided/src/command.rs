//! Command-line parsing of the daemon.

use std::path::PathBuf;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

/// Output of `--help`.
pub(crate) const HELP_TEXT: &str = "\
The fescuetide daemon. Runs as a router, a gateway or a side process, as set by
the key role of the settings file.

Usage: fescuetided [OPTIONS] SETTINGS

Arguments:
  SETTINGS          TOML settings file, see docs/configuration.md

Options:
  --check-config    Check the settings, print all findings and exit;
                    exit code 2 when there are any
  -h, --help        Print this help
  -V, --version     Print the version
";

/// Action selected by the command line.
#[derive(Debug)]
pub(crate) enum DaemonCommand {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Validate the settings file and exit.
    Check(PathBuf),
    /// Run the daemon with the settings file.
    Run(PathBuf),
}

/// Parses the command line of the process.
pub(crate) fn parse_command() -> Result<DaemonCommand, lexopt::Error> {
    let mut parser = Parser::from_env();
    let mut check = false;
    let mut path: Option<PathBuf> = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(DaemonCommand::Help),
            Arg::Short('V') | Arg::Long("version") => return Ok(DaemonCommand::Version),
            Arg::Long("check-config") => check = true,
            Arg::Value(value) if path.is_none() => path = Some(value.parse()?),
            other => return Err(other.unexpected()),
        }
    }
    match path {
        None => Err("no settings file is given".into()),
        Some(path) if check => Ok(DaemonCommand::Check(path)),
        Some(path) => Ok(DaemonCommand::Run(path)),
    }
}
