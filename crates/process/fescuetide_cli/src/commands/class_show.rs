//! The command `class show`: the class table from the log, or from a router.

use fescuetide_base::ClassName;
use fescuetide_classes::ClassFollower;
use fescuetide_classes::ClassTable;
use serde_json::json;

use crate::arguments::CommandArguments;
use crate::class_file::targets_json;
use crate::class_stream::ClassStream;
use crate::command::CommandSpec;
use crate::context::ToolContext;
use crate::fleet;
use crate::report::CommandReport;
use crate::report::ToolError;
use crate::report::write_table;

pub(crate) const SPEC: CommandSpec = CommandSpec {
    name: "class show",
    summary: "Show the classes in force",
    usage: "[NAME]",
    help: "
The classes are read from the log, and from the routers when the log does not
answer.
",
    positional_count: 0..=1,
    flags: &[],
    options: &[],
    run,
};

const HEADING: [&str; 7] = [
    "class",
    "version",
    "lateness_ms",
    "late_share",
    "loss_share",
    "duplication_share",
    "repeatable",
];

fn run(context: &ToolContext, arguments: &CommandArguments) -> Result<CommandReport, ToolError> {
    let wanted: Option<ClassName> = match arguments.positional.len() {
        0 => None,
        _ => Some(arguments.parse_positional(0, "NAME")?),
    };
    let (table, source) = read_table(context)?;
    let mut rows = vec![HEADING.map(str::to_owned).to_vec()];
    let mut classes = Vec::new();
    for (name, version, targets) in table.iter() {
        if wanted.as_ref().is_some_and(|wanted| wanted != name) {
            continue;
        }
        rows.push(vec![
            name.to_string(),
            version.to_string(),
            targets.lateness.within.as_millis().to_string(),
            targets.lateness.late_share.to_string(),
            targets.loss_share.to_string(),
            targets.duplication_share.to_string(),
            targets.repeatable.to_string(),
        ]);
        classes.push(json!({"class": name, "version": version, "targets": targets_json(&targets)}));
    }
    if let Some(wanted) = wanted.filter(|_| classes.is_empty()) {
        return Err(ToolError::finding(
            format!("class {wanted}"),
            "does not exist",
        ));
    }
    let offset = table.next_offset();
    let mut text = format!("classes below offset {offset}, from the {source}\n");
    write_table(&mut text, &rows);
    Ok(CommandReport {
        text,
        json: json!({"next_offset": offset, "source": source, "classes": classes}),
        ..CommandReport::default()
    })
}

/// Reads the class table and returns it with its source. Falls back to the routers if the log cannot be read.
fn read_table(context: &ToolContext) -> anyhow::Result<(ClassTable, &'static str)> {
    let error = match ClassStream::read(context) {
        Ok(stream) => return Ok((stream.table().clone(), "log")),
        Err(error) => error,
    };
    let mut follower = ClassFollower::default();
    match fleet::newest_class_snapshot(context) {
        Ok(Some(snapshot)) => follower.restore_from_peer(snapshot),
        Ok(None) | Err(_) => return Err(error),
    };
    Ok((follower.table().clone(), "routers"))
}
