//! How requests that were not served ended, from the log lines of gateways.
//!
//! A line may have words before its JSON object, such as the time and the name of the process. Lines without a JSON object are
//! skipped, so the output of a day of the users' benchmark can be read as it is.

use std::fmt::Write;
use std::path::Path;

use anyhow::Context;
use indexmap::IndexMap;
use serde::Deserialize;

/// Start of the JSON object of a log line.
const LINE_START: &str = "{\"timestamp\"";

/// Length of the windows by which endings are counted, in seconds.
const WINDOW_S: u64 = 2;

/// Lowest status of a response that does not serve its request.
const FIRST_FAILURE: u16 = 500;

/// The fields of a log line that tell about the end of a request.
#[derive(Debug, Deserialize)]
struct RequestLine {
    message: String,
    #[serde(default)]
    request: String,
    #[serde(default)]
    route: String,
    status: Option<u16>,
    outcome: Option<String>,
    cause: Option<String>,
    attempts: Option<u32>,
    age_ms: Option<u64>,
    time_left_ms: Option<u64>,
}

/// What is known about a request so far.
#[derive(Clone, Debug, Default)]
struct RequestHistory {
    /// Time left when it was first sent.
    time_left_ms: Option<u64>,
    was_retry_denied: bool,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestEnding {
    /// The route.
    pub route: String,
    /// The status of the response.
    pub status: u16,
    /// The decision that ended it: the cause of a refusal or failure, or that an upstream's own response was relayed.
    pub decision: String,
    /// Number of attempts.
    pub attempts: u32,
    /// Whether the retry budget did not allow another attempt.
    pub was_retry_denied: bool,
}

/// Requests that ended in the same way.
#[derive(Clone, Debug, Default)]
pub struct EndingCount {
    /// Number of requests.
    pub requests: usize,
    /// Time that each had left at its end, in milliseconds, as far as it is known.
    pub time_left_ms: Vec<u64>,
    /// Number of requests by the window in which they ended, by its first second.
    pub windows: IndexMap<u64, usize>,
}

impl EndingCount {
    fn add(&mut self, time_left_ms: Option<u64>, window: Option<u64>) {
        self.requests += 1;
        self.time_left_ms.extend(time_left_ms);
        if let Some(window) = window {
            *self.windows.entry(window).or_default() += 1;
        }
    }

    fn median_time_left(&self) -> Option<u64> {
        let mut times = self.time_left_ms.clone();
        times.sort_unstable();
        times.get(times.len() / 2).copied()
    }
}

/// The endings of all requests in a log that were not served.
#[derive(Clone, Debug, Default)]
pub struct EndingTable {
    /// The counts, most requests first.
    pub endings: IndexMap<RequestEnding, EndingCount>,
}

impl EndingTable {
    /// Reads a log.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, or if a line has a JSON object that is cut off or not that of a log line. The error has its
    /// place.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        let text = std::fs::read(path).with_context(|| path.display().to_string())?;
        Self::parse(&String::from_utf8_lossy(&text))
            .with_context(|| format!("{} is not a log", path.display()))
    }

    /// Reads the lines of a log.
    ///
    /// # Errors
    ///
    /// Fails if a line has a JSON object that is cut off or not that of a log line. The error has the number of the line.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let mut histories: IndexMap<String, RequestHistory> = IndexMap::new();
        let mut table = Self::default();
        for (index, line) in text.lines().enumerate() {
            let Some(start) = line.find(LINE_START) else {
                continue;
            };
            let parsed: RequestLine = serde_json::from_str(&line[start..])
                .with_context(|| format!("line {} has no whole JSON object", index + 1))?;
            if parsed.request.is_empty() {
                continue;
            }
            table.add_line(parsed, second_of(&line[..start]), &mut histories);
        }
        let by_count =
            |_: &RequestEnding, one: &EndingCount, _: &RequestEnding, other: &EndingCount| {
                other.requests.cmp(&one.requests)
            };
        table.endings.sort_by(by_count);
        Ok(table)
    }

    fn add_line(
        &mut self,
        line: RequestLine,
        second: Option<u64>,
        histories: &mut IndexMap<String, RequestHistory>,
    ) {
        match line.message.as_str() {
            "request sent" => {
                let history = histories.entry(line.request).or_default();
                history.time_left_ms = history.time_left_ms.or(line.time_left_ms);
            }
            "retry denied by the budget" => {
                histories.entry(line.request).or_default().was_retry_denied = true;
            }
            "request ended" => {
                let history = histories.swap_remove(&line.request).unwrap_or_default();
                let Some(status) = line.status.filter(|status| *status >= FIRST_FAILURE) else {
                    return;
                };
                let decision = line.cause.or(line.outcome);
                let ending = RequestEnding {
                    route: line.route,
                    status,
                    decision: decision.unwrap_or_default(),
                    attempts: line.attempts.unwrap_or(0),
                    was_retry_denied: history.was_retry_denied,
                };
                let age_ms = line.age_ms.unwrap_or(0);
                let left = history.time_left_ms.map(|left| left.saturating_sub(age_ms));
                let window = second.map(|second| second / WINDOW_S * WINDOW_S);
                self.endings.entry(ending).or_default().add(left, window);
            }
            _ => {}
        }
    }

    /// Renders the endings as a Markdown table.
    pub fn render(&self, name: &str) -> String {
        let mut text = format!(
            "## {name}: how requests that were not served ended\n\n\
             | route | status | decision | attempts | retry denied | requests | time left, median ms | most in a window |\n\
             | --- | --- | --- | --- | --- | --- | --- | --- |\n"
        );
        for (ending, count) in &self.endings {
            let left = count.median_time_left();
            let left = left.map_or("-".to_owned(), |left| left.to_string());
            let most = count.windows.iter().max_by_key(|(_, requests)| **requests);
            let most = most.map_or("-".to_owned(), |(second, requests)| {
                format!("{requests} from second {second}")
            });
            let denied = if ending.was_retry_denied { "yes" } else { "" };
            let _ = writeln!(
                text,
                "| {} | {} | {} | {} | {denied} | {} | {left} | {most} |",
                ending.route, ending.status, ending.decision, ending.attempts, count.requests
            );
        }
        text.push('\n');
        text
    }
}

/// The second in the first word before a log line, if that is a time.
fn second_of(words: &str) -> Option<u64> {
    let time: f64 = words.split_whitespace().next()?.parse().ok()?;
    Some(time.max(0.0) as u64)
}
