//! Tests of the evidence about keys.

use fescuetide_claims::KeyEvidence;

/// Guards against reporting `not-run` for a resend because the claim that it found never ran, although another send
/// replaced that claim in the meantime and ran: two sends find a claim whose attempt never ran, one of them replaces it
/// and runs on the only other upstream, which then crashes, and the other one ends because no upstream is left.
/// `cargo run -p fescuetide_bench -- faults --seed 77015 --quick --deployment corrib` reproduces this.
#[test]
fn claim_that_never_ran_is_no_evidence() {
    let mut evidence = KeyEvidence::default();
    evidence.note_claim();
    assert!(!evidence.is_not_run());
}

/// Guards against the same race when the request's own claim comes first: another send may have the key sealed and
/// replace the claim before the dispatch under it arrives.
#[test]
fn own_claim_invalidates_the_evidence() {
    let mut evidence = KeyEvidence::default();
    evidence.note_free();
    evidence.note_claim();
    assert!(!evidence.is_not_run());
}

/// Guards against reporting `unknown` although the log shows that the claim was not replaced.
#[test]
fn claim_that_is_still_current_is_evidence() {
    let mut evidence = KeyEvidence::default();
    evidence.note_claim();
    evidence.note_current(true);
    assert!(evidence.is_not_run());
    evidence.note_claim();
    evidence.note_current(false);
    assert!(!evidence.is_not_run());
}

/// Guards against an outage of the log overriding an earlier claim.
#[test]
fn earlier_claim_outlasts_an_outage() {
    let mut evidence = KeyEvidence::default();
    evidence.note_unavailable(true);
    assert!(evidence.is_not_run());
    evidence.note_claim();
    evidence.note_unavailable(true);
    assert!(!evidence.is_not_run());
}

/// Guards against reporting `not-run` for a resend that is abandoned before it queries the log, although the first send
/// ran. This happens if the request reaches its deadline before it creates a claim.
#[test]
fn key_is_uncertain_before_the_log_is_queried() {
    let mut evidence = KeyEvidence::default();
    assert!(!evidence.is_not_run());
    evidence.note_free();
    assert!(evidence.is_not_run());
}
