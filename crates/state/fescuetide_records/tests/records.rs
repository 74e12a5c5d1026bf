//! Tests of the request log, the burn ledger and the burn report.

use fescuetide_base::prelude::*;
use fescuetide_classes::ClassTargets;
use fescuetide_classes::LatenessTarget;
use fescuetide_records::BurnRate;
use fescuetide_records::prelude::*;
use proptest::prelude::*;

fn record(number: u128, outcome: RecordOutcome, attempts: Vec<AttemptResult>) -> RequestRecord {
    let attempts = attempts
        .into_iter()
        .map(|result| AttemptRecord {
            attempt: AttemptId::from_u128(number),
            vm: "engine-1".parse().expect("name"),
            started: ClockMillis::new(0),
            span: SpanMillis::new(1),
            result,
        })
        .collect();
    RequestRecord {
        request: RequestId::from_u128(number),
        router: "router-1".parse().expect("name"),
        workspace: "w".parse().expect("name"),
        class: "chat".parse().expect("name"),
        pool: "pool".parse().expect("name"),
        received: ClockMillis::new(0),
        first_part: Some(SpanMillis::new(10)),
        span: SpanMillis::new(20),
        outcome,
        reason: String::new(),
        attempts,
    }
}

fn targets() -> ClassTargets {
    ClassTargets {
        lateness: LatenessTarget {
            within: SpanMillis::new(9),
            ..LatenessTarget::default()
        },
        ..ClassTargets::default()
    }
}

/// Guards against counting a refused request as late or lost, which would inflate the burn rate and hide the refusals.
#[test]
fn refused_request_burns_no_budget() {
    let refused = AttemptResult::Refused("full".to_owned());
    let count = record(1, RecordOutcome::NotRun, vec![refused]).burn(&targets());
    assert_eq!((count.refused, count.late, count.lost), (1, 0, 0));
}

/// Guards against not counting a retry after a lost attempt as a possible duplicate.
#[test]
fn second_run_counts_as_duplicate() {
    let lost = AttemptResult::Lost("connection lost".to_owned());
    let attempts = vec![lost, AttemptResult::Completed];
    let count = record(1, RecordOutcome::Completed, attempts).burn(&targets());
    assert_eq!((count.duplicated, count.late), (1, 1));
}

/// Guards against counting refused or unsent attempts as runs.
#[test]
fn attempts_that_did_not_run_are_no_duplicates() {
    let attempts = vec![
        AttemptResult::NotSent("refused".to_owned()),
        AttemptResult::Refused("full".to_owned()),
        AttemptResult::NotRun("down".to_owned()),
        AttemptResult::Completed,
    ];
    let count = record(1, RecordOutcome::Completed, attempts).burn(&targets());
    assert_eq!(count.duplicated, 0);
}

/// Guards against unbounded memory use during an outage of the log service.
#[test]
fn pending_records_are_bounded_and_counted() {
    let settings = RecordSettings {
        capacity: 32,
        pending_limit: 32,
    };
    let mut log = RequestLog::new(settings);
    for number in 0..100 {
        log.add(record(number, RecordOutcome::Completed, Vec::new()));
    }
    let pending = log.take_pending(1_000);
    assert!(pending.len() <= 32);
    assert_eq!(log.dropped() + pending.len() as u64, 100);
    assert!(log.len() <= 32);
    assert!(log.find(RequestId::from_u128(99)).is_some());
}

/// Guards against losing or reordering records whose append failed.
#[test]
fn returned_records_come_first_again() {
    let mut log = RequestLog::new(RecordSettings::default());
    for number in 0..4 {
        log.add(record(number, RecordOutcome::Completed, Vec::new()));
    }
    let taken = log.take_pending(2);
    log.return_pending(taken);
    let again = log.take_pending(10);
    let ids: Vec<RequestId> = again.iter().map(|entry| entry.request).collect();
    assert_eq!(ids, (0..4).map(RequestId::from_u128).collect::<Vec<_>>());
}

/// Guards against reporting a burn rate of 0 for a target of 0.
#[test]
fn zero_target_reports_the_count() {
    let rate = BurnRate::new(3, 1_000, TargetShare::default());
    assert!(rate.is_over());
    assert_eq!(rate.to_string(), "3 of 0");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against windows that count too many or too few requests, by comparing them with a list of all events.
    #[test]
    fn windows_match_a_list_of_events(steps in prop::collection::vec((0_u64..4_000_000, 1_u64..5), 1..60)) {
        let class: ClassName = "chat".parse().expect("name");
        let mut ledger = BurnLedger::default();
        let mut events = Vec::new();
        let mut now = 30_000_000;
        for (step, total) in steps {
            now += step;
            let count = BurnCount { total, ..BurnCount::default() };
            ledger.note(&class, count, ClockMillis::new(now));
            events.push((now / 60_000, total));
        }
        let windows = ledger.windows(&class, ClockMillis::new(now));
        for (window, count) in BurnWindow::ALL.into_iter().zip(windows) {
            let minutes = window.span().as_millis() / 60_000;
            let mut expected = 0;
            for (minute, total) in &events {
                if minute + minutes > now / 60_000 {
                    expected += total;
                }
            }
            prop_assert_eq!(count.total, expected);
        }
    }
}
