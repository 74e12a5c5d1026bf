//! Output and exit code of a command.

use std::process::ExitCode;

use fescuetide_base::FindingList;
use serde_json::Value;
use serde_json::json;

/// Exit code of a failed command.
pub(crate) const FAILED_EXIT_CODE: u8 = 1;

/// Exit code for invalid usage or findings.
pub(crate) const USAGE_EXIT_CODE: u8 = 2;

/// Result of a command.
#[derive(Debug, Default)]
pub(crate) struct CommandReport {
    /// Human-readable output.
    pub(crate) text: String,
    /// Output of `--json`; an object.
    pub(crate) json: Value,
    /// Findings that accompany the output. If there are any, the exit code is 2.
    pub(crate) findings: FindingList,
    /// Failure that accompanies the output. If there is one, the exit code is 1, also when there are findings.
    pub(crate) failure: Option<String>,
}

/// Error of a command that produced no report.
#[derive(Debug)]
pub(crate) enum ToolError {
    /// Invalid input.
    Findings(FindingList),
    /// Any other failure.
    Failed(anyhow::Error),
}

impl ToolError {
    pub(crate) fn finding(place: impl Into<String>, message: impl Into<String>) -> Self {
        let mut list = FindingList::default();
        list.add(place, message);
        Self::Findings(list)
    }
}

impl From<anyhow::Error> for ToolError {
    fn from(error: anyhow::Error) -> Self {
        Self::Failed(error)
    }
}

impl From<FindingList> for ToolError {
    fn from(list: FindingList) -> Self {
        Self::Findings(list)
    }
}

/// Prints the result of a command and returns its exit code.
pub(crate) fn print_result(result: &Result<CommandReport, ToolError>, json: bool) -> ExitCode {
    let (text, value, findings, failure) = match result {
        Ok(report) => (
            report.text.as_str(),
            report.json.clone(),
            report.findings.clone(),
            report.failure.clone(),
        ),
        Err(ToolError::Findings(list)) => ("", json!({}), list.clone(), None),
        Err(ToolError::Failed(error)) => {
            let failure = format!("{error:#}");
            ("", json!({}), FindingList::default(), Some(failure))
        }
    };
    if json {
        print_json(value, &findings, failure.as_deref());
    } else {
        print!("{text}");
        if !findings.is_empty() {
            eprintln!("{findings}");
        }
        if let Some(failure) = &failure {
            eprintln!("fescuetide: {failure}");
        }
    }
    match failure {
        Some(_) => ExitCode::from(FAILED_EXIT_CODE),
        None if !findings.is_empty() => ExitCode::from(USAGE_EXIT_CODE),
        None => ExitCode::SUCCESS,
    }
}

fn print_json(mut value: Value, findings: &FindingList, failure: Option<&str>) {
    if !findings.is_empty() {
        value["findings"] = findings_json(findings);
    }
    if let Some(failure) = failure {
        value["error"] = json!(failure);
    }
    println!("{value:#}");
}

/// Converts findings to a JSON array.
pub(crate) fn findings_json(findings: &FindingList) -> Value {
    let list: Vec<Value> = findings
        .iter()
        .map(|finding| json!({"place": finding.place, "message": finding.message}))
        .collect();
    Value::Array(list)
}

/// Appends rows as a table whose columns are as wide as their longest cell. The first row sets the number of columns.
pub(crate) fn write_table(text: &mut String, rows: &[Vec<String>]) {
    let columns = rows.first().map_or(0, Vec::len);
    let mut widths = vec![0; columns];
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = cell.len().max(*width);
        }
    }
    for row in rows {
        let mut line = String::new();
        for (width, cell) in widths.iter().zip(row) {
            line.push_str(&format!("{cell:<width$}  "));
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
}
