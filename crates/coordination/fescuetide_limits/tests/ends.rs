//! Tests of the ends of upstreams under suspects: how routers merge them, and which suspect is blamed.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::UpstreamLife;
use fescuetide_limits::CrashFingerprint;
use fescuetide_limits::HistorySettings;
use fescuetide_limits::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const START: ClockMillis = ClockMillis::new(1_000_000);

fn suspect(name: &str) -> CrashFingerprint {
    CrashFingerprint::of_parts(&[name.as_bytes()])
}

fn new_table() -> SuspectTable {
    SuspectTable::new(SuspectSettings {
        crash_limit: 3,
        ..SuspectSettings::default()
    })
}

/// Creates a table in which upstreams ended under suspects, and the time at which these have had their time to complete.
fn table_after(ends: &[(&str, &[u32])]) -> (SuspectTable, ClockMillis) {
    let mut table = new_table();
    for (name, lives) in ends {
        for life in *lives {
            table.note_end(suspect(name), UpstreamLife::new(*life), START);
        }
    }
    (table, START + SuspectSettings::default().end_grace)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(61),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against gateways that know different ends, because evidence reached them in another order or twice.
    #[test]
    fn order_and_repetition_of_ends_do_not_matter(
        reports in proptest::collection::vec((0_u32..3, proptest::collection::vec(0_u32..40, 0..20)), 1..8),
        repeats in proptest::collection::vec(0_usize..8, 0..8),
    ) {
        let sets: Vec<EndSet> = reports
            .iter()
            .map(|(clears, lives)| EndSet::new(*clears, lives.iter().copied().map(UpstreamLife::new)))
            .collect();
        let mut one = EndSet::default();
        for set in &sets {
            one.merge(set);
        }
        let mut other = EndSet::default();
        for set in sets.iter().rev() {
            other.merge(set);
        }
        for repeat in repeats {
            other.merge(&sets[repeat % sets.len()]);
        }
        prop_assert_eq!(one, other);
        prop_assert!(!one.merge(&other));
    }
}

/// Guards against refusing a request at once when several upstreams end together, before it could complete elsewhere.
#[test]
fn suspect_has_time_to_complete() {
    let (mut table, due) = table_after(&[("request", &[1, 2, 3])]);
    let request = suspect("request");
    assert_eq!(table.blame(request, &[request], START), None);
    assert!(table.blame(request, &[request], due).is_some());
    assert_eq!(table.note_completed(request), 3);
    assert_eq!(table.blame(request, &[request], due), None);
    assert!(!table.is_suspect(request, due));
}

/// Guards against a request that is never refused because its time to complete starts anew with each further end.
#[test]
fn further_ends_do_not_extend_the_time_to_complete() {
    let (mut table, due) = table_after(&[("request", &[1, 2, 3])]);
    let request = suspect("request");
    table.note_end(request, UpstreamLife::new(4), due);
    assert!(table.blame(request, &[request], due).is_some());
}

/// Guards against a time to complete that starts anew at a gateway that learns of old evidence.
#[test]
fn learned_evidence_is_as_old_as_it_says() {
    let (table, due) = table_after(&[("request", &[1, 2, 3])]);
    let request = suspect("request");
    let evidence = table.evidence(request, due).expect("evidence");
    let mut other = new_table();
    assert!(other.merge(evidence, due));
    assert!(other.blame(request, &[request], due).is_some());
}

/// Guards against blaming a suspect that was running wherever another one ended upstreams.
#[test]
fn suspect_with_more_ends_explains_those_of_others() {
    let (table, due) = table_after(&[("culprit", &[1, 2, 3, 4]), ("bystander", &[1, 2, 3])]);
    let (culprit, bystander) = (suspect("culprit"), suspect("bystander"));
    assert!(table.blame(culprit, &[culprit], due).is_some());
    assert_eq!(table.blame(bystander, &[bystander], due), None);
    // A request that has both is refused because of the culprit.
    assert!(table.blame(culprit, &[bystander, culprit], due).is_some());
}

/// Guards against blaming all requests that were running on a pool which went down as a whole.
#[test]
fn suspects_with_the_same_ends_explain_each_other() {
    let (table, due) = table_after(&[("one", &[1, 2, 3]), ("other", &[1, 2, 3])]);
    let (one, other) = (suspect("one"), suspect("other"));
    assert_eq!(table.blame(one, &[one], due), None);
    assert_eq!(table.blame(other, &[other], due), None);
    assert!(table.blame(one, &[one, other], due).is_some());
}

/// Guards against an end that is lost when another gateway has cleared the request of earlier ones.
#[test]
fn ends_after_a_completion_add_up() {
    let (mut table, due) = table_after(&[("request", &[1, 2])]);
    let request = suspect("request");
    table.note_completed(request);
    let evidence = table.evidence(request, due).expect("evidence");
    let mut other = new_table();
    other.merge(evidence, due);
    for life in 3..6 {
        other.note_end(request, UpstreamLife::new(life), due);
    }
    let evidence = other.evidence(request, due).expect("evidence");
    assert!(table.merge(evidence, due));
    let later = due + SuspectSettings::default().end_grace;
    assert!(table.blame(request, &[request], later).is_some());
}

/// Guards against completions that are forgotten too soon, or never.
#[test]
fn completions_are_remembered_for_some_time() {
    let settings = HistorySettings {
        retention: SpanMillis::new(10_000),
        half_limit: 4,
    };
    let mut history = CompletionHistory::new(settings);
    let early = suspect("early");
    history.note(early, START);
    assert!(history.contains(early, START + SpanMillis::new(9_999)));
    assert!(!history.contains(early, START + SpanMillis::new(30_000)));
    history.note(early, START + SpanMillis::new(30_000));
    for number in 0..8 {
        let now = START + SpanMillis::new(30_001);
        history.note(suspect(&number.to_string()), now);
    }
    assert!(!history.contains(early, START + SpanMillis::new(30_002)));
}
