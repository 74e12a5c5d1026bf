//! Checks reported outcomes against the stand-ins' journals.

use fescuetide_standin::answer::prompt_hash;
use fescuetide_standin::answer::prompt_tokens;
use fescuetide_standin::journal::JournalEvent;
use fescuetide_standin::journal::JournalLine;
use fescuetide_standin::journal::read_journal;
use fescuetide_wire::api::CallOutcome;
use fescuetide_wire::api::ChatMessage;

use crate::fault_client::StreamResult;
use crate::fleet::FleetProcesses;

/// A journal line with the index of the upstream that wrote it.
#[derive(Clone, Debug)]
pub struct UpstreamLine {
    /// Index in the list of upstreams.
    pub upstream: usize,
    /// The line.
    pub line: JournalLine,
}

/// The content hash that engines record in the journal for a prompt.
pub fn content_hash(messages: &[ChatMessage]) -> u64 {
    prompt_hash(&prompt_tokens(messages))
}

/// Reads all journal lines for `content`, in time order.
///
/// # Errors
///
/// Fails when a journal cannot be read.
pub fn journal_lines(fleet: &FleetProcesses, content: u64) -> anyhow::Result<Vec<UpstreamLine>> {
    let mut list = Vec::new();
    for (upstream, node) in fleet.upstreams.iter().enumerate() {
        if !node.journal.exists() {
            continue;
        }
        for line in read_journal(&node.journal)? {
            if line.content == content {
                list.push(UpstreamLine { upstream, line });
            }
        }
    }
    list.sort_by_key(|entry| entry.line.at_ms);
    Ok(list)
}

/// The index of the upstream that most recently started `content`.
///
/// # Errors
///
/// Fails when a journal cannot be read or nothing ran.
pub fn latest_upstream(fleet: &FleetProcesses, content: u64) -> anyhow::Result<usize> {
    let lines = journal_lines(fleet, content)?;
    let start = lines
        .iter()
        .rev()
        .find(|entry| entry.line.event == JournalEvent::Start);
    match start {
        Some(entry) => Ok(entry.upstream),
        None => anyhow::bail!("nothing ran under content {content:x}"),
    }
}

/// The number of runs of `content` that upstreams started. Refused attempts are not counted.
///
/// # Errors
///
/// Fails when a journal cannot be read.
pub fn run_count(fleet: &FleetProcesses, content: u64) -> anyhow::Result<usize> {
    let lines = journal_lines(fleet, content)?;
    let starts = lines
        .iter()
        .filter(|entry| entry.line.event == JournalEvent::Start);
    Ok(starts.count())
}

/// Checks that the outcome reported to the caller agrees with the journals.
///
/// # Errors
///
/// Fails when a completed response is incomplete or has no complete run in the journals, when the received text is not
/// a prefix of the expected one, or when a request reported as `not-run` ran.
pub fn check_outcome(fleet: &FleetProcesses, result: &StreamResult) -> anyhow::Result<()> {
    let lines = journal_lines(fleet, content_hash(&result.messages))?;
    let started = lines
        .iter()
        .any(|entry| entry.line.event == JournalEvent::Start);
    let done = lines
        .iter()
        .any(|entry| entry.line.event == JournalEvent::Done);
    anyhow::ensure!(
        result.whole.starts_with(&result.text),
        "received {:?}, which is not a prefix of {:?}",
        result.text,
        result.whole
    );
    match result.outcome {
        Some(CallOutcome::Completed) => {
            anyhow::ensure!(
                result.text == result.whole,
                "completed with {:?} instead of {:?}",
                result.text,
                result.whole
            );
            anyhow::ensure!(done, "completed, but no journal shows a complete run");
        }
        Some(CallOutcome::NotRun) => {
            anyhow::ensure!(!started, "reported as not-run, but it ran: {lines:?}")
        }
        Some(CallOutcome::Failed | CallOutcome::Unknown) | None => {}
    }
    Ok(())
}
