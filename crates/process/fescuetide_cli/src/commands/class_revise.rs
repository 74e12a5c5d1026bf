//! The command `class revise`: changes single targets of a class.

use std::time::Instant;

use fescuetide_base::ClassName;
use fescuetide_base::ClassVersion;
use fescuetide_classes::ChangeAction;

use crate::arguments::CommandArguments;
use crate::class_file::revise_targets;
use crate::class_stream::ClassStream;
use crate::command::CommandSpec;
use crate::commands::class_publish::ChangeOutcomes;
use crate::context::ToolContext;
use crate::report::CommandReport;
use crate::report::ToolError;

pub(crate) const SPEC: CommandSpec = CommandSpec {
    name: "class revise",
    summary: "Change some targets of a class",
    usage: "NAME KEY=VALUE... [--based-on VERSION] [--wait] [--wait-limit-ms N]",
    help: "
Keys: lateness_ms, late_share, loss_share, duplication_share, repeatable

  --based-on VERSION  The version that the operator saw (default: the one in
                      force); the change is rejected when another is in force
  --wait              Wait until all live routers have the change in force
  --wait-limit-ms N   Longest wait (default 15000); exit code 1 after it
",
    positional_count: 2..=usize::MAX,
    flags: &["wait"],
    options: &["based-on", "wait-limit-ms"],
    run,
};

fn run(context: &ToolContext, arguments: &CommandArguments) -> Result<CommandReport, ToolError> {
    let class: ClassName = arguments.parse_positional(0, "NAME")?;
    let based_on: Option<ClassVersion> = arguments.parse_option("based-on")?;
    let mut stream = ClassStream::read(context)?;
    let Some((_, targets)) = stream.table().get(&class) else {
        return Err(ToolError::finding(
            format!("class {class}"),
            "does not exist",
        ));
    };
    let targets = revise_targets(&targets, &arguments.positional[1..])?;
    let start = Instant::now();
    let mut outcomes = ChangeOutcomes::default();
    let change = stream.new_change(&class, ChangeAction::Set(targets), based_on);
    outcomes.append(&mut stream, &change)?;
    outcomes.finish(context, arguments, start)
}
