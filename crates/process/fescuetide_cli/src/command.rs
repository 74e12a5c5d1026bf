//! Description of a command.

use std::ops::RangeInclusive;

use crate::arguments::CommandArguments;
use crate::context::ToolContext;
use crate::report::CommandReport;
use crate::report::ToolError;

/// Name, help texts, accepted arguments and entry point of a command.
#[derive(Debug)]
pub(crate) struct CommandSpec {
    /// Name of one or two words, separated by a space.
    pub(crate) name: &'static str,
    /// One-line description in the list of commands.
    pub(crate) summary: &'static str,
    /// Arguments in the usage line, after the name.
    pub(crate) usage: &'static str,
    /// Help text below the usage line; empty, or starting with a blank line.
    pub(crate) help: &'static str,
    /// Accepted number of positional arguments.
    pub(crate) positional_count: RangeInclusive<usize>,
    /// Names of accepted options without a value.
    pub(crate) flags: &'static [&'static str],
    /// Names of accepted options with a value.
    pub(crate) options: &'static [&'static str],
    /// Runs the command.
    pub(crate) run: fn(&ToolContext, &CommandArguments) -> Result<CommandReport, ToolError>,
}
