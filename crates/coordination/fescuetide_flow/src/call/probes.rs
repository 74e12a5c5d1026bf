//! The offers on a condition that come before the walk over all candidates.

use fescuetide_base::ClockMillis;
use fescuetide_base::LoadCount;
use fescuetide_base::SpanMillis;
use fescuetide_limits::AdmitRule;

use super::CallFacts;
use super::CallSettings;
use super::CallView;
use super::DeclineReason;

/// How many candidates are asked whether they ran the chat's turn before, and then whether their load is below the
/// mean. A chat that was displaced by the load bound is found again there without any state at the router.
const PROBE_COUNT: usize = 6;

/// How often a holder that refused because of its cap is asked again.
const HOLDER_STEP: SpanMillis = SpanMillis::new(20);

/// Share of the class's lateness target that may be spent on waiting for a holder.
const HOLDER_WAIT_SHARE: u64 = 10;

/// Messages of a chat's first turn at most: the system's and the user's.
const FIRST_TURN_MESSAGES: u32 = 2;

/// What a side process checks besides the load before it admits a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferCondition {
    /// The engine ran the chat's turn before.
    Held,
    /// The load before admission is below the mean. This keeps the room between mean and cap free for chats that the
    /// engine holds.
    BelowMean,
    /// Nothing.
    Always,
}

/// Offers a chat's turn to the first candidates of its ranking on a condition.
///
/// It answers chats that return after a surge has displaced them: the engine that has their prefix is found again by
/// asking a few candidates, without a directory.
#[derive(Clone, Debug)]
pub(crate) struct ChatProbes {
    /// The condition of the offers; [`OfferCondition::Always`] when all have been refused.
    stage: OfferCondition,
    /// Candidates that are asked in each stage.
    count: usize,
    asked: usize,
    /// Until when a holder that refused because of its cap is asked again.
    patient_until: ClockMillis,
    is_waiting: bool,
    /// The rule by which holders are asked.
    holder_rule: AdmitRule,
}

impl ChatProbes {
    /// Prepares the offers to up to `count` candidates.
    pub(crate) fn new(
        facts: &CallFacts,
        settings: &CallSettings,
        view: &CallView<'_>,
        count: usize,
        now: ClockMillis,
    ) -> Self {
        let stage = match facts.turn_messages {
            Some(messages) if messages > FIRST_TURN_MESSAGES => OfferCondition::Held,
            Some(_) => OfferCondition::BelowMean,
            None => OfferCondition::Always,
        };
        let share = SpanMillis::new(facts.lateness.as_millis() / HOLDER_WAIT_SHARE);
        Self {
            stage,
            count: count.min(PROBE_COUNT),
            asked: 0,
            patient_until: now + settings.holder_wait.min(share),
            is_waiting: false,
            holder_rule: holder_rule(facts, settings, view),
        }
    }

    /// No offers on a condition.
    pub(crate) fn none() -> Self {
        Self {
            stage: OfferCondition::Always,
            count: 0,
            asked: 0,
            patient_until: ClockMillis::default(),
            is_waiting: false,
            holder_rule: AdmitRule::OwnCap,
        }
    }

    /// The place of the next candidate, `None` when all offers have been refused.
    pub(crate) fn next_place(&mut self) -> Option<usize> {
        if self.is_waiting {
            return Some(self.asked - 1);
        }
        while self.stage != OfferCondition::Always {
            if self.asked < self.count {
                self.asked += 1;
                return Some(self.asked - 1);
            }
            self.asked = 0;
            self.stage = match self.stage {
                OfferCondition::Held => OfferCondition::BelowMean,
                OfferCondition::BelowMean | OfferCondition::Always => OfferCondition::Always,
            };
        }
        None
    }

    /// The condition on which the candidate just given is asked.
    pub(crate) fn condition(&self) -> OfferCondition {
        self.stage
    }

    /// The rule by which the candidate just given is asked.
    pub(crate) fn rule(&self) -> AdmitRule {
        match self.stage {
            OfferCondition::Held => self.holder_rule,
            OfferCondition::BelowMean | OfferCondition::Always => AdmitRule::OwnCap,
        }
    }

    /// How long to wait before the candidate just given is asked.
    pub(crate) fn wait(&self) -> SpanMillis {
        match self.is_waiting {
            true => HOLDER_STEP,
            false => SpanMillis::default(),
        }
    }

    /// Notes that the candidate just given refused.
    pub(crate) fn note_refusal(&mut self, reason: DeclineReason, now: ClockMillis) {
        let is_full = self.stage == OfferCondition::Held && reason == DeclineReason::OverBound;
        self.is_waiting = is_full && now < self.patient_until;
    }
}

/// Holders are asked by the cap at the newest mean. Their own cap is at the lowest mean of the last 1.5 s, so that
/// it refuses turns of chats that they hold while there is room.
fn holder_rule(facts: &CallFacts, settings: &CallSettings, view: &CallView<'_>) -> AdmitRule {
    let Some(mean) = view.means.get(&facts.pool).copied() else {
        return AdmitRule::OwnCap;
    };
    let cap = settings.load_bound.cap(mean).get();
    AdmitRule::AtMost(LoadCount::new(cap.saturating_sub(1)))
}
