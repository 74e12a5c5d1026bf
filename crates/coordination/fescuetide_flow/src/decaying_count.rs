//! Exponentially decaying counts.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;

/// An exponentially decaying number of events.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingCount {
    /// Time in which the weight of an event falls to 1/e.
    decay_time: SpanMillis,
    weight: f64,
    at: ClockMillis,
}

impl DecayingCount {
    pub(crate) fn new(decay_time: SpanMillis) -> Self {
        Self {
            decay_time,
            weight: 0.0,
            at: ClockMillis::default(),
        }
    }

    /// The sum of the events' weights.
    pub(crate) fn get(&self, now: ClockMillis) -> f64 {
        let age = now.since(self.at).as_millis() as f64;
        self.weight * (-age / self.decay_time.as_millis() as f64).exp()
    }

    /// The rate of events per second, averaged over about the decay time.
    pub(crate) fn per_second(&self, now: ClockMillis) -> f64 {
        self.get(now) * 1_000.0 / self.decay_time.as_millis() as f64
    }

    /// Adds an event.
    pub(crate) fn add(&mut self, now: ClockMillis) {
        self.weight = self.get(now) + 1.0;
        self.at = now;
    }
}
