//! The daemon's command line.

use std::path::PathBuf;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

/// The text of `--help`.
pub(crate) const HELP_TEXT: &str = "\
The fescuetide daemon: a router or a side process, as its settings say.

Usage: fescuetided [OPTIONS] SETTINGS

Arguments:
  SETTINGS          TOML settings file, see docs/configuration.md

Options:
  --check-config    Check the settings, print all findings and exit;
                    exit code 2 when there are any
  -h, --help        Print this help
  -V, --version     Print the version
";

/// What the command line asks for.
#[derive(Debug)]
pub(crate) enum DaemonCommand {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Check the settings file.
    Check(PathBuf),
    /// Run with the settings file.
    Run(PathBuf),
}

/// Reads the process's command line.
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
        None => Err("the settings file is missing".into()),
        Some(path) if check => Ok(DaemonCommand::Check(path)),
        Some(path) => Ok(DaemonCommand::Run(path)),
    }
}
