//! The walk over candidate upstreams.

use fescuetide_base::ClockMillis;
use fescuetide_base::LoadCount;
use fescuetide_base::SpanMillis;
use fescuetide_members::VmEntry;
use fescuetide_routing::RankKey;
use fescuetide_routing::ShardSize;
use fescuetide_wire::frame::AdmissionRule;
use fescuetide_wire::frame::RefusalReason;

use crate::RouterShared;
use crate::call::CallSpec;

/// How many candidates are asked whether they ran the chat's turn before. A chat that was displaced by the load bound
/// is found again there without any state at the router.
const HOLDER_PROBES: usize = 6;

/// Messages of a chat's first turn at most: the system's and the user's.
const FIRST_TURN_MESSAGES: u32 = 2;

/// Which rule candidates are asked by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WalkStage {
    /// The first candidates are asked to admit if they ran the chat's turn before.
    Holders,
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
    /// Candidates that are first asked whether they hold the chat.
    holder_count: usize,
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
            holder_count: 0,
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
        let may_ask = lost_on.is_empty() && spec.key.is_none();
        if may_ask && shared.settings.policy.asks_holders() && is_returning(spec) {
            plan.holder_count = HOLDER_PROBES.min(plan.vms.len());
            plan.stage = WalkStage::Holders;
        }
        plan.vms.extend(held);
        plan
    }

    /// The next candidate and the rule to ask it by.
    pub(crate) fn next_candidate(&mut self) -> Option<(VmEntry, AdmissionRule)> {
        if self.stage == WalkStage::Holders {
            if self.cursor < self.holder_count {
                self.cursor += 1;
                return Some((self.vms[self.cursor - 1].clone(), AdmissionRule::OwnCap));
            }
            self.stage = WalkStage::OwnCap;
            self.cursor = 0;
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
            WalkStage::Holders | WalkStage::OwnCap | WalkStage::Exhausted => None,
        }
    }

    /// Whether the candidate just given is asked to run the request only if it holds the chat.
    pub(crate) fn asks_holders(&self) -> bool {
        self.stage == WalkStage::Holders
    }

    /// Notes that a candidate refused.
    pub(crate) fn note_refusal(&mut self, note: RefusalNote) {
        // It is asked again without the condition.
        if !self.asks_holders() {
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

fn is_returning(spec: &CallSpec) -> bool {
    spec.chat_turn()
        .is_some_and(|turn| turn.messages > FIRST_TURN_MESSAGES)
}
