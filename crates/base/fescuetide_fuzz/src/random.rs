//! Random numbers of seeded simulations.

use fescuetide_base::StableHash;

/// Numbers that follow from a seed.
#[derive(Clone, Copy, Debug)]
pub struct SeededRandom {
    seed: u64,
    drawn: u64,
}

impl SeededRandom {
    /// Creates the sequence of a seed.
    pub fn new(seed: u64) -> Self {
        Self { seed, drawn: 0 }
    }

    /// Returns a number below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.drawn += 1;
        let hash = StableHash::new()
            .field(&self.seed.to_le_bytes())
            .field(&self.drawn.to_le_bytes());
        hash.finish() % limit
    }
}
