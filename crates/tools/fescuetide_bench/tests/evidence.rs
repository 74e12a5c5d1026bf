//! Traces are reproducible, and the check finds the violations in tampered journals.

use fescuetide_base::AttemptId;
use fescuetide_base::ClassVersion;
use fescuetide_bench::action::ActionRecord;
use fescuetide_bench::action::FaultAction;
use fescuetide_bench::caller::CallRecord;
use fescuetide_bench::check::PromiseKind;
use fescuetide_bench::check::RunEvidence;
use fescuetide_bench::check::find_violations;
use fescuetide_bench::deployment::DeploymentKind;
use fescuetide_bench::faults::FaultName;
use fescuetide_bench::faults::fault_sets;
use fescuetide_bench::reuse::compute_reuse;
use fescuetide_bench::trace::ClassLoad;
use fescuetide_bench::trace::LoadSpec;
use fescuetide_bench::trace::TraceCall;
use fescuetide_bench::trace::TraceWork;
use fescuetide_bench::trace::build_trace;
use fescuetide_classes::ClassEntry;
use fescuetide_classes::ClassSnapshot;
use fescuetide_standin::journal::JournalEvent;
use fescuetide_standin::journal::JournalLine;
use fescuetide_wire::api::CallOutcome;
use fescuetide_wire::api::TokenUsage;

fn class(name: &str, repeatable: bool) -> ClassLoad {
    ClassLoad {
        name: name.to_owned(),
        weight: 1,
        repeatable,
    }
}

fn small_trace(seed: u64) -> Vec<TraceCall> {
    build_trace(&LoadSpec {
        seed,
        calls_per_s: 5.0,
        chat_classes: vec![class("chat", true)],
        call_classes: vec![class("booking-change", false)],
        ..LoadSpec::default()
    })
}

fn line(call: &TraceCall, event: JournalEvent, at_ms: u64) -> JournalLine {
    let key = match &call.work {
        TraceWork::Call { key: Some(key), .. } => Some(key.to_string()),
        _ => None,
    };
    JournalLine {
        at_ms,
        name: "engine-1".to_owned(),
        event,
        attempt: AttemptId::generate().to_string(),
        key,
        content: call.content,
        prompt_tokens: 0,
        cached_tokens: 0,
    }
}

/// Records and journal of a run in which every request runs once and completes.
fn valid_run(calls: &[TraceCall]) -> (Vec<CallRecord>, Vec<JournalLine>) {
    let mut records = Vec::new();
    let mut journal = Vec::new();
    for (index, call) in calls.iter().enumerate() {
        records.push(CallRecord {
            index,
            router: call.router,
            sent_ms: call.at_ms,
            ended_ms: call.at_ms + 100,
            connected: true,
            outcome: Some(CallOutcome::Completed),
            is_expected: true,
            first_token: None,
            inter_token_latencies: Vec::new(),
            usage: TokenUsage::default(),
        });
        journal.push(line(call, JournalEvent::Start, call.at_ms + 10));
        journal.push(line(call, JournalEvent::Cached, call.at_ms + 20));
        journal.push(line(call, JournalEvent::Done, call.at_ms + 90));
    }
    journal.sort_by_key(|line| line.at_ms);
    (records, journal)
}

fn violations(
    calls: &[TraceCall],
    records: &[CallRecord],
    journal: &[JournalLine],
    actions: &[ActionRecord],
) -> Vec<PromiseKind> {
    let evidence = RunEvidence {
        calls,
        records,
        journal,
        actions,
        offsets: &[],
        tables: &[],
    };
    let found = find_violations(&evidence);
    found
        .into_iter()
        .map(|violation| violation.guarantee)
        .collect()
}

/// Guards against a load that depends on anything but its seed, which would make runs incomparable.
#[test]
fn trace_depends_on_its_seed_only() {
    let trace = small_trace(7);
    assert!(trace.len() > 100);
    assert_eq!(trace, small_trace(7));
    assert_ne!(trace, small_trace(8));
}

/// Guards against a check that reports false positives or compares nothing.
#[test]
fn valid_run_has_no_violations() {
    let calls = small_trace(7);
    let (records, journal) = valid_run(&calls);
    assert_eq!(violations(&calls, &records, &journal, &[]), []);
    assert_eq!(
        violations(&calls, &records, &[], &[]).len(),
        calls.len(),
        "completed requests without any run"
    );
}

/// Guards against a check that misses the second run of a non-repeatable request.
#[test]
fn doubled_run_is_a_violation() {
    let calls = small_trace(7);
    let (records, mut journal) = valid_run(&calls);
    let keyed = calls
        .iter()
        .find(|call| matches!(call.work, TraceWork::Call { .. }))
        .expect("trace has a keyed call");
    journal.push(line(keyed, JournalEvent::Start, 1_000_000));
    assert_eq!(
        violations(&calls, &records, &journal, &[]),
        [PromiseKind::P4]
    );
}

/// Guards against a check that misses a run of a request reported as `not-run`, also when it ran after the response.
#[test]
fn not_run_that_ran_is_a_violation() {
    let calls = small_trace(7);
    let (mut records, journal) = valid_run(&calls);
    records[3].outcome = Some(CallOutcome::NotRun);
    records[3].ended_ms = 0;
    assert_eq!(
        violations(&calls, &records, &journal, &[]),
        [PromiseKind::P3]
    );
}

/// Guards against a check that accepts the response to another request, or a connection that failed without a fault.
#[test]
fn foreign_or_missing_response_is_a_violation() {
    let calls = small_trace(7);
    let (mut records, journal) = valid_run(&calls);
    records[5].is_expected = false;
    records[6].outcome = None;
    assert_eq!(
        violations(&calls, &records, &journal, &[]),
        [PromiseKind::P2, PromiseKind::P2]
    );
}

/// Guards against a check that misses new work on an upstream that has been leaving for more than 3 s.
#[test]
fn work_for_a_leaving_upstream_is_a_violation() {
    let calls = small_trace(7);
    let (records, journal) = valid_run(&calls[..1]);
    let leaving = |at_ms| ActionRecord {
        started_ms: at_ms,
        at_ms,
        action: FaultAction::ListLeaving(0),
        vm: "engine-1".to_owned(),
        next_class_offset: None,
    };
    // Attempt ids contain the current time.
    let now = fescuetide_base::ClockMillis::now().as_millis();
    assert_eq!(
        violations(&calls, &records, &journal, &[leaving(now - 60_000)]),
        [PromiseKind::P5]
    );
    assert_eq!(violations(&calls, &records, &journal, &[leaving(now)]), []);
}

/// Guards against a reuse ratio that ignores the cache of a live engine or counts that of a removed one.
#[test]
fn reuse_counts_the_best_live_engine() {
    let calls = small_trace(7);
    let chats: Vec<&TraceCall> = calls
        .iter()
        .filter(|call| matches!(&call.work, TraceWork::Chat { turn: 0, .. }))
        .collect();
    // Chats of a workspace share a system prompt of 256 words and one token that starts the message.
    let first = chats[0];
    let other = chats[1..]
        .iter()
        .find(|call| call.workspace == first.workspace)
        .expect("workspace has two chats");
    let mut journal = vec![
        line(first, JournalEvent::Start, 10),
        line(first, JournalEvent::Cached, 20),
        line(other, JournalEvent::Start, 30),
    ];
    journal[2].name = "engine-2".to_owned();
    journal[2].cached_tokens = 128;
    let total = compute_reuse(&calls, &journal, &[], 0).total;
    assert_eq!((total.served, total.ideal), (128, 256));
    let removed = ActionRecord {
        started_ms: 25,
        at_ms: 25,
        action: FaultAction::RemoveVm(0),
        vm: "engine-1".to_owned(),
        next_class_offset: None,
    };
    let total = compute_reuse(&calls, &journal, &[removed], 0).total;
    assert_eq!(total.ideal, 0);
}

/// Guards against example settings that the bench cannot read, and against fault sets that run twice or never.
#[test]
fn examples_and_fault_sets_are_complete() {
    for kind in [DeploymentKind::Foliengut, DeploymentKind::Corrib] {
        let settings = kind.load().expect("example settings are valid");
        let count = settings.chat_classes.len() + settings.call_classes.len();
        assert_eq!(count, settings.fleet.classes.len());
        let barred = settings.call_classes.iter().any(|class| !class.repeatable);
        assert!(barred, "{kind:?} has a class that is not repeatable");
    }
    let sets = fault_sets(&[], false);
    let count = FaultName::ALL.len();
    assert_eq!(sets.len(), count + count * (count - 1) / 2);
}

/// Guards against a check that passes although several conflicting changes of a class, or none, were accepted.
#[test]
fn conflicting_changes_without_one_winner_are_a_violation() {
    let calls = small_trace(7);
    let (records, journal) = valid_run(&calls);
    let raced = ActionRecord {
        started_ms: 10,
        at_ms: 20,
        action: FaultAction::RaceChanges("chat".to_owned(), 4),
        vm: String::new(),
        next_class_offset: None,
    };
    let table = |version| {
        let mut table = ClassSnapshot::default();
        let entry = ClassEntry {
            version: ClassVersion::new(version),
            targets: None,
        };
        let name = "chat".parse().expect("class name");
        table.entries.insert(name, entry);
        table
    };
    let count = |tables: &[ClassSnapshot]| {
        let evidence = RunEvidence {
            calls: &calls,
            records: &records,
            journal: &journal,
            actions: std::slice::from_ref(&raced),
            offsets: &[],
            tables,
        };
        find_violations(&evidence).len()
    };
    assert_eq!(count(&[table(2), table(2)]), 0);
    assert_eq!(count(&[table(2), table(3)]), 1);
    assert_eq!(count(&[table(1), table(1)]), 1);
}
