//! The journal of what a stand-in ran.

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::sync::PoisonError;

use fescuetide_base::ClockMillis;
use serde::Deserialize;
use serde::Serialize;

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalEvent {
    /// A run began.
    Start,
    /// The prompt has been taken in; from now on its blocks are in the cache.
    Cached,
    /// A run ended with a complete answer.
    Done,
    /// A run was cancelled.
    Cancelled,
}

/// One line of a journal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JournalLine {
    /// When, in ms since the Unix epoch.
    pub at_ms: u64,
    /// The stand-in's name.
    pub name: String,
    /// What happened.
    pub event: JournalEvent,
    /// The id that the request carried in `x-request-id`.
    pub attempt: String,
    /// The idempotency key, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Hash of the prompt or body.
    pub content: u64,
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens of the prompt that were cached.
    #[serde(default)]
    pub cached_tokens: u64,
}

/// Writes journal lines to a file, one JSON object a line.
#[derive(Debug)]
pub struct JournalFile {
    name: String,
    file: Option<Mutex<File>>,
}

impl JournalFile {
    /// Opens the file for appending; without a path nothing is written.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be opened.
    pub fn open(name: &str, path: Option<&Path>) -> io::Result<Self> {
        let file = match path {
            None => None,
            Some(path) => Some(Mutex::new(
                OpenOptions::new().create(true).append(true).open(path)?,
            )),
        };
        Ok(Self {
            name: name.to_owned(),
            file,
        })
    }

    /// Writes one line. The line is complete before the call returns, so a killed stand-in loses none.
    pub fn write(&self, mut line: JournalLine) {
        let Some(file) = &self.file else {
            return;
        };
        line.at_ms = ClockMillis::now().as_millis();
        line.name = self.name.clone();
        let mut text = serde_json::to_string(&line).unwrap_or_default();
        text.push('\n');
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = file.write_all(text.as_bytes()) {
            eprintln!("journal cannot be written: {error}");
        }
    }
}

/// Reads all lines of a journal.
///
/// # Errors
///
/// Fails when the file cannot be read or a line is malformed.
pub fn read_journal(path: &Path) -> io::Result<Vec<JournalLine>> {
    let text = std::fs::read_to_string(path)?;
    let mut lines = Vec::new();
    for line in text.lines() {
        lines.push(serde_json::from_str(line)?);
    }
    Ok(lines)
}
