//! Compares what the stand-ins ran with what callers were told.

use fescuetide_standin::answer::prompt_hash;
use fescuetide_standin::answer::prompt_tokens;
use fescuetide_standin::journal::JournalEvent;
use fescuetide_standin::journal::JournalLine;
use fescuetide_standin::journal::read_journal;
use fescuetide_wire::api::CallOutcome;
use fescuetide_wire::api::ChatMessage;

use crate::fault_client::StreamResult;
use crate::fleet::FleetProcesses;

/// A journal line and the place of the upstream that wrote it.
#[derive(Clone, Debug)]
pub struct PlacedLine {
    /// The place in the list of upstreams.
    pub place: usize,
    /// The line.
    pub line: JournalLine,
}

/// The content hash under which engines journal a prompt.
pub fn content_of(messages: &[ChatMessage]) -> u64 {
    prompt_hash(&prompt_tokens(messages))
}

/// All lines of all journals that are about `content`, in order of time.
///
/// # Errors
///
/// Fails when a journal cannot be read.
pub fn lines_of(fleet: &FleetProcesses, content: u64) -> anyhow::Result<Vec<PlacedLine>> {
    let mut list = Vec::new();
    for (place, pair) in fleet.upstreams.iter().enumerate() {
        if !pair.journal.exists() {
            continue;
        }
        for line in read_journal(&pair.journal)? {
            if line.content == content {
                list.push(PlacedLine { place, line });
            }
        }
    }
    list.sort_by_key(|placed| placed.line.at_ms);
    Ok(list)
}

/// The place of the upstream that started to run `content` last.
///
/// # Errors
///
/// Fails when a journal cannot be read or nothing ran.
pub fn last_runner(fleet: &FleetProcesses, content: u64) -> anyhow::Result<usize> {
    let lines = lines_of(fleet, content)?;
    let start = lines
        .iter()
        .rev()
        .find(|placed| placed.line.event == JournalEvent::Start);
    match start {
        Some(placed) => Ok(placed.place),
        None => anyhow::bail!("nothing ran under content {content:x}"),
    }
}

/// How many runs of `content` upstreams started. Attempts that were refused are no runs.
///
/// # Errors
///
/// Fails when a journal cannot be read.
pub fn run_count(fleet: &FleetProcesses, content: u64) -> anyhow::Result<usize> {
    let lines = lines_of(fleet, content)?;
    let starts = lines
        .iter()
        .filter(|placed| placed.line.event == JournalEvent::Start);
    Ok(starts.count())
}

/// Checks that the caller was told the truth about its request.
///
/// # Errors
///
/// Fails with what is wrong: a completed response that is not the whole text, a text that is not the beginning of the
/// whole one, a `not-run` of a request that ran, or an outcome that does not fit the journals.
pub fn check_truth(fleet: &FleetProcesses, result: &StreamResult) -> anyhow::Result<()> {
    let lines = lines_of(fleet, content_of(&result.messages))?;
    let started = lines
        .iter()
        .any(|placed| placed.line.event == JournalEvent::Start);
    let done = lines
        .iter()
        .any(|placed| placed.line.event == JournalEvent::Done);
    anyhow::ensure!(
        result.whole.starts_with(&result.text),
        "{} is not the beginning of {}",
        result.text,
        result.whole
    );
    match result.outcome {
        Some(CallOutcome::Completed) => {
            anyhow::ensure!(
                result.text == result.whole,
                "text {} of {}",
                result.text,
                result.whole
            );
            anyhow::ensure!(done, "completed, but no journal shows a complete run");
        }
        Some(CallOutcome::NotRun) => anyhow::ensure!(!started, "not-run, but it ran: {lines:?}"),
        Some(CallOutcome::Failed | CallOutcome::Unknown) | None => {}
    }
    Ok(())
}
