//! Compares the stand-ins' journals with the outcomes reported to callers and finds violated guarantees.
//!
//! P1, the load bound, is not checked here; [`measure`](crate::measure) evaluates it from load samples.

use std::fmt;

use fescuetide_classes::ClassSnapshot;
use fescuetide_standin::journal::JournalEvent;
use fescuetide_standin::journal::JournalLine;
use fescuetide_wire::api::CallOutcome;
use indexmap::IndexMap;
use uuid::Uuid;

use crate::action::ActionRecord;
use crate::action::FaultAction;
use crate::action::FaultTarget;
use crate::caller::CallRecord;
use crate::offsets::OffsetSample;
use crate::trace::TraceCall;
use crate::trace::TraceWork;

/// Time after which an upstream listed as leaving must not receive new work.
const LEAVING_LIMIT_MS: u64 = 3_000;

/// Time after which an accepted class change must be in force on all routers.
const CHANGE_LIMIT_MS: u64 = 5_000;

/// A guarantee from section 1.2 of `docs/design.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PromiseKind {
    /// A completed response is complete and belongs to its request.
    P2,
    /// A request reported as not run did not run.
    P3,
    /// Non-repeatable requests run at most once.
    P4,
    /// Leaving upstreams receive no new work.
    P5,
    /// A graceful shutdown interrupts no request.
    P6,
    /// Class changes take effect within seconds and are never reverted.
    P7,
}

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GuaranteeViolation {
    /// The guarantee.
    pub guarantee: PromiseKind,
    /// Description of the violation.
    pub detail: String,
}

impl fmt::Display for GuaranteeViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.guarantee, self.detail)
    }
}

/// The results of a run that the check needs.
#[derive(Clone, Copy, Debug)]
pub struct RunEvidence<'a> {
    /// The requests of the trace.
    pub calls: &'a [TraceCall],
    /// Responses received by callers.
    pub records: &'a [CallRecord],
    /// Journal lines of the upstreams.
    pub journal: &'a [JournalLine],
    /// Actions performed on the fleet.
    pub actions: &'a [ActionRecord],
    /// Class-log offsets of the routers.
    pub offsets: &'a [OffsetSample],
    /// Class tables of the routers at the end of the run.
    pub tables: &'a [ClassSnapshot],
}

/// Finds all violated guarantees.
pub fn find_violations(evidence: &RunEvidence<'_>) -> Vec<GuaranteeViolation> {
    let mut violations = Vec::new();
    let runs = collect_runs(evidence.journal);
    check_responses(evidence, &runs, &mut violations);
    check_not_run(evidence, &runs, &mut violations);
    check_single_runs(evidence, &mut violations);
    check_leaving(evidence, &mut violations);
    check_interrupted(evidence, &mut violations);
    check_changes(evidence, &mut violations);
    check_tables(evidence, &mut violations);
    violations
}

/// The runs of a content hash on all upstreams.
#[derive(Clone, Debug, Default)]
struct ContentRuns {
    starts: Vec<u64>,
    done: u32,
}

fn collect_runs(journal: &[JournalLine]) -> IndexMap<u64, ContentRuns> {
    let mut runs: IndexMap<u64, ContentRuns> = IndexMap::new();
    for line in journal {
        let entry = runs.entry(line.content).or_default();
        match line.event {
            JournalEvent::Start => entry.starts.push(line.at_ms),
            JournalEvent::Done => entry.done += 1,
            _ => {}
        }
    }
    runs
}

fn check_responses(
    evidence: &RunEvidence<'_>,
    runs: &IndexMap<u64, ContentRuns>,
    violations: &mut Vec<GuaranteeViolation>,
) {
    for record in evidence.records {
        if record.outcome != Some(CallOutcome::Completed) {
            continue;
        }
        let call = &evidence.calls[record.index];
        if !record.is_expected {
            let detail = format!(
                "{} received a response that is incomplete or belongs to another request",
                describe_call(call)
            );
            push_violation(violations, PromiseKind::P2, detail);
        }
        if runs.get(&call.content).is_none_or(|runs| runs.done == 0) {
            let detail = format!(
                "{} completed, but no run of it finished",
                describe_call(call)
            );
            push_violation(violations, PromiseKind::P2, detail);
        }
    }
}

fn check_not_run(
    evidence: &RunEvidence<'_>,
    runs: &IndexMap<u64, ContentRuns>,
    violations: &mut Vec<GuaranteeViolation>,
) {
    let mut sends: IndexMap<u64, u32> = IndexMap::new();
    for record in evidence.records {
        let content = evidence.calls[record.index].content;
        *sends.entry(content).or_default() += 1;
    }
    for record in evidence.records {
        if record.outcome != Some(CallOutcome::NotRun) {
            continue;
        }
        let call = &evidence.calls[record.index];
        let Some(found) = runs.get(&call.content) else {
            continue;
        };
        // A resent key may run later for another send. A request that was sent only once must never run.
        let single = sends.get(&call.content) == Some(&1);
        for start in &found.starts {
            if single || *start <= record.ended_ms {
                let detail = format!("{} was reported as not-run, but ran", describe_call(call));
                push_violation(violations, PromiseKind::P3, detail);
                break;
            }
        }
    }
}

fn check_single_runs(evidence: &RunEvidence<'_>, violations: &mut Vec<GuaranteeViolation>) {
    let mut keys: IndexMap<&str, u32> = IndexMap::new();
    for line in evidence.journal {
        if let (JournalEvent::Start, Some(key)) = (line.event, &line.key) {
            *keys.entry(key).or_default() += 1;
        }
    }
    for (key, count) in keys {
        if count > 1 {
            push_violation(
                violations,
                PromiseKind::P4,
                format!("key {key} ran {count} times"),
            );
        }
    }
}

fn check_leaving(evidence: &RunEvidence<'_>, violations: &mut Vec<GuaranteeViolation>) {
    for record in evidence.actions {
        if !matches!(record.action, FaultAction::ListLeaving(_)) {
            continue;
        }
        let limit = record.at_ms + LEAVING_LIMIT_MS;
        for line in evidence.journal {
            if line.name != record.vm || line.event != JournalEvent::Start {
                continue;
            }
            // Attempt ids contain the dispatch time at the router; the run may start later.
            if dispatch_ms(&line.attempt).is_some_and(|at_ms| at_ms > limit) {
                let detail = format!(
                    "{} received attempt {} while leaving",
                    line.name, line.attempt
                );
                push_violation(violations, PromiseKind::P5, detail);
            }
        }
    }
}

fn dispatch_ms(attempt: &str) -> Option<u64> {
    let (seconds, nanos) = Uuid::parse_str(attempt).ok()?.get_timestamp()?.to_unix();
    Some(seconds * 1_000 + u64::from(nanos) / 1_000_000)
}

fn check_interrupted(evidence: &RunEvidence<'_>, violations: &mut Vec<GuaranteeViolation>) {
    for record in evidence.records {
        if record.outcome.is_some() || !record.connected {
            continue;
        }
        let target = FaultTarget::Router(record.router);
        let during = |action: &FaultAction| {
            evidence.actions.iter().any(|done| {
                done.action == *action
                    && record.sent_ms <= done.at_ms
                    && done.started_ms <= record.ended_ms
            })
        };
        if during(&FaultAction::Kill(target)) {
            continue;
        }
        let name = describe_call(&evidence.calls[record.index]);
        let drained = evidence
            .actions
            .iter()
            .any(|done| done.action == FaultAction::Drain(target));
        if drained {
            let detail = format!("{name} was interrupted by the shutdown of its router");
            push_violation(violations, PromiseKind::P6, detail);
        } else {
            let detail = format!("{name} was interrupted although its router had no fault");
            push_violation(violations, PromiseKind::P2, detail);
        }
    }
}

fn check_changes(evidence: &RunEvidence<'_>, violations: &mut Vec<GuaranteeViolation>) {
    for record in evidence.actions {
        let Some(next) = record.next_class_offset else {
            continue;
        };
        for sample in evidence.offsets {
            if sample.at_ms > record.at_ms + CHANGE_LIMIT_MS && sample.offset < next {
                let detail = format!(
                    "router {} is at class offset {}, but the log reached {next} {} ms earlier",
                    sample.router,
                    sample.offset,
                    sample.at_ms - record.at_ms
                );
                push_violation(violations, PromiseKind::P7, detail);
            }
        }
    }
    let mut last: IndexMap<usize, u64> = IndexMap::new();
    for sample in evidence.offsets {
        let before = last
            .insert(sample.router, sample.offset)
            .unwrap_or_default();
        if sample.offset < before {
            let detail = format!(
                "the class offset of router {} went backwards from {before} to {}",
                sample.router, sample.offset
            );
            push_violation(violations, PromiseKind::P7, detail);
        }
    }
}

/// Checks that of the changes based on the first version of a class exactly one is in force, the same on all routers.
fn check_tables(evidence: &RunEvidence<'_>, violations: &mut Vec<GuaranteeViolation>) {
    let Some(first) = evidence.tables.first() else {
        return;
    };
    for table in evidence.tables {
        if table.entries != first.entries {
            let detail = "routers have different classes in force".to_owned();
            push_violation(violations, PromiseKind::P7, detail);
        }
    }
    for record in evidence.actions {
        let FaultAction::RaceChanges(class, _) = &record.action else {
            continue;
        };
        let entry = first
            .entries
            .iter()
            .find(|(name, _)| name.as_str() == class);
        let version = entry.map(|(_, entry)| entry.version.get());
        if version != Some(2) {
            let detail = format!(
                "class {class} has version {version:?} after conflicting changes of version 1"
            );
            push_violation(violations, PromiseKind::P7, detail);
        }
    }
}

fn describe_call(call: &TraceCall) -> String {
    match &call.work {
        TraceWork::Chat { script, turn, .. } => format!("turn {turn} of {}", script.name),
        TraceWork::Call { path, body, .. } => format!("call of {path} with {body}"),
    }
}

fn push_violation(
    violations: &mut Vec<GuaranteeViolation>,
    guarantee: PromiseKind,
    detail: String,
) {
    violations.push(GuaranteeViolation { guarantee, detail });
}
