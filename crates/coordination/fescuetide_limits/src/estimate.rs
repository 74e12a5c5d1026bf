//! Estimates from recent times.

use std::collections::VecDeque;

use fescuetide_base::SpanMillis;

/// How many times are averaged. An engine ends this many requests in a few seconds.
const SAMPLE_LIMIT: usize = 32;

/// The mean of the last 32 times.
#[derive(Clone, Debug, Default)]
pub struct RecentTimes {
    samples: VecDeque<u64>,
    sum: u64,
}

impl RecentTimes {
    /// Adds a time and drops the oldest beyond the limit.
    pub fn note(&mut self, span: SpanMillis) {
        if self.samples.len() == SAMPLE_LIMIT
            && let Some(oldest) = self.samples.pop_front()
        {
            self.sum -= oldest;
        }
        self.samples.push_back(span.as_millis());
        self.sum += span.as_millis();
    }

    /// The mean in ms, `None` before the first time is known.
    pub fn mean_ms(&self) -> Option<f64> {
        if self.samples.is_empty() {
            return None;
        }
        Some(self.sum as f64 / self.samples.len() as f64)
    }
}
