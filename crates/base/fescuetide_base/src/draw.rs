//! Reproducible random numbers.

use crate::StableHash;

/// Random numbers that follow from a seed, so that a process makes the same choices in each run, and others make other ones.
///
/// ```
/// use fescuetide_base::DrawSequence;
///
/// let mut draws = DrawSequence::new(7);
/// let first = draws.next_number();
/// assert_ne!(draws.next_number(), first);
/// assert_eq!(DrawSequence::new(7).next_number(), first);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct DrawSequence {
    seed: u64,
    count: u64,
}

impl DrawSequence {
    /// Creates a sequence.
    pub const fn new(seed: u64) -> Self {
        Self { seed, count: 0 }
    }

    /// Returns the next number.
    pub fn next_number(&mut self) -> u64 {
        self.count += 1;
        StableHash::new()
            .field(&self.seed.to_le_bytes())
            .field(&self.count.to_le_bytes())
            .finish()
    }

    /// Puts `items` into a random order (Durstenfeld, "Algorithm 235: Random permutation", 1964).
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for end in (1..items.len()).rev() {
            let other = self.next_number() % (end as u64 + 1);
            items.swap(end, other as usize);
        }
    }
}
