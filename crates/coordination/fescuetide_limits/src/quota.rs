//! Fixed-window rate limiter.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;

/// Allows a limited number of events of each kind per time window and counts the suppressed ones.
///
/// ```
/// use fescuetide_base::ClockMillis;
/// use fescuetide_base::SpanMillis;
/// use fescuetide_limits::WindowQuota;
///
/// let mut quota = WindowQuota::new(2, 1, SpanMillis::new(1_000));
/// let now = ClockMillis::new(5_000);
/// assert!(quota.allows(0, now));
/// assert!(!quota.allows(0, now));
/// assert!(quota.allows(1, now));
/// ```
#[derive(Clone, Debug)]
pub struct WindowQuota {
    limit: u32,
    window: SpanMillis,
    since: ClockMillis,
    passed: Vec<u32>,
    left_out: Vec<u32>,
}

impl WindowQuota {
    /// Creates a limiter for event kinds numbered from 0 to `kinds` - 1.
    pub fn new(kinds: usize, limit: u32, window: SpanMillis) -> Self {
        Self {
            limit,
            window,
            since: ClockMillis::default(),
            passed: vec![0; kinds],
            left_out: vec![0; kinds],
        }
    }

    /// Counts an event and returns whether it is within the limit.
    pub fn allows(&mut self, kind: usize, now: ClockMillis) -> bool {
        if now.since(self.since) >= self.window {
            self.since = now;
            self.passed.fill(0);
        }
        if self.passed[kind] < self.limit {
            self.passed[kind] += 1;
            return true;
        }
        self.left_out[kind] += 1;
        false
    }

    /// Returns the number of suppressed events of each kind since the last call, or `None` if there were none.
    pub fn take_left_out(&mut self) -> Option<Vec<u32>> {
        if self.left_out.iter().all(|count| *count == 0) {
            return None;
        }
        let left_out = self.left_out.clone();
        self.left_out.fill(0);
        Some(left_out)
    }
}
