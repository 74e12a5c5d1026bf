//! What a command is.

use std::ops::RangeInclusive;

use crate::arguments::CommandArguments;
use crate::context::ToolContext;
use crate::report::CommandReport;
use crate::report::ToolError;

/// One command of the tool.
#[derive(Debug)]
pub(crate) struct CommandSpec {
    /// Its words.
    pub(crate) name: &'static str,
    /// One line for the list of commands.
    pub(crate) summary: &'static str,
    /// What follows the name in the usage line.
    pub(crate) usage: &'static str,
    /// Details, each line indented by two spaces.
    pub(crate) help: &'static str,
    /// How many arguments it takes.
    pub(crate) values: RangeInclusive<usize>,
    /// Options without a value.
    pub(crate) flags: &'static [&'static str],
    /// Options with a value.
    pub(crate) options: &'static [&'static str],
    /// Runs the command.
    pub(crate) run: fn(&ToolContext, &CommandArguments) -> Result<CommandReport, ToolError>,
}
