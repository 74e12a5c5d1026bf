//! Command-line parsing and help texts.

use std::fmt::Write;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use crate::arguments::CommandArguments;
use crate::command::CommandSpec;
use crate::commands::COMMANDS;

/// Options with a value that every command accepts.
const COMMON_OPTIONS: [&str; 3] = ["config", "log-url", "vm-list-url"];

/// Options without a value that every command accepts.
const COMMON_FLAGS: [&str; 1] = ["json"];

const COMMON_HELP: &str = "
Options of all commands:
  --config FILE       TOML file with log_url, vm_list_url and author
                      (default fescuetide.toml, when there is one)
  --log-url URL       The log service
  --vm-list-url URL   The VM list
  --json              Print JSON
  -h, --help          Print help
  -V, --version       Print the version

Exit codes: 0 done, 1 failed, 2 wrong usage or findings
";

/// Action selected by the command line.
#[derive(Debug)]
pub(crate) enum ToolRequest {
    /// Print a help text.
    Help(String),
    /// Print the version.
    Version,
    /// Run a command.
    Run(&'static CommandSpec, CommandArguments),
}

/// Parses the command line of the process.
pub(crate) fn parse_request() -> Result<ToolRequest, lexopt::Error> {
    let mut parser = Parser::from_env();
    let mut words = Vec::new();
    let mut flags = Vec::new();
    let mut options = Vec::new();
    let mut help = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => help = true,
            Arg::Short('V') | Arg::Long("version") => return Ok(ToolRequest::Version),
            Arg::Value(value) => words.push(value.string()?),
            Arg::Long(name) if is_option(name) => {
                let name = name.to_owned();
                options.push((name, parser.value()?.string()?));
            }
            Arg::Long(name) if is_flag(name) => flags.push(name.to_owned()),
            other => return Err(other.unexpected()),
        }
    }
    let Some((spec, count)) = find_command(&words) else {
        return match words.first() {
            Some(word) if !help || word != "class" => {
                Err(format!("{:?} is not a command", words.join(" ")).into())
            }
            None if !help => Err("no command is given".into()),
            _ => Ok(ToolRequest::Help(list_help())),
        };
    };
    if help {
        return Ok(ToolRequest::Help(command_help(spec)));
    }
    let arguments = CommandArguments {
        positional: words.split_off(count),
        flags,
        options,
    };
    check_arguments(spec, &arguments)?;
    Ok(ToolRequest::Run(spec, arguments))
}

fn is_option(name: &str) -> bool {
    COMMON_OPTIONS.contains(&name) || COMMANDS.iter().any(|spec| spec.options.contains(&name))
}

fn is_flag(name: &str) -> bool {
    COMMON_FLAGS.contains(&name) || COMMANDS.iter().any(|spec| spec.flags.contains(&name))
}

/// Finds the command whose name begins `words`. Returns it with the number of words in its name.
fn find_command(words: &[String]) -> Option<(&'static CommandSpec, usize)> {
    for spec in COMMANDS {
        let name: Vec<&str> = spec.name.split(' ').collect();
        if words.len() >= name.len() && words.iter().zip(&name).all(|(word, part)| word == part) {
            return Some((spec, name.len()));
        }
    }
    None
}

/// Checks the number of positional arguments, and that the command accepts all given flags and options.
fn check_arguments(spec: &CommandSpec, arguments: &CommandArguments) -> Result<(), lexopt::Error> {
    if !spec.positional_count.contains(&arguments.positional.len()) {
        let usage = format!("usage: fescuetide {} {}", spec.name, spec.usage);
        return Err(usage.trim_end().into());
    }
    for flag in &arguments.flags {
        let flag = flag.as_str();
        if !spec.flags.contains(&flag) && !COMMON_FLAGS.contains(&flag) {
            return Err(format!("{} does not accept --{flag}", spec.name).into());
        }
    }
    for (option, _) in &arguments.options {
        let option = option.as_str();
        if !spec.options.contains(&option) && !COMMON_OPTIONS.contains(&option) {
            return Err(format!("{} does not accept --{option}", spec.name).into());
        }
    }
    Ok(())
}

fn list_help() -> String {
    let mut text = String::from(
        "Publishes classes of work, shows the fleet and drains VMs.\n\nUsage: fescuetide COMMAND [OPTIONS]\n\nCommands:\n",
    );
    for spec in COMMANDS {
        let _ = writeln!(text, "  {:<16}{}", spec.name, spec.summary);
    }
    text.push_str(COMMON_HELP);
    text
}

fn command_help(spec: &CommandSpec) -> String {
    let usage = format!("{} {}", spec.name, spec.usage);
    format!(
        "{}.\n\nUsage: fescuetide {}\n{}{COMMON_HELP}",
        spec.summary,
        usage.trim_end(),
        spec.help
    )
}
