//! Token bucket for a rate of requests.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;

/// Part of a token that sums of parts may lack.
const ROUNDING_ERROR: f64 = 1e-6;

/// A token bucket: each request takes a token, tokens come at a rate, and unused ones accumulate up to a depth.
///
/// In a span of time `t`, no more than `depth + rate * t` requests pass.
///
/// ```
/// use fescuetide_base::prelude::*;
/// use fescuetide_limits::prelude::*;
///
/// let now = ClockMillis::new(1_000);
/// let mut bucket = RateBucket::new(2.0, 1.0, now);
/// assert!(bucket.try_take(now));
/// assert!(!bucket.try_take(now));
/// assert_eq!(bucket.next_at(now), Some(ClockMillis::new(1_500)));
/// assert!(bucket.try_take(ClockMillis::new(1_500)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RateBucket {
    /// Tokens per second.
    rate: f64,
    /// Maximum number of tokens.
    depth: f64,
    /// Tokens at `counted_at`.
    tokens: f64,
    counted_at: ClockMillis,
}

impl RateBucket {
    /// Creates a full bucket. `rate` is in tokens per second.
    pub fn new(rate: f64, depth: f64, now: ClockMillis) -> Self {
        Self {
            rate,
            depth,
            tokens: depth,
            counted_at: now,
        }
    }

    /// Changes the rate, in tokens per second, and the depth. Tokens above the new depth are discarded.
    pub fn set(&mut self, rate: f64, depth: f64, now: ClockMillis) {
        self.tokens = self.tokens(now).min(depth);
        self.counted_at = now;
        self.rate = rate;
        self.depth = depth;
    }

    /// Tokens per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// The number of tokens, negative if some were taken ahead.
    pub fn tokens(&self, now: ClockMillis) -> f64 {
        let seconds = now.since(self.counted_at).as_millis() as f64 / 1_000.0;
        (self.tokens + seconds * self.rate).min(self.depth)
    }

    /// Takes a token. Returns false if there is none.
    pub fn try_take(&mut self, now: ClockMillis) -> bool {
        if !self.has_token(now) {
            return false;
        }
        self.tokens = self.tokens(now) - 1.0;
        self.counted_at = now;
        true
    }

    /// Takes a token, also if there is none. The next ones make up for it.
    pub fn take_ahead(&mut self, now: ClockMillis) {
        self.tokens = self.tokens(now) - 1.0;
        self.counted_at = now;
    }

    /// Whether there is a token.
    pub fn has_token(&self, now: ClockMillis) -> bool {
        self.tokens(now) >= 1.0 - ROUNDING_ERROR
    }

    /// When there is a token, or `None` if none comes at the current rate.
    pub fn next_at(&self, now: ClockMillis) -> Option<ClockMillis> {
        if self.has_token(now) {
            return Some(now);
        }
        let missing = 1.0 - self.tokens(now);
        if self.rate <= 0.0 || self.depth < 1.0 {
            return None;
        }
        let millis = (missing / self.rate * 1_000.0).ceil();
        Some(now + SpanMillis::new(millis as u64))
    }
}
