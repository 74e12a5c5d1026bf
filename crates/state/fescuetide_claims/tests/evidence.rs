//! Evidence about keys.

use fescuetide_claims::KeyEvidence;

/// Guards against a resend that is told `not-run` because the claim it found never ran, although another send replaced
/// that claim meanwhile and ran. `faults --seed 77015 --quick --deployment corrib` showed this order:
/// 1. two sends find a claim whose upstream is gone, and both have it sealed there;
/// 2. one of them replaces the claim and runs at the only other upstream, which then dies;
/// 3. the other one has no upstream left and ends.
#[test]
fn sealed_claim_alone_is_no_evidence() {
    let mut evidence = KeyEvidence::default();
    evidence.note_held(true);
    evidence.note_sealed();
    assert!(!evidence.is_not_run());
}

/// Guards against the same order when the request's own claim was refused: another send may follow and replace it.
#[test]
fn own_claim_that_was_refused_is_no_evidence() {
    let mut evidence = KeyEvidence::default();
    evidence.note_claimed();
    evidence.note_sealed();
    assert!(!evidence.is_not_run());
}

/// Guards against 'unknown' where the log shows that nothing replaced the claim.
#[test]
fn claim_that_is_still_current_is_evidence() {
    let mut evidence = KeyEvidence::default();
    evidence.note_held(true);
    evidence.note_sealed();
    evidence.note_current(true);
    assert!(evidence.is_not_run());
    evidence.note_sealed();
    evidence.note_current(false);
    assert!(!evidence.is_not_run());
}

/// Guards against an outage of the log that wipes out a doubt.
#[test]
fn doubt_outlasts_an_outage() {
    let mut evidence = KeyEvidence::default();
    evidence.note_unavailable(true);
    assert!(evidence.is_not_run());
    evidence.note_sealed();
    evidence.note_unavailable(true);
    assert!(!evidence.is_not_run());
}
