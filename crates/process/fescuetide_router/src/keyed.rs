//! The way of a request that is not repeatable: claim, dispatch, and what a claim of another request leads to.

use fescuetide_base::AttemptId;
use fescuetide_base::ClaimId;
use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_claims::ClaimEntry;
use fescuetide_claims::ClaimHolder;
use fescuetide_claims::KeyEvidence;
use fescuetide_members::VmEntry;
use fescuetide_net::FrameError;
use fescuetide_net::SideLink;
use fescuetide_wire::api::CallOutcome;
use fescuetide_wire::claim::ClaimReply;
use fescuetide_wire::claim::ClaimWire;
use fescuetide_wire::frame::AdmissionRule;
use fescuetide_wire::frame::AttemptTag;
use fescuetide_wire::frame::DispatchFrame;
use fescuetide_wire::frame::RefusalReason;
use fescuetide_wire::frame::RouterFrame;
use fescuetide_wire::frame::SealState;
use fescuetide_wire::frame::SideFrame;
use fescuetide_wire::frame::WorkKey;

use crate::RouterShared;
use crate::attempt::LiveAttempt;
use crate::call::CallSpec;
use crate::plan::CandidatePlan;

/// Most claims that one request makes.
const ROUND_LIMIT: u32 = 8;

/// How often a side process is asked about a key.
const SEAL_TRY_LIMIT: u32 = 2;

/// How long a dispatch may take to arrive after its claim was read back.
const DISPATCH_WAIT_MS: u64 = 500;

/// When a caller should come back if nobody said so.
const RETRY_AFTER_MS: u64 = 1_000;

/// What a request does next.
pub(crate) enum KeyedStep {
    /// An attempt of its own was dispatched.
    Dispatched(LiveAttempt),
    /// The attempt of an earlier request with the same key is read.
    Joined(LiveAttempt),
    /// The request has ended.
    Ended {
        outcome: CallOutcome,
        reason: String,
        retry_after: Option<SpanMillis>,
    },
}

/// What the side process named by a claim says about the key.
enum KeyFate {
    Joined(Box<LiveAttempt>),
    NeverSeen,
    Unknown(String),
}

/// A candidate with a connection to it.
struct OpenCandidate {
    vm: VmEntry,
    rule: AdmissionRule,
    link: SideLink,
}

/// The claims of one request.
pub(crate) struct KeyedCall {
    key: WorkKey,
    content: u64,
    /// The claim of the attempt in progress.
    current: Option<ClaimEntry>,
    /// The claim to replace: its attempt is known never to run.
    replaced: Option<ClaimEntry>,
    /// A candidate that was taken from the plan but not dispatched to.
    pending: Option<(VmEntry, AdmissionRule)>,
    /// VMs where the key is sealed.
    sealed_on: Vec<VmName>,
    /// Why the attempt under `current` was refused, `None` when it ended without having run.
    refusal: Option<RefusalReason>,
    evidence: KeyEvidence,
    /// Whether a new run may start. Otherwise only an earlier one is looked for.
    may_run: bool,
    rounds: u32,
}

impl KeyedCall {
    pub(crate) fn new(spec: &CallSpec) -> Option<Self> {
        Some(Self {
            key: spec.work_key()?,
            content: spec.content_hash(),
            current: None,
            replaced: None,
            pending: None,
            sealed_on: Vec::new(),
            refusal: None,
            evidence: KeyEvidence::default(),
            may_run: true,
            rounds: 0,
        })
    }

    /// Sets whether a new run may start.
    pub(crate) fn set_may_run(&mut self, may_run: bool) {
        self.may_run = may_run;
    }

    /// Notes why the attempt in progress was refused.
    pub(crate) fn note_refusal(&mut self, reason: RefusalReason) {
        self.refusal = Some(reason);
    }

    /// How the request ends when it is given up while no attempt is in progress.
    pub(crate) fn outcome_without_run(&self) -> CallOutcome {
        if !self.evidence.is_not_run() || self.refusal.is_some_and(may_have_run) {
            CallOutcome::Unknown
        } else {
            CallOutcome::NotRun
        }
    }

    /// Claims the key for the next candidate and dispatches, or joins the attempt of an earlier request. To be called
    /// again when the attempt ended without having run.
    pub(crate) fn start(
        &mut self,
        shared: &RouterShared,
        spec: &CallSpec,
        plan: &mut CandidatePlan,
        make_dispatch: impl Fn(AttemptTag, AdmissionRule) -> DispatchFrame,
    ) -> KeyedStep {
        if let Some(claim) = self.current.take() {
            match self.refusal.take() {
                Some(reason) if may_have_run(reason) => {
                    if let Some(step) = self.follow(shared, spec, claim) {
                        return step;
                    }
                }
                // The key is known there, so it would be refused again.
                Some(RefusalReason::Sealed) | None => self.replace(claim, true),
                Some(_) => self.replace(claim, false),
            }
        }
        let due = (spec.received + spec.targets.lateness.within).min(spec.deadline);
        while self.rounds < ROUND_LIMIT {
            self.rounds += 1;
            let candidate = self.next_candidate(shared, plan);
            let claim = self.make_claim(shared, candidate.as_ref());
            let reply = shared.claims.claim(shared, &claim, due);
            match (reply, candidate) {
                (ClaimReply::Claimed, Some(candidate)) => {
                    self.evidence.note_claimed();
                    return self.dispatch(spec, claim, candidate, &make_dispatch);
                }
                (ClaimReply::Held { claim, caught_up }, None) if self.is_replaced(&claim) => {
                    self.evidence.note_current(caught_up);
                    return self.give_up("no other upstream is available".to_owned(), None);
                }
                (ClaimReply::Held { claim, caught_up }, candidate) => {
                    self.pending = candidate.map(|candidate| (candidate.vm, candidate.rule));
                    self.evidence.note_held(caught_up);
                    if let Some(step) = self.follow(shared, spec, ClaimEntry::from(*claim)) {
                        return step;
                    }
                }
                (ClaimReply::Free, None) => {
                    return self.give_up("no upstream is available".to_owned(), None);
                }
                (
                    ClaimReply::Unavailable {
                        retry_after,
                        is_free,
                    },
                    _,
                ) => {
                    self.evidence.note_unavailable(is_free);
                    let reason = "claim log cannot be used in time".to_owned();
                    return self.give_up(reason, Some(retry_after));
                }
                (ClaimReply::Unknown | ClaimReply::Free | ClaimReply::Claimed, _) => {
                    let reason = "idempotency key is too old to tell whether it ran".to_owned();
                    return ended(CallOutcome::Unknown, reason, None);
                }
            }
        }
        self.give_up("too many upstreams refused".to_owned(), None)
    }

    fn give_up(&self, reason: String, retry_after: Option<SpanMillis>) -> KeyedStep {
        let retry_after = retry_after.unwrap_or(SpanMillis::new(RETRY_AFTER_MS));
        ended(self.outcome_without_run(), reason, Some(retry_after))
    }

    /// The next candidate that can be reached. Connections are new: an idle one may lead to an incarnation that is gone.
    fn next_candidate(
        &mut self,
        shared: &RouterShared,
        plan: &mut CandidatePlan,
    ) -> Option<OpenCandidate> {
        if !self.may_run {
            return None;
        }
        loop {
            let (vm, rule) = match self.pending.take() {
                Some(pending) => pending,
                None => plan.next_candidate()?,
            };
            if self.sealed_on.contains(&vm.name) {
                continue;
            }
            match shared.links.connect(&vm.name, vm.data) {
                Ok(link) => return Some(OpenCandidate { vm, rule, link }),
                Err(error) => {
                    shared.metrics.count("connect.failed");
                    tracing::debug!(vm = %vm.name, %error, "VM cannot be reached");
                    let now = ClockMillis::now();
                    shared.lock_breaker().note_failure(&vm.name, now);
                    plan.note_gone(&vm.name);
                }
            }
        }
    }

    /// The claim for a candidate. Without one it is made to be refused, which only asks who holds the key.
    fn make_claim(&self, shared: &RouterShared, candidate: Option<&OpenCandidate>) -> ClaimEntry {
        let router = ClaimHolder {
            vm: shared.settings.vm.clone(),
            incarnation: shared.incarnation,
        };
        let target = candidate.map(|candidate| ClaimHolder {
            vm: candidate.vm.name.clone(),
            incarnation: candidate.link.incarnation,
        });
        let supersedes = match candidate {
            Some(_) => self.replaced.as_ref().map(|claim| claim.id),
            None => Some(ClaimId::generate()),
        };
        ClaimEntry {
            id: ClaimId::generate(),
            key: self.key.clone().into(),
            target: target.unwrap_or_else(|| router.clone()),
            router,
            content: self.content,
            supersedes,
        }
    }

    fn dispatch(
        &mut self,
        spec: &CallSpec,
        claim: ClaimEntry,
        candidate: OpenCandidate,
        make_dispatch: impl Fn(AttemptTag, AdmissionRule) -> DispatchFrame,
    ) -> KeyedStep {
        let tag = new_tag(spec);
        let frame = make_dispatch(tag, candidate.rule);
        self.current = Some(claim);
        KeyedStep::Dispatched(LiveAttempt::start_on(&candidate.vm, candidate.link, frame))
    }

    /// Asks the side process that `claim` names. Returns `None` when the key never ran there and is sealed now.
    fn follow(
        &mut self,
        shared: &RouterShared,
        spec: &CallSpec,
        claim: ClaimEntry,
    ) -> Option<KeyedStep> {
        if claim.content != self.content {
            let reason = "idempotency key belongs to another request".to_owned();
            return Some(ended(CallOutcome::Unknown, reason, None));
        }
        match self.ask_side(shared, spec, &claim) {
            KeyFate::Joined(attempt) => {
                self.current = Some(claim);
                Some(KeyedStep::Joined(*attempt))
            }
            KeyFate::NeverSeen => {
                self.replace(claim, true);
                None
            }
            KeyFate::Unknown(reason) => Some(ended(CallOutcome::Unknown, reason, None)),
        }
    }

    /// Notes that nothing runs under `claim`, and whether its VM refuses the key from now on.
    fn replace(&mut self, claim: ClaimEntry, is_sealed: bool) {
        if is_sealed {
            self.sealed_on.push(claim.target.vm.clone());
        }
        self.replaced = Some(claim);
        self.evidence.note_sealed();
    }

    /// Whether `claim` is the one whose attempt is known never to run.
    fn is_replaced(&self, claim: &ClaimWire) -> bool {
        self.replaced
            .as_ref()
            .is_some_and(|replaced| replaced.id == claim.id)
    }

    fn ask_side(&self, shared: &RouterShared, spec: &CallSpec, claim: &ClaimEntry) -> KeyFate {
        let name = &claim.target.vm;
        let Some(vm) = shared.view.load().vms.get(name).cloned() else {
            return KeyFate::Unknown(format!("VM {name} is gone"));
        };
        let mut reason = String::new();
        for _ in 0..SEAL_TRY_LIMIT {
            match self.send_seal(shared, spec, &vm, claim) {
                Ok(fate) => return fate,
                Err(error) => reason = format!("VM {name} cannot be asked: {error}"),
            }
        }
        KeyFate::Unknown(reason)
    }

    fn send_seal(
        &self,
        shared: &RouterShared,
        spec: &CallSpec,
        vm: &VmEntry,
        claim: &ClaimEntry,
    ) -> Result<KeyFate, FrameError> {
        let left = spec.deadline.since(ClockMillis::now());
        let mut link = shared.links.connect_within(&vm.name, vm.data, left)?;
        if link.incarnation != claim.target.incarnation {
            let reason = format!("side process on VM {} has restarted", vm.name);
            return Ok(KeyFate::Unknown(reason));
        }
        let tag = new_tag(spec);
        link.stream.send(&RouterFrame::Seal {
            tag,
            key: Some(self.key.clone()),
            wait: dispatch_wait(spec, claim),
        })?;
        let left = spec.deadline.since(ClockMillis::now());
        if left.as_millis() == 0 {
            return Err(FrameError::Timeout);
        }
        let limit = Some(shared.settings.silence_limit().min(left));
        let SideFrame::Sealed { tag: found, state } = link.stream.receive(limit)? else {
            return Err(FrameError::Protocol(
                "expected the answer to a seal".to_owned(),
            ));
        };
        if found != tag {
            return Err(FrameError::Protocol(format!(
                "seal of {found}, expected {tag}"
            )));
        }
        Ok(match state {
            SealState::Present(tag) => KeyFate::Joined(Box::new(LiveAttempt::join(vm, link, tag))),
            SealState::Sealed => KeyFate::NeverSeen,
            SealState::Expired => {
                let reason = "side process no longer has the response".to_owned();
                KeyFate::Unknown(reason)
            }
        })
    }
}

/// Whether the key may have run at the side process that refused it.
fn may_have_run(reason: RefusalReason) -> bool {
    matches!(reason, RefusalReason::KeySeen | RefusalReason::KeyExpired)
}

/// How long the router that made `claim` may need to dispatch. Without this wait, two requests that arrive together seal
/// each other's targets.
fn dispatch_wait(spec: &CallSpec, claim: &ClaimEntry) -> SpanMillis {
    let age = ClockMillis::now().since(claim.id.created_at());
    if age > spec.targets.lateness.within {
        // Its router has given up.
        return SpanMillis::default();
    }
    SpanMillis::new(DISPATCH_WAIT_MS)
}

fn new_tag(spec: &CallSpec) -> AttemptTag {
    AttemptTag {
        request: spec.request,
        attempt: AttemptId::generate(),
    }
}

fn ended(outcome: CallOutcome, reason: String, retry_after: Option<SpanMillis>) -> KeyedStep {
    KeyedStep::Ended {
        outcome,
        reason,
        retry_after,
    }
}
