//! Iteration over the candidate upstreams of a request.

use std::fmt;

use fescuetide_base::ClockMillis;
use fescuetide_base::LoadCount;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_limits::AdmitRule;
use fescuetide_limits::CandidateSelector;
use fescuetide_members::VmEntry;

use super::CallMetadata;
use super::CallTables;
use super::CallView;
use super::OfferCondition;
use super::probes::ChatProbes;

/// Why a side process declined a request. The declined attempt did not run there, but an earlier one with the same key
/// may have (see [`KeySeen`](Self::KeySeen) and [`KeyExpired`](Self::KeyExpired)).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeclineReason {
    /// The upstream already has the maximum load that the offer's admission rule allows.
    OverBound,
    /// The engine did not run an earlier turn of the chat.
    NotHeld,
    /// The load is not below the mean.
    AboveMean,
    /// The queue is too long for the class's latency target.
    TooLate,
    /// The VM is leaving.
    Leaving,
    /// The side process has sealed the attempt or its key for a router that queried it, and never runs it. See
    /// [`KeyQuery`](super::KeyQuery).
    Sealed,
    /// The offer was addressed to another incarnation of the side process.
    OtherIncarnation,
    /// The side process has seen the key before, so the request may have run under an earlier attempt.
    KeySeen,
    /// Another request suspected of crashing upstreams is running there.
    Suspect,
    /// The upstream does not respond.
    UpstreamDown,
    /// The key is older than the retention of the side process, so it is unknown whether the request ran.
    KeyExpired,
}

impl DeclineReason {
    /// Whether the request may already have run at the side process under its key.
    pub(crate) fn may_have_run(self) -> bool {
        matches!(self, Self::KeySeen | Self::KeyExpired)
    }

    /// Whether a conditional offer that was declined for this reason met its condition. The side process checks the
    /// condition before these reasons.
    fn implies_condition_met(self) -> bool {
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

/// The reply of a side process that declines a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeclineReply {
    /// The reason.
    pub reason: DeclineReason,
    /// The load of the upstream.
    pub load: LoadCount,
    /// How long to wait before the upstream may have capacity.
    pub retry_after: SpanMillis,
}

/// The order in which a request is offered to upstreams.
#[derive(Clone, Debug)]
pub(crate) struct CandidatePlan {
    vms: Vec<VmEntry>,
    selector: CandidateSelector,
    initial_rule: AdmitRule,
    probes: ChatProbes,
    /// The engine that ran an earlier turn of the chat but declined this one.
    holder: Option<VmEntry>,
    /// The shortest retry delay that a candidate suggested.
    retry_after: Option<SpanMillis>,
    blocked_by_suspect: bool,
}

impl CandidatePlan {
    /// Ranks the upstreams. Those excluded by the circuit breaker and those in `lost_on` come last.
    pub(crate) fn new(
        metadata: &CallMetadata,
        tables: &mut CallTables,
        view: &CallView<'_>,
        lost_on: &[VmName],
        now: ClockMillis,
    ) -> Self {
        let (vms, allowed) = tables.rank(metadata, view, lost_on, now);
        let settings = &tables.settings;
        let may_probe = lost_on.is_empty() && metadata.key.is_none();
        let probes = if may_probe && settings.policy.probes_holders() {
            ChatProbes::new(metadata, settings, view, allowed, now)
        } else {
            ChatProbes::none()
        };
        Self {
            selector: CandidateSelector::new(settings.load_bound, vms.len()),
            initial_rule: settings.policy.initial_rule(),
            probes,
            holder: None,
            vms,
            retry_after: None,
            blocked_by_suspect: false,
        }
    }

    /// The next candidate and its admission rule.
    pub(crate) fn next_candidate(&mut self) -> Option<(VmEntry, AdmitRule)> {
        if let Some(index) = self.probes.next_index() {
            return Some((self.vms[index].clone(), self.probes.rule()));
        }
        let (index, rule) = self.selector.next_candidate()?;
        let rule = match rule {
            AdmitRule::OwnCap => self.initial_rule,
            AdmitRule::AtMost(_) => rule,
        };
        Some((self.vms[index].clone(), rule))
    }

    /// The condition of the offer to the current candidate.
    pub(crate) fn condition(&self) -> OfferCondition {
        self.probes.condition()
    }

    /// How long to wait before the offer to the current candidate.
    pub(crate) fn wait(&self) -> SpanMillis {
        self.probes.wait()
    }

    /// Records that a candidate declined.
    pub(crate) fn note_declined(&mut self, vm: &VmEntry, reply: DeclineReply, now: ClockMillis) {
        if self.condition() == OfferCondition::Held && reply.reason.implies_condition_met() {
            self.holder = Some(vm.clone());
        }
        self.probes.note_declined(reply.reason, now);
        // A candidate that did not meet the condition remains available for an unconditional offer.
        if matches!(
            reply.reason,
            DeclineReason::NotHeld | DeclineReason::AboveMean
        ) {
            return;
        }
        let Some(index) = self.index_of(&vm.name) else {
            return;
        };
        if reply.reason == DeclineReason::TooLate {
            self.note_retry_after(reply.retry_after);
        }
        self.blocked_by_suspect |= reply.reason == DeclineReason::Suspect;
        match reply.reason {
            DeclineReason::OverBound => self.selector.note_over_bound(index, reply.load),
            DeclineReason::TooLate | DeclineReason::Suspect => {
                self.selector.note_excluded(index, reply.load);
            }
            DeclineReason::Leaving
            | DeclineReason::Sealed
            | DeclineReason::OtherIncarnation
            | DeclineReason::KeySeen
            | DeclineReason::KeyExpired
            | DeclineReason::NotHeld
            | DeclineReason::AboveMean
            | DeclineReason::UpstreamDown => self.selector.note_gone(index),
        }
    }

    /// The VM from which `vm` can fetch the chat's prefix.
    pub(crate) fn prefix_source(&self, vm: &VmName) -> Option<VmEntry> {
        let holder = self.holder.as_ref()?;
        (holder.name != *vm).then(|| holder.clone())
    }

    /// Records that a candidate cannot run the request, so that it is not offered the request again.
    pub(crate) fn note_unusable(&mut self, vm: &VmName) {
        if let Some(index) = self.index_of(vm) {
            self.selector.note_gone(index);
        }
    }

    /// Records that a candidate admitted the request and later shed it.
    pub(crate) fn note_shed(&mut self, vm: &VmName, retry_after: SpanMillis) {
        self.note_retry_after(retry_after);
        self.note_unusable(vm);
    }

    /// Records that the request is refused because it crashes upstreams, for the remaining time `left`.
    pub(crate) fn note_refused_for(&mut self, left: SpanMillis) {
        self.retry_after = Some(left);
    }

    /// Whether a candidate declined because another suspect was running there.
    pub(crate) fn is_blocked_by_suspect(&self) -> bool {
        self.blocked_by_suspect
    }

    /// How long the caller should wait before retrying: the shortest delay that a candidate suggested, or `default`.
    pub(crate) fn retry_after(&self, default: SpanMillis) -> SpanMillis {
        self.retry_after.unwrap_or(default)
    }

    fn note_retry_after(&mut self, span: SpanMillis) {
        let shortest = self.retry_after.unwrap_or(span);
        self.retry_after = Some(shortest.min(span));
    }

    fn index_of(&self, vm: &VmName) -> Option<usize> {
        self.vms.iter().position(|entry| entry.name == *vm)
    }
}
