//! Reproducible random numbers.

use fescuetide_base::StableHash;

/// A sequence of random numbers that depends on its seed only.
#[derive(Clone, Debug)]
pub(crate) struct ModelRandom {
    seed: u64,
    drawn: u64,
}

impl ModelRandom {
    pub(crate) fn new(seed: u64) -> Self {
        Self { seed, drawn: 0 }
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.drawn += 1;
        StableHash::new()
            .field(&self.seed.to_le_bytes())
            .field(&self.drawn.to_le_bytes())
            .finish()
    }

    /// A number from 0 to below 1.
    pub(crate) fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// A number below `limit`.
    pub(crate) fn below(&mut self, limit: usize) -> usize {
        (self.next() % limit.max(1) as u64) as usize
    }

    /// The time to the next of events that come at random at a rate.
    pub(crate) fn gap_us(&mut self, per_second: f64) -> u64 {
        let unit = self.unit().max(1e-12);
        (-unit.ln() / per_second * 1e6) as u64
    }
}
