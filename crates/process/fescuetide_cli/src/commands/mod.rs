//! The commands, one file each. New commands must be added to [`COMMANDS`].

mod burn;
mod class_history;
mod class_publish;
mod class_remove;
mod class_revise;
mod class_show;
mod drain;
mod explain;
mod status;
mod trace;

use crate::command::CommandSpec;

/// All commands, in the order of the help text.
pub(crate) const COMMANDS: &[CommandSpec] = &[
    class_publish::SPEC,
    class_show::SPEC,
    class_revise::SPEC,
    class_remove::SPEC,
    class_history::SPEC,
    status::SPEC,
    trace::SPEC,
    burn::SPEC,
    drain::SPEC,
    explain::SPEC,
];
