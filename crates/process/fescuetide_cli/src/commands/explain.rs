//! The command `explain`: decisions about one request, from gateway logs.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::io;
use std::io::Read;

use anyhow::Context;
use serde_json::json;

use crate::arguments::CommandArguments;
use crate::command::CommandSpec;
use crate::context::ToolContext;
use crate::report::CommandReport;
use crate::report::ToolError;
use crate::report::write_table;
use crate::timeline::LogLine;
use crate::timeline::RequestTimeline;

/// File name that denotes standard input.
const STDIN_NAME: &str = "-";

pub(crate) const SPEC: CommandSpec = CommandSpec {
    name: "explain",
    summary: "Show the decisions about a request from gateway logs",
    usage: "REQUEST_ID [FILE]...",
    help: "
Reads JSON log lines from files, one file per process, or from standard input
if no file is given or the name is '-'. The last word before the JSON of a line
names the process. Shows every decision about the request with its inputs, and
the state known to the processes involved before and during the request.
",
    positional_count: 1..=10_000,
    flags: &[],
    options: &[],
    run,
};

fn run(_: &ToolContext, arguments: &CommandArguments) -> Result<CommandReport, ToolError> {
    let id = &arguments.positional[0];
    let files = &arguments.positional[1..];
    let mut lines = Vec::new();
    if files.is_empty() {
        read_source(STDIN_NAME, &mut lines)?;
    }
    for file in files {
        read_source(file, &mut lines)?;
    }
    let timeline = RequestTimeline::from_lines(id, lines);
    if timeline.decisions.is_empty() {
        return Err(anyhow::anyhow!("no log line mentions request {id}").into());
    }
    Ok(CommandReport {
        text: describe(&timeline),
        json: json!({
            "request": id,
            "decisions": timeline.decisions.iter().map(LogLine::to_json).collect::<Vec<_>>(),
            "beliefs": timeline.state_changes.iter().map(LogLine::to_json).collect::<Vec<_>>(),
        }),
        ..CommandReport::default()
    })
}

fn read_source(name: &str, lines: &mut Vec<LogLine>) -> anyhow::Result<()> {
    let text = if name == STDIN_NAME {
        let mut text = String::new();
        io::stdin()
            .read_to_string(&mut text)
            .context("cannot read standard input")?;
        text
    } else {
        std::fs::read_to_string(name).with_context(|| format!("cannot read {name}"))?
    };
    for line in text.lines() {
        lines.extend(LogLine::parse(name, line));
    }
    Ok(())
}

fn describe(timeline: &RequestTimeline) -> String {
    let mut text = String::new();
    let processes: BTreeSet<&str> = timeline
        .decisions
        .iter()
        .map(|line| line.process.as_str())
        .collect();
    let processes: Vec<&str> = processes.into_iter().collect();
    let _ = writeln!(
        text,
        "request {} at {}\n",
        timeline.id,
        processes.join(", ")
    );
    write_lines(&mut text, &timeline.decisions);
    if !timeline.state_changes.is_empty() {
        text.push_str("\nstate known to these processes before and during the request\n\n");
        write_lines(&mut text, &timeline.state_changes);
    }
    text
}

fn write_lines(text: &mut String, lines: &[LogLine]) {
    let mut rows = Vec::new();
    for line in lines {
        let fields: Vec<String> = line
            .fields
            .iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        rows.push(vec![
            line.time.clone(),
            line.process.clone(),
            line.message.clone(),
            fields.join(" "),
        ]);
    }
    write_table(text, &rows);
}
