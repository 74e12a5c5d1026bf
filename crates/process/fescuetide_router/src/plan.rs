//! The walk over candidate upstreams.

use fescuetide_base::ClockMillis;
use fescuetide_base::LoadCount;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_limits::AdmitRule;
use fescuetide_limits::CandidateWalk;
use fescuetide_limits::LoadBound;
use fescuetide_members::VmEntry;
use fescuetide_routing::RankKey;
use fescuetide_wire::frame::AdmissionRule;
use fescuetide_wire::frame::AdmitCondition;
use fescuetide_wire::frame::PrefixSource;
use fescuetide_wire::frame::RefusalReason;

use crate::RouterShared;
use crate::call::CallSpec;
use crate::probes::ChatProbes;

/// A candidate that refused.
#[derive(Clone, Debug)]
pub(crate) struct RefusalNote {
    pub(crate) vm: VmEntry,
    pub(crate) reason: RefusalReason,
    pub(crate) load: LoadCount,
    pub(crate) retry_after: SpanMillis,
}

/// The order in which upstreams are asked to run a request.
#[derive(Debug)]
pub(crate) struct CandidatePlan {
    vms: Vec<VmEntry>,
    walk: CandidateWalk,
    first_rule: AdmissionRule,
    probes: ChatProbes,
    /// The candidate that ran the chat's turn before and had no room for this one.
    holder: Option<VmEntry>,
    /// The shortest time that a candidate asked to wait.
    retry_after: Option<SpanMillis>,
    held_by_suspect: bool,
}

impl CandidatePlan {
    /// Ranks the upstreams for `spec`; those held back by the breaker and those in `lost_on` come last.
    pub(crate) fn new(shared: &RouterShared, spec: &CallSpec, lost_on: &[VmEntry]) -> Self {
        let (vms, allowed) = rank_candidates(shared, spec, lost_on);
        let may_ask = lost_on.is_empty() && spec.key.is_none();
        let probes = if may_ask && shared.settings.policy.asks_holders() {
            ChatProbes::new(shared, spec, allowed)
        } else {
            ChatProbes::none()
        };
        let bound = LoadBound {
            multiple: shared.settings.load_multiple,
        };
        Self {
            walk: CandidateWalk::new(bound, vms.len()),
            first_rule: shared.settings.policy.first_rule(),
            probes,
            holder: None,
            vms,
            retry_after: None,
            held_by_suspect: false,
        }
    }

    /// The next candidate and the rule to ask it by.
    pub(crate) fn next_candidate(&mut self) -> Option<(VmEntry, AdmissionRule)> {
        if let Some(place) = self.probes.next_place() {
            return Some((self.vms[place].clone(), self.probes.rule()));
        }
        let (place, rule) = self.walk.next_candidate()?;
        let rule = match rule {
            AdmitRule::OwnCap => self.first_rule,
            AdmitRule::AtMost(_) => rule.into(),
        };
        Some((self.vms[place].clone(), rule))
    }

    /// The condition on which the candidate just given is asked.
    pub(crate) fn condition(&self) -> AdmitCondition {
        self.probes.condition()
    }

    /// How long to wait before the candidate just given is asked.
    pub(crate) fn wait(&self) -> SpanMillis {
        self.probes.wait()
    }

    /// Notes that a candidate refused.
    pub(crate) fn note_refusal(&mut self, note: RefusalNote) {
        if self.condition() == AdmitCondition::Held && is_full(note.reason) {
            self.holder = Some(note.vm.clone());
        }
        self.probes.note_refusal(note.reason);
        // A candidate whose condition was not met is asked again without it.
        if matches!(
            note.reason,
            RefusalReason::NotHeld | RefusalReason::AboveMean
        ) {
            return;
        }
        let Some(place) = self.place_of(&note.vm.name) else {
            return;
        };
        if note.reason == RefusalReason::TooLate {
            self.note_wait(note.retry_after);
        }
        self.held_by_suspect |= note.reason == RefusalReason::Suspect;
        match note.reason {
            RefusalReason::OverBound => self.walk.note_over_bound(place, note.load),
            RefusalReason::TooLate | RefusalReason::Suspect => {
                self.walk.note_barred(place, note.load);
            }
            RefusalReason::Leaving
            | RefusalReason::Sealed
            | RefusalReason::OtherIncarnation
            | RefusalReason::KeySeen
            | RefusalReason::KeyExpired
            | RefusalReason::NotHeld
            | RefusalReason::AboveMean
            | RefusalReason::UpstreamDown => self.walk.note_gone(place),
        }
    }

    /// Where `vm` can fetch the chat's prefix from.
    pub(crate) fn prefix_source(&self, vm: &VmEntry) -> Option<PrefixSource> {
        let holder = self.holder.as_ref()?;
        if holder.name == vm.name {
            return None;
        }
        Some(PrefixSource {
            vm: holder.name.clone(),
            data: holder.data,
        })
    }

    /// Notes that a candidate cannot be used.
    pub(crate) fn note_gone(&mut self, vm: &VmName) {
        if let Some(place) = self.place_of(vm) {
            self.walk.note_gone(place);
        }
    }

    /// Notes that a candidate took the request in and gave it up for other work.
    pub(crate) fn note_shed(&mut self, vm: &VmName, retry_after: SpanMillis) {
        self.note_wait(retry_after);
        self.note_gone(vm);
    }

    /// Notes that the request itself is refused for `left`.
    pub(crate) fn note_crasher(&mut self, left: SpanMillis) {
        self.retry_after = Some(left);
    }

    /// Whether a candidate refused because another suspect runs there.
    pub(crate) fn is_held_by_suspect(&self) -> bool {
        self.held_by_suspect
    }

    fn note_wait(&mut self, span: SpanMillis) {
        let shortest = self.retry_after.unwrap_or(span);
        self.retry_after = Some(shortest.min(span));
    }

    fn place_of(&self, vm: &VmName) -> Option<usize> {
        self.vms.iter().position(|entry| entry.name == *vm)
    }

    /// When a caller should come back: when the first candidate could meet the lateness target, else after `default`.
    pub(crate) fn retry_after(&self, default: SpanMillis) -> SpanMillis {
        self.retry_after.unwrap_or(default)
    }
}

/// Whether a candidate that holds a chat refused only because it has no room. The condition is checked first.
fn is_full(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::OverBound
            | RefusalReason::TooLate
            | RefusalReason::Suspect
            | RefusalReason::Leaving
    )
}

/// Ranks the upstreams for `spec`; those held back by the breaker and those in `lost_on` come last. Also returns the
/// number of the others.
fn rank_candidates(
    shared: &RouterShared,
    spec: &CallSpec,
    lost_on: &[VmEntry],
) -> (Vec<VmEntry>, usize) {
    let view = shared.view.load();
    let Some(route) = view.routes.get(&spec.pool) else {
        return (Vec::new(), 0);
    };
    let key = RankKey {
        workspace: &spec.workspace,
        model: spec.model(),
        chat: spec.chat.as_ref(),
    };
    let now = ClockMillis::now();
    let shard = shared
        .lock_demand()
        .note_request(&spec.pool, &key, route.len(), now);
    let breaker = shared.lock_breaker();
    let mut vms = Vec::new();
    let mut held = Vec::new();
    let policy = shared.settings.policy;
    for vm in shared.policy.order(policy, route, &key, shard) {
        let lost = lost_on.iter().any(|entry| entry.name == vm.name);
        if lost || !breaker.allows(&vm.name, now) {
            held.push(vm.clone());
            continue;
        }
        vms.push(vm.clone());
    }
    let allowed = vms.len();
    vms.extend(held);
    (vms, allowed)
}
