//! The claims on the key of an at-most-once request.

use fescuetide_base::ProcessIncarnation;
use fescuetide_base::VmName;
use fescuetide_claims::ClaimEntry;
use fescuetide_claims::KeyEvidence;
use fescuetide_limits::AdmitRule;
use fescuetide_members::VmEntry;

use super::DeclineReason;
use super::KeyQuery;
use crate::NotRunEvidence;

/// A candidate with the incarnation that accepted the connection.
#[derive(Clone, Debug)]
pub(crate) struct KeyCandidate {
    pub(crate) vm: VmEntry,
    pub(crate) rule: AdmitRule,
    pub(crate) incarnation: ProcessIncarnation,
}

/// The state of a request with an idempotency key while it has no attempt in progress.
#[derive(Clone, Debug)]
pub(crate) enum KeyState {
    /// The next round starts. A round consists of one claim and the offer or query that follows it.
    RoundDue,
    /// A candidate must be chosen for the claim.
    CandidateDue,
    /// The connection to the candidate is being opened.
    Connecting(VmEntry, AdmitRule),
    /// The claim must be appended or, without a candidate, the current claim looked up.
    ClaimDue(Option<KeyCandidate>),
    /// The claim is being appended or, without a candidate, the current claim looked up.
    Claiming(Option<KeyCandidate>),
    /// The side process that the claim names must be queried, after this number of failed queries.
    QueryDue(ClaimEntry, u32),
    /// The side process that the claim names is being queried, after this number of failed queries.
    Querying(Box<KeyQuery>, u32),
    /// The claim is the current one, and the request has not been offered under it yet.
    OfferDue(KeyCandidate),
}

/// The claims of one request.
#[derive(Clone, Debug)]
pub(crate) struct KeyClaims {
    /// The claim of the attempt in progress.
    pub(crate) current: Option<ClaimEntry>,
    /// The claim to supersede. Its attempt is known never to run.
    pub(crate) to_supersede: Option<ClaimEntry>,
    /// A candidate that was taken from the plan but has not been offered the request.
    pub(crate) pending: Option<(VmEntry, AdmitRule)>,
    /// VMs whose side processes would decline the key again, because they have sealed it or have an attempt with it.
    pub(crate) excluded_vms: Vec<VmName>,
    /// Why the side process declined the attempt under `current`, or `None` if it admitted the attempt and then did not
    /// run it.
    pub(crate) decline_reason: Option<DeclineReason>,
    pub(crate) evidence: KeyEvidence,
    /// Whether a new run may be started. False if the request is refused because it crashes upstreams: it then only
    /// looks for an earlier run under its key.
    pub(crate) allows_run: bool,
    /// Number of rounds so far.
    pub(crate) rounds: u32,
}

impl KeyClaims {
    pub(crate) fn new() -> Self {
        Self {
            current: None,
            to_supersede: None,
            pending: None,
            excluded_vms: Vec::new(),
            decline_reason: None,
            evidence: KeyEvidence::default(),
            allows_run: true,
            rounds: 0,
        }
    }

    /// Records why the attempt in progress was declined.
    pub(crate) fn note_declined(&mut self, reason: DeclineReason) {
        self.decline_reason = Some(reason);
    }

    /// Evidence that the request has not run under its key. Only valid while no attempt is in progress.
    pub(crate) fn evidence(&self) -> Option<NotRunEvidence> {
        NotRunEvidence::of_key(self.evidence)
    }

    /// Records that nothing will run under `claim`, and whether its VM would decline the key again.
    pub(crate) fn note_never_runs(&mut self, claim: ClaimEntry, excludes_vm: bool) {
        if excludes_vm {
            self.excluded_vms.push(claim.target.vm.clone());
        }
        self.to_supersede = Some(claim);
    }

    /// Whether `claim` is the claim to supersede.
    pub(crate) fn is_claim_to_supersede(&self, claim: &ClaimEntry) -> bool {
        self.to_supersede
            .as_ref()
            .is_some_and(|known| known.id == claim.id)
    }
}
