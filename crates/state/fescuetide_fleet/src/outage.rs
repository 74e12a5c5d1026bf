//! Detection of outages of the log by a reader.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;

/// Duration of an outage after which entries of live upstreams may have expired.
const ENTRY_EXPIRY_OUTAGE: SpanMillis = SpanMillis::new(1_500);

/// Detects outages of the log from the results of read calls.
#[derive(Clone, Copy, Debug)]
pub struct OutageDetector {
    last_success_at: ClockMillis,
    is_unavailable: bool,
}

/// Describes an outage that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageEnd {
    /// Time between the last response before the outage and the first one after it.
    pub duration: SpanMillis,
    /// Whether entries of live upstreams may have expired during the outage. This applies only to removals in the first
    /// response: later removals happened while the log was available.
    pub may_have_expired: bool,
}

impl OutageDetector {
    /// Creates an instance that assumes that the log is available at `now`.
    pub fn new(now: ClockMillis) -> Self {
        Self {
            last_success_at: now,
            is_unavailable: false,
        }
    }

    /// Records a failed call. Returns whether it starts an outage.
    pub fn note_failure(&mut self) -> bool {
        let begins = !self.is_unavailable;
        self.is_unavailable = true;
        begins
    }

    /// Records a successful call. Returns the outage that it ends, if any.
    pub fn note_success(&mut self, now: ClockMillis) -> Option<OutageEnd> {
        let duration = now.since(self.last_success_at);
        let was_unavailable = self.is_unavailable;
        self.last_success_at = now;
        self.is_unavailable = false;
        was_unavailable.then_some(OutageEnd {
            duration,
            may_have_expired: duration >= ENTRY_EXPIRY_OUTAGE,
        })
    }

    /// Returns the long-polling timeout of the next read: `steady` while the log is available, and 0 during an outage.
    ///
    /// A log that recovers may have lost the pending call, so a long poll would delay the detection of the recovery.
    pub fn read_wait(&self, steady: SpanMillis) -> SpanMillis {
        if self.is_unavailable {
            SpanMillis::default()
        } else {
            steady
        }
    }

    /// Returns whether the log is unavailable.
    pub fn is_unavailable(&self) -> bool {
        self.is_unavailable
    }
}
