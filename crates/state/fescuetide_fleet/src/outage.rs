//! Outages of the platform's log as one reader sees them.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;

/// Entries of live upstreams may lapse in an outage of this length.
const LAPSE_SPAN: SpanMillis = SpanMillis::new(1_500);

/// What a reader notes about the log's answers.
#[derive(Clone, Copy, Debug)]
pub struct OutageWatch {
    answered_at: ClockMillis,
    is_away: bool,
}

/// The end of an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageEnd {
    /// How long the log gave no answer.
    pub span: SpanMillis,
    /// Whether entries of live upstreams may have lapsed meanwhile. This holds only for what the first answer tells:
    /// what is removed later was removed by a log that was well.
    pub may_have_lapsed: bool,
}

impl OutageWatch {
    /// Starts a reader that counts the log as present.
    pub fn new(now: ClockMillis) -> Self {
        Self {
            answered_at: now,
            is_away: false,
        }
    }

    /// Notes a call that failed. Returns whether an outage begins.
    pub fn note_failure(&mut self) -> bool {
        let begins = !self.is_away;
        self.is_away = true;
        begins
    }

    /// Notes an answer. Returns the outage that it ends.
    pub fn note_answer(&mut self, now: ClockMillis) -> Option<OutageEnd> {
        let span = now.since(self.answered_at);
        let was_away = self.is_away;
        self.answered_at = now;
        self.is_away = false;
        was_away.then_some(OutageEnd {
            span,
            may_have_lapsed: span >= LAPSE_SPAN,
        })
    }

    /// How long the next read asks the log to wait for news: `steady` while the log answers, not at all after a failure.
    /// A log that comes back may have lost the call, and a reader that waits would not notice for as long.
    pub fn read_wait(&self, steady: SpanMillis) -> SpanMillis {
        if self.is_away {
            SpanMillis::default()
        } else {
            steady
        }
    }

    /// Whether the log gives no answers.
    pub fn is_away(&self) -> bool {
        self.is_away
    }
}
