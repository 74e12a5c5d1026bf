//! The journal in which a stand-in records the requests that it ran.

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

/// A step in the life of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalEvent {
    /// The request started to run.
    Start,
    /// Prefill is complete and the blocks of the prompt are in the cache.
    Cached,
    /// The run completed with the full answer.
    Done,
    /// The request was cancelled.
    Cancelled,
}

/// A journal entry, stored as one line of JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JournalLine {
    /// The time of the event, in ms since the Unix epoch.
    pub at_ms: u64,
    /// The name of the stand-in.
    pub name: String,
    /// The event.
    pub event: JournalEvent,
    /// The value of the `x-request-id` header.
    pub attempt: String,
    /// The value of the `idempotency-key` header, if present.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// The hash of the prompt or of the request body.
    pub content: u64,
    /// The number of prompt tokens.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// The number of prompt tokens that were in the prefix cache when the run started.
    #[serde(default)]
    pub cached_tokens: u64,
}

/// Appends journal entries to a file.
#[derive(Debug)]
pub struct JournalFile {
    name: String,
    file: Option<Mutex<File>>,
}

impl JournalFile {
    /// Opens the file for appending. Without a path, entries are discarded.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be opened.
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

    /// Writes one entry, with the current time and the name of the stand-in. The write is unbuffered, so that no entry
    /// is lost when the process is killed.
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
            eprintln!("cannot write to the journal: {error}");
        }
    }
}

/// Reads all entries of a journal.
///
/// # Errors
///
/// Fails if the file cannot be read or a line is malformed.
pub fn read_journal(path: &Path) -> io::Result<Vec<JournalLine>> {
    let text = std::fs::read_to_string(path)?;
    let mut lines = Vec::new();
    for line in text.lines() {
        lines.push(serde_json::from_str(line)?);
    }
    Ok(lines)
}
