//! Reconstructs from gateway logs how one request was handled.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;

/// Fields that are not copied to [`LogLine::fields`]: those common to all lines, and the request id.
const COMMON_FIELDS: [&str; 4] = ["timestamp", "level", "message", "request"];

/// Messages about the state of a process as a whole, not about one upstream.
const PROCESS_MESSAGES: [&str; 11] = [
    "gateway started",
    "configuration in force",
    "log service is away",
    "log service is back",
    "log service is back from an older copy",
    "kept a configuration that is newer than the one in the log",
    "kept upstreams that the log lacks or lists with an earlier state",
    "resumed after a suspension",
    "shutdown begins",
    "shutdown ends",
    "log lines dropped",
];

/// Messages about what an upstream announced in a response to any request. They explain refusals as well, which name no upstream.
const ANNOUNCEMENT_MESSAGES: [&str; 2] = [
    "upstream asked for a pause",
    "upstream announced that it leaves",
];

/// Message of the last line of a request.
const END_MESSAGE: &str = "request ended";

/// Message of the first line of a process.
const START_MESSAGE: &str = "gateway started";

/// Number of state changes from before the request that are kept per process and subject. Only the newest one was
/// in effect when the request arrived.
const EARLIER_CHANGE_LIMIT: usize = 1;

/// A parsed JSON log line.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LogLine {
    pub(crate) time: String,
    pub(crate) process: String,
    pub(crate) message: String,
    /// Id of the request that the line concerns, empty if there is none.
    pub(crate) request: String,
    pub(crate) fields: IndexMap<String, String>,
}

impl LogLine {
    /// Parses a line; returns `None` if it contains no JSON object.
    ///
    /// The last word before the JSON object is taken as the name of the process, as in merged logs with a prefix per
    /// line. Without such a word, `source` is the name.
    pub(crate) fn parse(source: &str, line: &str) -> Option<Self> {
        let start = line.find('{')?;
        let Value::Object(object) = serde_json::from_str(&line[start..]).ok()? else {
            return None;
        };
        let text = |name: &str| match object.get(name) {
            Some(Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
            None => String::new(),
        };
        let process = line[..start].split_whitespace().last();
        let mut fields = IndexMap::new();
        for name in object.keys() {
            if !COMMON_FIELDS.contains(&name.as_str()) {
                fields.insert(name.clone(), text(name));
            }
        }
        Some(Self {
            time: text("timestamp"),
            process: process.unwrap_or(source).to_owned(),
            message: text("message"),
            request: text("request"),
            fields,
        })
    }

    /// Converts the line to JSON.
    pub(crate) fn to_json(&self) -> Value {
        json!({
            "time": self.time,
            "process": self.process,
            "message": self.message,
            "fields": self.fields,
        })
    }

    /// Returns the upstream of the line, or its message if it has none, or both if it is an announcement. A newer line of the
    /// same process and subject supersedes an older one.
    fn subject(&self) -> String {
        match self.fields.get("upstream") {
            Some(upstream) if self.is_announcement() => format!("{upstream} {}", self.message),
            Some(upstream) => upstream.clone(),
            None => self.message.clone(),
        }
    }

    fn is_announcement(&self) -> bool {
        ANNOUNCEMENT_MESSAGES.contains(&self.message.as_str())
    }
}

/// Log lines that show what happened to a request and why.
#[derive(Clone, Debug)]
pub(crate) struct RequestTimeline {
    pub(crate) id: String,
    /// Lines about the request itself, ordered by time.
    pub(crate) request_lines: Vec<LogLine>,
    /// State changes of the processes that handled the request: the latest ones before it, and all during it. If no end
    /// of the request was logged, also the next start of a process.
    pub(crate) state_changes: Vec<LogLine>,
}

impl RequestTimeline {
    /// Selects the lines that concern a request from the lines of all processes.
    pub(crate) fn from_lines(id: &str, mut lines: Vec<LogLine>) -> Self {
        lines.sort_by(|one, other| one.time.cmp(&other.time));
        let (request_lines, others): (Vec<LogLine>, Vec<LogLine>) =
            lines.into_iter().partition(|line| line.request == id);
        let state_changes = select_state_changes(&request_lines, others);
        Self {
            id: id.to_owned(),
            request_lines,
            state_changes,
        }
    }
}

/// Selects from `others` the state changes of the processes in `request_lines` that concern the whole process or an
/// upstream of the request.
fn select_state_changes(request_lines: &[LogLine], others: Vec<LogLine>) -> Vec<LogLine> {
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        return Vec::new();
    };
    let processes: BTreeSet<&str> = request_lines
        .iter()
        .map(|line| line.process.as_str())
        .collect();
    let upstreams: BTreeSet<&str> = request_lines
        .iter()
        .filter_map(|line| line.fields.get("upstream"))
        .map(String::as_str)
        .collect();
    let mut earlier: IndexMap<(String, String), Vec<LogLine>> = IndexMap::new();
    let mut during = Vec::new();
    let mut shows_end = request_lines.iter().any(|line| line.message == END_MESSAGE);
    for line in others {
        let upstream = line.fields.get("upstream").map(String::as_str);
        let is_relevant = upstream.is_some_and(|name| upstreams.contains(name))
            || line.is_announcement()
            || PROCESS_MESSAGES.contains(&line.message.as_str());
        if !line.request.is_empty() || !is_relevant || !processes.contains(line.process.as_str()) {
            continue;
        }
        if line.time > last.time {
            if !shows_end && line.message == START_MESSAGE {
                // The process restarted before it logged an end, so this restart ended the request. Later restarts are
                // not shown.
                during.push(line);
                shows_end = true;
            }
            continue;
        }
        if line.time >= first.time {
            during.push(line);
            continue;
        }
        let key = (line.process.clone(), line.subject());
        let kept = earlier.entry(key).or_default();
        kept.push(line);
        if kept.len() > EARLIER_CHANGE_LIMIT {
            kept.remove(0);
        }
    }
    let mut state_changes: Vec<LogLine> = earlier.into_values().flatten().collect();
    state_changes.sort_by(|one, other| one.time.cmp(&other.time));
    state_changes.extend(during);
    state_changes
}
