//! Detection of outages of the log by a reader.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;

/// Duration of an outage after which entries of live upstreams may have expired.
const ENTRY_EXPIRY_OUTAGE: SpanMillis = SpanMillis::new(1_500);

/// Detects outages of the log from the results of read calls.
#[derive(Clone, Copy, Debug)]
pub struct OutageDetector {
    answered_at: ClockMillis,
    is_away: bool,
}

/// Describes an outage that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageEnd {
    /// Time between the last response before the outage and the first one after it.
    pub span: SpanMillis,
    /// Whether entries of live upstreams may have expired during the outage. This applies only to removals in the first
    /// response: later removals happened while the log was available.
    pub may_have_expired: bool,
}

impl OutageDetector {
    /// Creates an instance that assumes that the log is available at `now`.
    pub fn new(now: ClockMillis) -> Self {
        Self {
            answered_at: now,
            is_away: false,
        }
    }

    /// Records a failed call. Returns whether it starts an outage.
    pub fn note_failure(&mut self) -> bool {
        let begins = !self.is_away;
        self.is_away = true;
        begins
    }

    /// Records a successful call. Returns the outage that it ends, if any.
    pub fn note_answer(&mut self, now: ClockMillis) -> Option<OutageEnd> {
        let span = now.since(self.answered_at);
        let was_away = self.is_away;
        self.answered_at = now;
        self.is_away = false;
        was_away.then_some(OutageEnd {
            span,
            may_have_expired: span >= ENTRY_EXPIRY_OUTAGE,
        })
    }

    /// Returns the long-polling timeout of the next read: `steady` while the log is available, and 0 during an outage.
    ///
    /// A log that recovers may have lost the pending call, so a long poll would delay the detection of the recovery.
    pub fn read_wait(&self, steady: SpanMillis) -> SpanMillis {
        if self.is_away {
            SpanMillis::default()
        } else {
            steady
        }
    }

    /// Returns whether the log is unavailable.
    pub fn is_away(&self) -> bool {
        self.is_away
    }
}
