//! Reproducible random numbers.

use fescuetide_base::StableHash;

/// A random number generator whose output depends only on its seed.
#[derive(Clone, Debug)]
pub(crate) struct SeededRng {
    seed: u64,
    draw_count: u64,
}

impl SeededRng {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            seed,
            draw_count: 0,
        }
    }

    pub(crate) fn next_u64(&mut self) -> u64 {
        self.draw_count += 1;
        StableHash::new()
            .field(&self.seed.to_le_bytes())
            .field(&self.draw_count.to_le_bytes())
            .finish()
    }

    /// Returns a uniform random number in `[0, 1)`.
    pub(crate) fn next_f64(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns a random number in `0..limit`, or 0 if `limit` is 0.
    pub(crate) fn next_below(&mut self, limit: usize) -> usize {
        (self.next_u64() % limit.max(1) as u64) as usize
    }

    /// Returns the time to the next arrival of a Poisson process with the given rate, in microseconds.
    pub(crate) fn exponential_interval_us(&mut self, per_second: f64) -> u64 {
        let unit = self.next_f64().max(1e-12);
        (-unit.ln() / per_second * 1e6) as u64
    }
}
