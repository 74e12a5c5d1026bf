//! Admission and execution of attempts.

use std::sync::Arc;
use std::thread;

use fescuetide_base::ClockMillis;
use fescuetide_limits::QueuedWork;
use fescuetide_wire::frame::AdmitCondition;
use fescuetide_wire::frame::AttemptEnding;
use fescuetide_wire::frame::ChatTurn;
use fescuetide_wire::frame::DispatchFrame;
use fescuetide_wire::frame::RefusalReason;

use crate::SideShared;
use crate::admission::AdmitRefusal;
use crate::attempts::AttemptEntry;
use crate::prefix::fetch_prefix;
use crate::run_queue::QueueOutcome;

/// Admits an attempt to the queue, or returns the refusal.
pub(crate) fn admit(
    shared: &SideShared,
    dispatch: &DispatchFrame,
) -> Result<AttemptEntry, AdmitRefusal> {
    let refuse = |reason| AdmitRefusal::new(reason, shared.gate.load());
    if dispatch.target != shared.incarnation {
        return Err(refuse(RefusalReason::OtherIncarnation));
    }
    let now = ClockMillis::now();
    if let Some(left) = shared.upstream.pause_left(now) {
        return Err(AdmitRefusal {
            retry_after: left,
            ..refuse(RefusalReason::TooLate)
        });
    }
    check_condition(shared, dispatch, now).map_err(refuse)?;
    let entry = shared
        .attempts
        .register(dispatch.tag, dispatch.key.clone(), now)
        .map_err(refuse)?;
    if let Err(refusal) = shared.gate.admit(dispatch.admission, dispatch.suspect) {
        shared.attempts.withdraw(&entry, now);
        return Err(refusal);
    }
    let work = QueuedWork {
        attempt: dispatch.tag.attempt,
        workspace: dispatch.workspace.clone(),
        // The time after which the first part of the response misses the lateness target of the class.
        late_at: now + dispatch.slack,
        deadline: now + dispatch.deadline,
        // The share of requests of the class that may be lost. Work with a higher share is shed first.
        loss_share: dispatch.loss_share,
    };
    if let Err(late) = shared.queue.push(work, now) {
        shared.gate.release(dispatch.suspect);
        shared.attempts.withdraw(&entry, now);
        return Err(AdmitRefusal {
            retry_after: late.retry_after,
            ..refuse(RefusalReason::TooLate)
        });
    }
    Ok(entry)
}

/// Checks the condition that the router attached to the dispatch: the prefix of the chat is cached here (`Held`), the
/// load is below the mean of the pool, or none. The gate checks the `AdmissionRule`, which sets the load limit: the one
/// that the side process computes (`OwnCap`) or a value from the router (`AtMost`).
fn check_condition(
    shared: &SideShared,
    dispatch: &DispatchFrame,
    now: ClockMillis,
) -> Result<(), RefusalReason> {
    match dispatch.condition {
        AdmitCondition::Held => match dispatch.chat {
            Some(turn) if shared.chats.has_cached(turn, now) => Ok(()),
            _ => Err(RefusalReason::NotHeld),
        },
        AdmitCondition::BelowMean if f64::from(shared.gate.load().get()) < shared.gate.mean() => {
            Ok(())
        }
        AdmitCondition::BelowMean => Err(RefusalReason::AboveMean),
        AdmitCondition::Always => Ok(()),
    }
}

/// Starts the thread of an admitted attempt, which waits in the queue and then runs.
pub(crate) fn start_attempt(
    shared: &Arc<SideShared>,
    entry: AttemptEntry,
    dispatch: DispatchFrame,
) {
    let run_shared = Arc::clone(shared);
    let run_entry = entry.clone();
    let suspect = dispatch.suspect;
    let spawned = thread::Builder::new()
        .name("side-attempt".to_owned())
        .spawn(move || {
            let ending = run_queued(&run_shared, &run_entry, &dispatch);
            run_shared.metrics.count(metric_name(&ending));
            record_chat(&run_shared, dispatch.chat, &ending);
            run_shared.gate.release(suspect);
            run_entry.response.finish(ending, ClockMillis::now());
        });
    if let Err(error) = spawned {
        shared.queue.abandon(entry.tag.attempt, ClockMillis::now());
        shared.gate.release(suspect);
        let ending =
            AttemptEnding::NotRun(format!("cannot spawn a thread for the attempt: {error}"));
        entry.response.finish(ending, ClockMillis::now());
    }
}

fn run_queued(
    shared: &SideShared,
    entry: &AttemptEntry,
    dispatch: &DispatchFrame,
) -> AttemptEnding {
    let attempt = entry.tag.attempt;
    let deadline = ClockMillis::now() + dispatch.deadline;
    match shared.queue.wait_for_slot(attempt, deadline) {
        QueueOutcome::Run => {}
        QueueOutcome::Shed(late) => return AttemptEnding::Shed(late.retry_after),
        QueueOutcome::Expired => {
            return AttemptEnding::NotRun("deadline passed in the queue".to_owned());
        }
        QueueOutcome::CallerGone => {
            return AttemptEnding::NotRun(
                "caller disconnected while the attempt was queued".to_owned(),
            );
        }
    }
    let started = ClockMillis::now();
    let ending = if entry.response.is_cancelled() {
        AttemptEnding::NotRun("caller disconnected while the attempt was queued".to_owned())
    } else if let Some(left) = shared.upstream.pause_left(started) {
        AttemptEnding::Shed(left)
    } else {
        fetch_prefix(shared, dispatch);
        shared.upstream.run(dispatch, &entry.response)
    };
    let first_part = entry.response.first_part_at().map(|at| at.since(started));
    shared.queue.finish(attempt, first_part, ClockMillis::now());
    ending
}

/// Updates the table of cached chats by the ending of an attempt.
fn record_chat(shared: &SideShared, turn: Option<ChatTurn>, ending: &AttemptEnding) {
    match ending {
        AttemptEnding::Completed { .. } => {
            if let Some(turn) = turn {
                shared.chats.note(turn, ClockMillis::now());
            }
        }
        // The engine may have restarted and lost its cache.
        AttemptEnding::Failed(_) | AttemptEnding::Crashed(_) => shared.chats.clear(),
        AttemptEnding::NotRun(_) | AttemptEnding::Shed(_) | AttemptEnding::Cancelled => {}
    }
}

fn metric_name(ending: &AttemptEnding) -> &'static str {
    match ending {
        AttemptEnding::Completed { .. } => "attempt.completed",
        AttemptEnding::NotRun(_) => "attempt.not_run",
        AttemptEnding::Shed(_) => "attempt.shed",
        AttemptEnding::Failed(_) => "attempt.failed",
        AttemptEnding::Crashed(_) => "attempt.crashed",
        AttemptEnding::Cancelled => "attempt.cancelled",
    }
}
