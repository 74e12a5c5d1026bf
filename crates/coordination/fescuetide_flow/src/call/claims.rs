//! What a request knows of the claims on its key.

use fescuetide_base::ProcessIncarnation;
use fescuetide_base::VmName;
use fescuetide_claims::ClaimEntry;
use fescuetide_claims::KeyEvidence;
use fescuetide_limits::AdmitRule;
use fescuetide_members::VmEntry;

use super::AskOrder;
use super::DeclineReason;
use crate::RunEvidence;

/// A candidate with the incarnation that answered there.
#[derive(Clone, Debug)]
pub(crate) struct KeyCandidate {
    pub(crate) vm: VmEntry,
    pub(crate) rule: AdmitRule,
    pub(crate) incarnation: ProcessIncarnation,
}

/// Where a request with a key is between two attempts.
#[derive(Clone, Debug)]
pub(crate) enum KeyState {
    /// The next claim is prepared.
    RoundDue,
    /// A candidate is chosen for the claim.
    CandidateDue,
    /// A connection to the candidate is opened.
    Connecting(VmEntry, AdmitRule),
    /// The claim is to be appended.
    ClaimDue(Option<KeyCandidate>),
    /// The claim is being appended.
    Claiming(Option<KeyCandidate>),
    /// The holder of the key is to be asked, which was tried so many times.
    AskDue(ClaimEntry, u32),
    /// The holder of the key is being asked.
    Asking(Box<AskOrder>, u32),
    /// The claim is the current one, and nothing was offered under it.
    OfferDue(KeyCandidate),
}

/// The claims of one request.
#[derive(Clone, Debug)]
pub(crate) struct KeyClaims {
    /// The claim of the attempt in progress.
    pub(crate) current: Option<ClaimEntry>,
    /// The claim to replace: its attempt is known never to run.
    pub(crate) replaced: Option<ClaimEntry>,
    /// A candidate that was taken from the plan and not offered the request.
    pub(crate) pending: Option<(VmEntry, AdmitRule)>,
    /// VMs where the key is sealed.
    pub(crate) sealed_on: Vec<VmName>,
    /// Why the attempt under `current` was refused, `None` when it ended without having run.
    pub(crate) refusal: Option<DeclineReason>,
    pub(crate) evidence: KeyEvidence,
    /// Whether a new run may start. Otherwise only an earlier one is looked for.
    pub(crate) may_run: bool,
    pub(crate) rounds: u32,
}

impl KeyClaims {
    pub(crate) fn new() -> Self {
        Self {
            current: None,
            replaced: None,
            pending: None,
            sealed_on: Vec::new(),
            refusal: None,
            evidence: KeyEvidence::default(),
            may_run: true,
            rounds: 0,
        }
    }

    /// Notes why the attempt in progress was refused.
    pub(crate) fn note_refusal(&mut self, reason: DeclineReason) {
        self.refusal = Some(reason);
    }

    /// The evidence that the key has not run, while no attempt is under way.
    pub(crate) fn evidence(&self) -> Option<RunEvidence> {
        RunEvidence::of_key(self.evidence)
    }

    /// Notes that nothing runs under `claim`, and whether its VM refuses the key from now on.
    pub(crate) fn replace(&mut self, claim: ClaimEntry, is_sealed: bool) {
        if is_sealed {
            self.sealed_on.push(claim.target.vm.clone());
        }
        self.replaced = Some(claim);
    }

    /// Whether `claim` is the one whose attempt is known never to run.
    pub(crate) fn is_replaced(&self, claim: &ClaimEntry) -> bool {
        self.replaced
            .as_ref()
            .is_some_and(|replaced| replaced.id == claim.id)
    }
}
