//! Conditional offers of a chat turn, made before the unconditional offers to all candidates.

use fescuetide_base::ClockMillis;
use fescuetide_base::LoadCount;
use fescuetide_base::SpanMillis;
use fescuetide_limits::AdmitRule;

use super::CallMetadata;
use super::CallSettings;
use super::CallView;
use super::DeclineReason;

/// Maximum number of candidates that receive conditional offers in each stage. A chat whose first-ranked engine is at
/// its load cap is moved to one of the next engines. Probing this many candidates finds that engine again.
const PROBE_COUNT: usize = 6;

/// Interval at which a holder of the chat that declined because of its load cap is offered the request again.
const HOLDER_RETRY_INTERVAL: SpanMillis = SpanMillis::new(20);

/// Divisor of the class's latency target that gives the maximum wait for a holder.
const HOLDER_WAIT_DIVISOR: u64 = 10;

/// Maximum number of messages in the first turn of a chat: the system prompt and the user's message.
const FIRST_TURN_MESSAGES: u32 = 2;

/// A condition that a side process checks, in addition to the load cap, before it admits a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferCondition {
    /// The engine ran an earlier turn of the chat.
    Held,
    /// The load before admission is below the mean. This keeps the capacity between the mean and the load cap free for
    /// chats of which the engine ran an earlier turn.
    BelowMean,
    /// No condition.
    Always,
}

/// Conditional offers of a chat turn to the highest ranked candidates.
///
/// A holder is an engine that ran an earlier turn of the chat and probably has its prefix cached. After a surge has
/// moved the chat away from its first-ranked engine, probing a few candidates finds the holder without a directory.
#[derive(Clone, Debug)]
pub(crate) struct ChatProbes {
    /// The condition of the current offers, or [`OfferCondition::Always`] after all have been declined.
    stage: OfferCondition,
    /// Number of candidates to probe in each stage.
    count: usize,
    probed: usize,
    /// Until when a holder that declined because of its load cap is offered the request again.
    holder_wait_until: ClockMillis,
    is_waiting: bool,
    /// The admission rule for holders.
    holder_rule: AdmitRule,
}

impl ChatProbes {
    /// Creates the offers to up to `count` candidates.
    pub(crate) fn new(
        metadata: &CallMetadata,
        settings: &CallSettings,
        view: &CallView<'_>,
        count: usize,
        now: ClockMillis,
    ) -> Self {
        let stage = match metadata.turn_messages {
            Some(messages) if messages > FIRST_TURN_MESSAGES => OfferCondition::Held,
            Some(_) => OfferCondition::BelowMean,
            None => OfferCondition::Always,
        };
        let share = SpanMillis::new(metadata.latency_target.as_millis() / HOLDER_WAIT_DIVISOR);
        Self {
            stage,
            count: count.min(PROBE_COUNT),
            probed: 0,
            holder_wait_until: now + settings.holder_wait.min(share),
            is_waiting: false,
            holder_rule: holder_rule(metadata, settings, view),
        }
    }

    /// Makes no conditional offers.
    pub(crate) fn none() -> Self {
        Self {
            stage: OfferCondition::Always,
            count: 0,
            probed: 0,
            holder_wait_until: ClockMillis::default(),
            is_waiting: false,
            holder_rule: AdmitRule::OwnCap,
        }
    }

    /// The index of the next candidate, or `None` after all conditional offers have been declined.
    pub(crate) fn next_index(&mut self) -> Option<usize> {
        if self.is_waiting {
            return Some(self.probed - 1);
        }
        while self.stage != OfferCondition::Always {
            if self.probed < self.count {
                self.probed += 1;
                return Some(self.probed - 1);
            }
            self.probed = 0;
            self.stage = match self.stage {
                OfferCondition::Held => OfferCondition::BelowMean,
                OfferCondition::BelowMean | OfferCondition::Always => OfferCondition::Always,
            };
        }
        None
    }

    /// The condition of the offer to the current candidate.
    pub(crate) fn condition(&self) -> OfferCondition {
        self.stage
    }

    /// The admission rule for the current candidate.
    pub(crate) fn rule(&self) -> AdmitRule {
        match self.stage {
            OfferCondition::Held => self.holder_rule,
            OfferCondition::BelowMean | OfferCondition::Always => AdmitRule::OwnCap,
        }
    }

    /// How long to wait before the offer to the current candidate.
    pub(crate) fn wait(&self) -> SpanMillis {
        match self.is_waiting {
            true => HOLDER_RETRY_INTERVAL,
            false => SpanMillis::default(),
        }
    }

    /// Records that the current candidate declined.
    pub(crate) fn note_declined(&mut self, reason: DeclineReason, now: ClockMillis) {
        let is_over_cap = self.stage == OfferCondition::Held && reason == DeclineReason::OverBound;
        self.is_waiting = is_over_cap && now < self.holder_wait_until;
    }
}

/// The admission rule for holders: a load below the load cap at the latest mean known to the router.
///
/// A side process's own cap ([`AdmitRule::OwnCap`]) follows from the lowest mean of the last 1.5 s and is stricter.
/// With it, holders would decline turns that they still have capacity for.
fn holder_rule(metadata: &CallMetadata, settings: &CallSettings, view: &CallView<'_>) -> AdmitRule {
    let Some(mean) = view.means.get(&metadata.pool).copied() else {
        return AdmitRule::OwnCap;
    };
    let cap = settings.load_bound.cap(mean).get();
    // The rule limits the load before admission.
    AdmitRule::AtMost(LoadCount::new(cap.saturating_sub(1)))
}
