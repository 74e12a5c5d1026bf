//! Check of a retry budget over all windows of a run.

use std::fmt;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;

/// Number of retries that all processes together may make in each window.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimit {
    /// Retries per request in the window, in the one before it or in the one half a window before it, whichever has most.
    pub ratio: f64,
    /// Retries beyond that.
    pub burst: f64,
    /// Length of a window. Windows slide.
    pub window: SpanMillis,
}

/// A window with its retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryWindow {
    /// The end of the window.
    pub end: ClockMillis,
    /// The retries in it.
    pub retries: usize,
    /// The retries that are allowed in it.
    pub allowed: f64,
}

impl RetryWindow {
    /// Whether there are more retries than allowed.
    pub fn is_exceeded(&self) -> bool {
        self.excess() > 0.0
    }

    fn excess(&self) -> f64 {
        self.retries as f64 - self.allowed
    }
}

impl fmt::Display for RetryWindow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            end,
            retries,
            allowed,
        } = self;
        write!(f, "{retries} retries up to {end}, {allowed:.1} allowed")
    }
}

impl RetryLimit {
    /// Returns the window that exceeds the limit most, or comes nearest to it. `None` if there are no retries. Both lists are
    /// sorted.
    pub fn worst_window(
        &self,
        requests: &[ClockMillis],
        retries: &[ClockMillis],
    ) -> Option<RetryWindow> {
        let mut worst: Option<RetryWindow> = None;
        for end in retries {
            let window = self.window_at(*end, requests, retries);
            if worst.is_none_or(|worst| window.excess() > worst.excess()) {
                worst = Some(window);
            }
        }
        worst
    }

    fn window_at(
        &self,
        end: ClockMillis,
        requests: &[ClockMillis],
        retries: &[ClockMillis],
    ) -> RetryWindow {
        let length = self.window.as_millis();
        let mut most = 0;
        for earlier in [0, length / 2, length] {
            let end = ClockMillis::new(end.as_millis().saturating_sub(earlier));
            most = most.max(count_until(requests, end, self.window));
        }
        RetryWindow {
            end,
            retries: count_until(retries, end, self.window),
            allowed: self.ratio * most as f64 + self.burst,
        }
    }
}

/// Number of times in the span that ends at `end`.
fn count_until(times: &[ClockMillis], end: ClockMillis, span: SpanMillis) -> usize {
    let until = times.partition_point(|at| *at <= end);
    let from = times.partition_point(|at| *at + span <= end);
    until - from
}
