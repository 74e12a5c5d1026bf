//! The walk over candidate upstreams.

use std::fmt;

use fescuetide_base::ClockMillis;
use fescuetide_base::LoadCount;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_limits::AdmitRule;
use fescuetide_limits::CandidateSelector;
use fescuetide_members::VmEntry;

use super::CallFacts;
use super::CallTables;
use super::CallView;
use super::OfferCondition;
use super::probes::ChatProbes;

/// Why a side process refused a request, which did not run there then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeclineReason {
    /// The load bound would be exceeded.
    OverBound,
    /// The engine did not run the chat's turn before.
    NotHeld,
    /// The load is not below the mean.
    AboveMean,
    /// The queue is too long for the class's lateness target.
    TooLate,
    /// The VM is leaving.
    Leaving,
    /// The attempt or key was sealed.
    Sealed,
    /// The offer was meant for another incarnation.
    OtherIncarnation,
    /// The key was seen before. The request may have run.
    KeySeen,
    /// Another request that is suspected of crashing upstreams runs there.
    Suspect,
    /// The upstream does not answer.
    UpstreamDown,
    /// The key is too old for the side process to tell whether it ran.
    KeyExpired,
}

impl DeclineReason {
    /// Whether the request may have run at the side process under its key.
    pub(crate) fn may_have_run(self) -> bool {
        matches!(self, Self::KeySeen | Self::KeyExpired)
    }

    /// Whether an engine that holds the chat has no room. The condition of an offer is checked first.
    fn is_full(self) -> bool {
        matches!(
            self,
            Self::OverBound | Self::TooLate | Self::Suspect | Self::Leaving
        )
    }
}

impl fmt::Display for DeclineReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OverBound => "over the load bound",
            Self::NotHeld => "engine did not run the chat's turn before",
            Self::AboveMean => "load is not below the mean",
            Self::TooLate => "queue too long for the lateness target",
            Self::Leaving => "VM is leaving",
            Self::Sealed => "attempt is sealed",
            Self::OtherIncarnation => "side process has restarted",
            Self::KeySeen => "idempotency key was seen before",
            Self::Suspect => "request is suspected of crashing upstreams",
            Self::UpstreamDown => "upstream does not answer",
            Self::KeyExpired => "idempotency key is too old",
        })
    }
}

/// The refusal of a side process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeclineNote {
    /// Why.
    pub reason: DeclineReason,
    /// The load of its upstream.
    pub load: LoadCount,
    /// When it may have room.
    pub retry_after: SpanMillis,
}

/// The order in which upstreams are asked to run a request.
#[derive(Clone, Debug)]
pub(crate) struct CandidatePlan {
    vms: Vec<VmEntry>,
    walk: CandidateSelector,
    first_rule: AdmitRule,
    probes: ChatProbes,
    /// The candidate that ran the chat's turn before and had no room for this one.
    holder: Option<VmEntry>,
    /// The shortest time that a candidate asked to wait.
    retry_after: Option<SpanMillis>,
    held_by_suspect: bool,
}

impl CandidatePlan {
    /// Ranks the upstreams; those held back by the breaker and those in `lost_on` come last.
    pub(crate) fn new(
        facts: &CallFacts,
        tables: &mut CallTables,
        view: &CallView<'_>,
        lost_on: &[VmName],
        now: ClockMillis,
    ) -> Self {
        let (vms, allowed) = tables.rank(facts, view, lost_on, now);
        let settings = &tables.settings;
        let may_ask = lost_on.is_empty() && facts.key.is_none();
        let probes = if may_ask && settings.policy.asks_holders() {
            ChatProbes::new(facts, settings, view, allowed, now)
        } else {
            ChatProbes::none()
        };
        Self {
            walk: CandidateSelector::new(settings.load_bound, vms.len()),
            first_rule: settings.policy.first_rule(),
            probes,
            holder: None,
            vms,
            retry_after: None,
            held_by_suspect: false,
        }
    }

    /// The next candidate and the rule to ask it by.
    pub(crate) fn next_candidate(&mut self) -> Option<(VmEntry, AdmitRule)> {
        if let Some(place) = self.probes.next_place() {
            return Some((self.vms[place].clone(), self.probes.rule()));
        }
        let (place, rule) = self.walk.next_candidate()?;
        let rule = match rule {
            AdmitRule::OwnCap => self.first_rule,
            AdmitRule::AtMost(_) => rule,
        };
        Some((self.vms[place].clone(), rule))
    }

    /// The condition on which the candidate just given is asked.
    pub(crate) fn condition(&self) -> OfferCondition {
        self.probes.condition()
    }

    /// How long to wait before the candidate just given is asked.
    pub(crate) fn wait(&self) -> SpanMillis {
        self.probes.wait()
    }

    /// Notes that a candidate refused.
    pub(crate) fn note_refusal(&mut self, vm: &VmEntry, note: DeclineNote, now: ClockMillis) {
        if self.condition() == OfferCondition::Held && note.reason.is_full() {
            self.holder = Some(vm.clone());
        }
        self.probes.note_refusal(note.reason, now);
        // A candidate whose condition was not met is asked again without it.
        if matches!(
            note.reason,
            DeclineReason::NotHeld | DeclineReason::AboveMean
        ) {
            return;
        }
        let Some(place) = self.place_of(&vm.name) else {
            return;
        };
        if note.reason == DeclineReason::TooLate {
            self.note_wait(note.retry_after);
        }
        self.held_by_suspect |= note.reason == DeclineReason::Suspect;
        match note.reason {
            DeclineReason::OverBound => self.walk.note_over_bound(place, note.load),
            DeclineReason::TooLate | DeclineReason::Suspect => {
                self.walk.note_excluded(place, note.load);
            }
            DeclineReason::Leaving
            | DeclineReason::Sealed
            | DeclineReason::OtherIncarnation
            | DeclineReason::KeySeen
            | DeclineReason::KeyExpired
            | DeclineReason::NotHeld
            | DeclineReason::AboveMean
            | DeclineReason::UpstreamDown => self.walk.note_gone(place),
        }
    }

    /// Where `vm` can fetch the chat's prefix from.
    pub(crate) fn prefix_source(&self, vm: &VmName) -> Option<VmEntry> {
        let holder = self.holder.as_ref()?;
        (holder.name != *vm).then(|| holder.clone())
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

    /// When a caller should come back: when the first candidate could meet the lateness target, else after `default`.
    pub(crate) fn retry_after(&self, default: SpanMillis) -> SpanMillis {
        self.retry_after.unwrap_or(default)
    }

    fn note_wait(&mut self, span: SpanMillis) {
        let shortest = self.retry_after.unwrap_or(span);
        self.retry_after = Some(shortest.min(span));
    }

    fn place_of(&self, vm: &VmName) -> Option<usize> {
        self.vms.iter().position(|entry| entry.name == *vm)
    }
}
