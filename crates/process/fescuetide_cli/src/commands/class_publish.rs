//! The command `class publish`, and the reporting of changes that all commands that append changes share.

use std::path::Path;
use std::time::Instant;

use fescuetide_base::ClassName;
use fescuetide_base::LogOffset;
use fescuetide_classes::ChangeAction;
use fescuetide_classes::ChangeVerdict;
use fescuetide_classes::ClassChange;
use serde_json::Value;
use serde_json::json;

use crate::arguments::CommandArguments;
use crate::class_file::read_classes;
use crate::class_stream::ClassStream;
use crate::class_stream::FoldedChange;
use crate::command::CommandSpec;
use crate::context::ToolContext;
use crate::report::CommandReport;
use crate::report::ToolError;
use crate::report::findings_json;
use crate::wait::WAIT_HELP;
use crate::wait::wait_if_requested;

pub(crate) const SPEC: CommandSpec = CommandSpec {
    name: "class publish",
    summary: "Publish the classes of a TOML file",
    usage: "FILE [--wait] [--wait-limit-ms N]",
    help: WAIT_HELP,
    positional_count: 1..=1,
    flags: &["wait"],
    options: &["wait-limit-ms"],
    run,
};

fn run(context: &ToolContext, arguments: &CommandArguments) -> Result<CommandReport, ToolError> {
    let classes = read_classes(Path::new(&arguments.positional[0]))?;
    let mut stream = ClassStream::read(context)?;
    let start = Instant::now();
    let mut outcomes = ChangeOutcomes::default();
    for (class, targets) in classes {
        if stream
            .table()
            .get(&class)
            .is_some_and(|(_, found)| found == targets)
        {
            outcomes.record_unchanged(&class);
            continue;
        }
        let change = stream.new_change(&class, ChangeAction::Set(targets), None);
        outcomes.append(&mut stream, &change)?;
    }
    outcomes.finish(context, arguments, start)
}

/// Verdicts of the changes that a command has appended.
#[derive(Debug, Default)]
pub(crate) struct ChangeOutcomes {
    report: CommandReport,
    changes: Vec<Value>,
    accepted: Option<LogOffset>,
}

impl ChangeOutcomes {
    fn record_unchanged(&mut self, class: &ClassName) {
        self.report.text.push_str(&format!("{class}: unchanged\n"));
        self.changes
            .push(json!({"class": class, "verdict": "unchanged"}));
    }

    /// Appends a change and records its verdict.
    pub(crate) fn append(
        &mut self,
        stream: &mut ClassStream<'_>,
        change: &ClassChange,
    ) -> Result<(), ToolError> {
        let folded = stream.append(change)?;
        let (line, value) = describe_verdict(&folded);
        self.report
            .text
            .push_str(&format!("{}: {line}\n", change.class));
        self.changes.push(value);
        match folded.verdict {
            ChangeVerdict::Accepted(_) => self.accepted = self.accepted.max(Some(folded.offset)),
            ChangeVerdict::Rejected(findings) => self.report.findings.extend(findings),
            ChangeVerdict::Repeated => {}
        }
        Ok(())
    }

    /// Waits if `--wait` is given, then returns the report.
    pub(crate) fn finish(
        mut self,
        context: &ToolContext,
        arguments: &CommandArguments,
        start: Instant,
    ) -> Result<CommandReport, ToolError> {
        self.report.json = json!({"changes": self.changes});
        wait_if_requested(context, arguments, self.accepted, start, &mut self.report)?;
        Ok(self.report)
    }
}

/// Describes a verdict as text and as JSON.
pub(crate) fn describe_verdict(folded: &FoldedChange) -> (String, Value) {
    let offset = folded.offset;
    let mut value = json!({
        "class": folded.change.class,
        "change": folded.change.id,
        "offset": offset,
    });
    let line = match &folded.verdict {
        ChangeVerdict::Accepted(version) => {
            value["verdict"] = json!("accepted");
            value["version"] = json!(version);
            format!("accepted as version {version} at offset {offset}")
        }
        ChangeVerdict::Rejected(findings) => {
            value["verdict"] = json!("rejected");
            value["findings"] = findings_json(findings);
            format!("rejected at offset {offset}")
        }
        ChangeVerdict::Repeated => {
            value["verdict"] = json!("repeated");
            format!("repeated at offset {offset}")
        }
    };
    (line, value)
}
