//! Moving average of durations.

use std::collections::VecDeque;

use fescuetide_base::SpanMillis;

/// Number of samples in the average. An engine completes this many requests within a few seconds.
const SAMPLE_LIMIT: usize = 32;

/// Moving average of the last 32 durations.
#[derive(Clone, Debug, Default)]
pub struct MovingAverage {
    samples: VecDeque<u64>,
    sum: u64,
}

impl MovingAverage {
    /// Adds a sample and drops the oldest one if the window is full.
    pub fn note(&mut self, duration: SpanMillis) {
        if self.samples.len() == SAMPLE_LIMIT
            && let Some(oldest) = self.samples.pop_front()
        {
            self.sum -= oldest;
        }
        self.samples.push_back(duration.as_millis());
        self.sum += duration.as_millis();
    }

    /// Returns the mean in milliseconds, or `None` if there are no samples.
    pub fn mean_ms(&self) -> Option<f64> {
        if self.samples.is_empty() {
            return None;
        }
        Some(self.sum as f64 / self.samples.len() as f64)
    }
}
