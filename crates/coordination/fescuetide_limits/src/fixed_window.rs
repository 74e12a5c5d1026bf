//! Fixed-window rate limiter.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;

/// Allows a limited number of events of each kind, such as log lines, per time window and counts the suppressed ones.
///
/// ```
/// use fescuetide_base::ClockMillis;
/// use fescuetide_base::SpanMillis;
/// use fescuetide_limits::FixedWindowLimiter;
///
/// let mut limiter = FixedWindowLimiter::new(2, 1, SpanMillis::new(1_000));
/// let now = ClockMillis::new(5_000);
/// assert!(limiter.try_acquire(0, now));
/// assert!(!limiter.try_acquire(0, now));
/// assert!(limiter.try_acquire(1, now));
/// ```
#[derive(Clone, Debug)]
pub struct FixedWindowLimiter {
    limit: u32,
    window: SpanMillis,
    window_start: ClockMillis,
    allowed: Vec<u32>,
    suppressed: Vec<u32>,
}

impl FixedWindowLimiter {
    /// Creates a limiter for event kinds numbered from 0 to `kinds` - 1.
    pub fn new(kinds: usize, limit: u32, window: SpanMillis) -> Self {
        Self {
            limit,
            window,
            window_start: ClockMillis::default(),
            allowed: vec![0; kinds],
            suppressed: vec![0; kinds],
        }
    }

    /// Counts an event against the limit of its kind. Returns `false` if it exceeds the limit and must be suppressed.
    pub fn try_acquire(&mut self, kind: usize, now: ClockMillis) -> bool {
        if now.since(self.window_start) >= self.window {
            self.window_start = now;
            self.allowed.fill(0);
        }
        if self.allowed[kind] < self.limit {
            self.allowed[kind] += 1;
            return true;
        }
        self.suppressed[kind] += 1;
        false
    }

    /// Returns the number of suppressed events of each kind since the last call, or `None` if there were none.
    pub fn take_suppressed(&mut self) -> Option<Vec<u32>> {
        if self.suppressed.iter().all(|count| *count == 0) {
            return None;
        }
        let suppressed = self.suppressed.clone();
        self.suppressed.fill(0);
        Some(suppressed)
    }
}
