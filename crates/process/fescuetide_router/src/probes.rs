//! The offers on a condition that come before the walk over all candidates.

use fescuetide_base::ClockMillis;
use fescuetide_base::LoadCount;
use fescuetide_base::SpanMillis;
use fescuetide_limits::LoadBound;
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeStage {
    /// Candidates are asked to admit if they ran the chat's turn before.
    Held,
    /// Candidates are asked to admit while their load is below the mean.
    BelowMean,
    /// All have refused; the walk over all candidates goes on.
    Done,
}

/// Offers a chat's turn to the first candidates of its ranking on a condition.
#[derive(Debug)]
pub(crate) struct ChatProbes {
    stage: ProbeStage,
    /// Candidates that are asked in each stage.
    count: usize,
    asked: usize,
    /// Until when a holder that refused because of its cap is asked again.
    patient_until: ClockMillis,
    is_waiting: bool,
    /// The rule by which holders are asked.
    holder_rule: AdmissionRule,
}

impl ChatProbes {
    /// Prepares the offers for `spec` to up to `count` candidates.
    pub(crate) fn new(shared: &RouterShared, spec: &CallSpec, count: usize) -> Self {
        let stage = match spec.chat_turn() {
            Some(turn) if turn.messages > FIRST_TURN_MESSAGES => ProbeStage::Held,
            Some(_) => ProbeStage::BelowMean,
            None => ProbeStage::Done,
        };
        let within = spec.targets.lateness.within.as_millis();
        let wait = shared.settings.holder_wait_ms;
        Self {
            stage,
            count: count.min(PROBE_COUNT),
            asked: 0,
            patient_until: ClockMillis::now()
                + SpanMillis::new(wait.min(within / HOLDER_WAIT_SHARE)),
            is_waiting: false,
            holder_rule: holder_rule(shared, spec),
        }
    }

    /// No offers on a condition.
    pub(crate) fn none() -> Self {
        Self {
            stage: ProbeStage::Done,
            count: 0,
            asked: 0,
            patient_until: ClockMillis::default(),
            is_waiting: false,
            holder_rule: AdmissionRule::OwnCap,
        }
    }

    /// The place of the next candidate, `None` when all offers have been refused.
    pub(crate) fn next_place(&mut self) -> Option<usize> {
        if self.is_waiting {
            return Some(self.asked - 1);
        }
        while self.stage != ProbeStage::Done {
            if self.asked < self.count {
                self.asked += 1;
                return Some(self.asked - 1);
            }
            self.asked = 0;
            self.stage = match self.stage {
                ProbeStage::Held => ProbeStage::BelowMean,
                ProbeStage::BelowMean | ProbeStage::Done => ProbeStage::Done,
            };
        }
        None
    }

    /// The condition on which the candidate just given is asked.
    pub(crate) fn condition(&self) -> AdmitCondition {
        match self.stage {
            ProbeStage::Held => AdmitCondition::Held,
            ProbeStage::BelowMean => AdmitCondition::BelowMean,
            ProbeStage::Done => AdmitCondition::Always,
        }
    }

    /// The rule by which the candidate just given is asked.
    pub(crate) fn rule(&self) -> AdmissionRule {
        match self.stage {
            ProbeStage::Held => self.holder_rule,
            ProbeStage::BelowMean | ProbeStage::Done => AdmissionRule::OwnCap,
        }
    }

    /// How long to wait before the candidate just given is asked.
    pub(crate) fn wait(&self) -> SpanMillis {
        SpanMillis::new(if self.is_waiting { HOLDER_STEP_MS } else { 0 })
    }

    /// Notes that the candidate just given refused.
    pub(crate) fn note_refusal(&mut self, reason: RefusalReason) {
        let is_full = self.stage == ProbeStage::Held && reason == RefusalReason::OverBound;
        self.is_waiting = is_full && ClockMillis::now() < self.patient_until;
    }
}

/// Holders are asked by the cap at the newest mean. Their own cap is at the lowest mean of the last 1.5 s, so that
/// it refuses turns of chats that they hold while there is room.
fn holder_rule(shared: &RouterShared, spec: &CallSpec) -> AdmissionRule {
    let Some(mean) = shared.means.load().get(&spec.pool).copied() else {
        return AdmissionRule::OwnCap;
    };
    let bound = LoadBound {
        multiple: shared.settings.load_multiple,
    };
    AdmissionRule::AtMost(LoadCount::new(bound.cap(mean).get().saturating_sub(1)))
}
