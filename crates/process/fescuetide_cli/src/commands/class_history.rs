//! The command `class history`: changes in the log with their verdicts.

use fescuetide_base::ClassName;
use fescuetide_classes::ChangeAction;
use fescuetide_classes::ChangeVerdict;
use serde_json::Value;
use serde_json::json;

use crate::arguments::CommandArguments;
use crate::class_file::targets_json;
use crate::class_stream::ClassStream;
use crate::command::CommandSpec;
use crate::commands::class_publish::describe_verdict;
use crate::context::ToolContext;
use crate::report::CommandReport;
use crate::report::ToolError;

pub(crate) const SPEC: CommandSpec = CommandSpec {
    name: "class history",
    summary: "Show accepted and rejected changes",
    usage: "[NAME]",
    help: "
The changes are read from the log. Changes that have expired, or that the
oldest usable snapshot covers, are not shown.
",
    positional_count: 0..=1,
    flags: &[],
    options: &[],
    run,
};

fn run(context: &ToolContext, arguments: &CommandArguments) -> Result<CommandReport, ToolError> {
    let wanted: Option<ClassName> = match arguments.positional.len() {
        0 => None,
        _ => Some(arguments.parse_positional(0, "NAME")?),
    };
    let stream = ClassStream::read(context)?;
    let first = stream.first_offset();
    let mut text = format!("changes from offset {first} on\n");
    let mut changes = Vec::new();
    for folded in stream.history() {
        let change = &folded.change;
        if wanted
            .as_ref()
            .is_some_and(|wanted| *wanted != change.class)
        {
            continue;
        }
        let (line, mut value) = describe_verdict(folded);
        let (action, targets) = match &change.action {
            ChangeAction::Set(targets) => ("set", targets_json(targets)),
            ChangeAction::Remove => ("remove", Value::Null),
        };
        value["action"] = json!(action);
        value["targets"] = targets;
        value["author"] = json!(change.author);
        value["at_ms"] = json!(change.at);
        value["based_on"] = json!(change.based_on);
        changes.push(value);
        text.push_str(&format!(
            "{}: {line}, {action} by {} at {} ms, change {}\n",
            change.class, change.author, change.at, change.id
        ));
        if let ChangeVerdict::Rejected(findings) = &folded.verdict {
            for finding in findings.iter() {
                text.push_str(&format!("    {finding}\n"));
            }
        }
    }
    Ok(CommandReport {
        text,
        json: json!({"first_offset": first, "changes": changes}),
        ..CommandReport::default()
    })
}
