//! The walk over candidate upstreams.

use fescuetide_base::ClockMillis;
use fescuetide_base::LoadCount;
use fescuetide_base::SpanMillis;
use fescuetide_members::VmEntry;
use fescuetide_routing::RankKey;
use fescuetide_routing::ShardSize;
use fescuetide_wire::frame::AdmissionRule;
use fescuetide_wire::frame::AdmitCondition;
use fescuetide_wire::frame::RefusalReason;

use crate::RouterShared;
use crate::call::CallSpec;

/// How many candidates are asked whether they ran the chat's turn before, and then whether their load is below the
/// mean. A chat that was displaced by the load bound is found again there without any state at the router.
const PROBE_COUNT: usize = 6;

/// How often a holder that refused because of its cap is asked again.
const HOLDER_STEP_MS: u64 = 20;

/// Share of the class's lateness target that may be spent on waiting for a holder.
const HOLDER_WAIT_SHARE: u64 = 10;

/// Messages of a chat's first turn at most: the system's and the user's.
const FIRST_TURN_MESSAGES: u32 = 2;

/// Which rule candidates are asked by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WalkStage {
    /// The first candidates are asked to admit if they ran the chat's turn before.
    Holders,
    /// The first candidates are asked to admit while their load is below the mean.
    BelowMean,
    /// Candidates are asked to admit within their own cap.
    OwnCap,
    /// All refused by their caps; the least loaded is asked once more.
    LeastLoaded,
    /// No candidate is left.
    Exhausted,
}

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
    cursor: usize,
    stage: WalkStage,
    first_rule: AdmissionRule,
    /// Candidates that are first asked on a condition.
    probe_count: usize,
    /// Until when a holder that refused because of its cap is asked again.
    patient_until: ClockMillis,
    is_waiting: bool,
    refusals: Vec<RefusalNote>,
}

impl CandidatePlan {
    /// Ranks the upstreams for `spec`; those held back by the breaker and those in `lost_on` come last.
    pub(crate) fn new(shared: &RouterShared, spec: &CallSpec, lost_on: &[VmEntry]) -> Self {
        let mut plan = Self {
            vms: Vec::new(),
            cursor: 0,
            stage: WalkStage::OwnCap,
            first_rule: shared.settings.policy.first_rule(),
            probe_count: 0,
            patient_until: ClockMillis::now() + patience(shared, spec),
            is_waiting: false,
            refusals: Vec::new(),
        };
        let view = shared.view.load();
        let Some(route) = view.routes.get(&spec.pool) else {
            return plan;
        };
        let key = RankKey {
            workspace: &spec.workspace,
            model: spec.model(),
            chat: spec.chat.as_ref(),
        };
        let shard = ShardSize::at_least(shared.settings.shard_size);
        let now = ClockMillis::now();
        let breaker = shared.lock_breaker();
        let mut held = Vec::new();
        let policy = shared.settings.policy;
        for vm in shared.policy.order(policy, route, &key, shard) {
            let lost = lost_on.iter().any(|entry| entry.name == vm.name);
            if lost || !breaker.allows(&vm.name, now) {
                held.push(vm.clone());
                continue;
            }
            plan.vms.push(vm.clone());
        }
        if lost_on.is_empty() && shared.settings.policy.asks_holders() {
            plan.probe_count = PROBE_COUNT.min(plan.vms.len());
            plan.stage = match spec.chat_turn() {
                Some(turn) if turn.messages > FIRST_TURN_MESSAGES => WalkStage::Holders,
                Some(_) => WalkStage::BelowMean,
                None => WalkStage::OwnCap,
            };
        }
        plan.vms.extend(held);
        plan
    }

    /// The next candidate and the rule to ask it by.
    pub(crate) fn next_candidate(&mut self) -> Option<(VmEntry, AdmissionRule)> {
        if self.is_waiting {
            return Some((self.vms[self.cursor - 1].clone(), AdmissionRule::OwnCap));
        }
        while self.is_probing() {
            if self.cursor < self.probe_count {
                self.cursor += 1;
                return Some((self.vms[self.cursor - 1].clone(), AdmissionRule::OwnCap));
            }
            self.cursor = 0;
            self.stage = match self.stage {
                WalkStage::Holders => WalkStage::BelowMean,
                _ => WalkStage::OwnCap,
            };
        }
        if self.stage == WalkStage::OwnCap {
            if let Some(vm) = self.vms.get(self.cursor) {
                self.cursor += 1;
                return Some((vm.clone(), self.first_rule));
            }
            self.stage = WalkStage::LeastLoaded;
        }
        match self.stage {
            WalkStage::LeastLoaded => {
                self.stage = WalkStage::Exhausted;
                self.least_loaded()
            }
            WalkStage::Holders
            | WalkStage::BelowMean
            | WalkStage::OwnCap
            | WalkStage::Exhausted => None,
        }
    }

    /// The condition on which the candidate just given is asked.
    pub(crate) fn condition(&self) -> AdmitCondition {
        match self.stage {
            WalkStage::Holders => AdmitCondition::Held,
            WalkStage::BelowMean => AdmitCondition::BelowMean,
            WalkStage::OwnCap | WalkStage::LeastLoaded | WalkStage::Exhausted => {
                AdmitCondition::Always
            }
        }
    }

    /// How long to wait before the next candidate is asked.
    pub(crate) fn wait(&self) -> SpanMillis {
        SpanMillis::new(if self.is_waiting { HOLDER_STEP_MS } else { 0 })
    }

    fn is_probing(&self) -> bool {
        matches!(self.stage, WalkStage::Holders | WalkStage::BelowMean)
    }

    /// Notes that a candidate refused.
    pub(crate) fn note_refusal(&mut self, note: RefusalNote) {
        let is_full_holder =
            self.stage == WalkStage::Holders && note.reason == RefusalReason::OverBound;
        self.is_waiting = is_full_holder && ClockMillis::now() < self.patient_until;
        // It is asked again without the condition.
        if !self.is_probing() {
            self.refusals.push(note);
        }
    }

    /// The longest time that a candidate asked to wait, at least `floor`.
    pub(crate) fn retry_after(&self, floor: SpanMillis) -> SpanMillis {
        let mut span = floor;
        for note in &self.refusals {
            span = span.max(note.retry_after);
        }
        span
    }

    /// The least loaded of those that refused by their cap, bounded by the mean of the loads just learned.
    fn least_loaded(&self) -> Option<(VmEntry, AdmissionRule)> {
        let mut least: Option<&RefusalNote> = None;
        let mut sum = 0;
        let mut count = 0;
        for note in &self.refusals {
            if note.reason != RefusalReason::OverBound {
                continue;
            }
            sum += note.load.get();
            count += 1;
            if least.is_none_or(|other| note.load < other.load) {
                least = Some(note);
            }
        }
        let least = least?;
        let mean = LoadCount::new(sum / count);
        Some((least.vm.clone(), AdmissionRule::AtMost(mean)))
    }
}

fn patience(shared: &RouterShared, spec: &CallSpec) -> SpanMillis {
    let within = spec.targets.lateness.within.as_millis();
    let limit = shared.settings.holder_wait_ms;
    SpanMillis::new(limit.min(within / HOLDER_WAIT_SHARE))
}
