//! Upstreams that ended under a suspect.

use fescuetide_base::UpstreamLife;

/// Maximum number of lives in an [`EndSet`].
pub const END_LIMIT: usize = 12;

/// The lives of upstreams that ended under a suspect since it last completed.
///
/// Two routers merge what they know in any order: the set with more clears replaces the other one, and of two with as many
/// clears the union counts. An end that one router finds while another one clears the suspect can be lost thereby.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndSet {
    clears: u32,
    len: usize,
    /// In ascending order. If there are more than fit, the lowest are kept, so that the order of merges does not matter.
    lives: [UpstreamLife; END_LIMIT],
}

impl EndSet {
    /// Creates a set from its parts. Lives beyond [`END_LIMIT`] are dropped.
    pub fn new(clears: u32, lives: impl IntoIterator<Item = UpstreamLife>) -> Self {
        let mut ends = Self {
            clears,
            ..Self::default()
        };
        for life in lives {
            ends.insert(life);
        }
        ends
    }

    /// Number of times that the suspect completed after ends.
    pub const fn clears(&self) -> u32 {
        self.clears
    }

    /// The lives that ended.
    pub fn lives(&self) -> &[UpstreamLife] {
        &self.lives[..self.len]
    }

    /// Number of lives that ended, [`END_LIMIT`] at most.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing ended since the suspect last completed.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether the set has a life.
    pub fn contains(&self, life: UpstreamLife) -> bool {
        self.lives().binary_search(&life).is_ok()
    }

    /// Adds a life that ended. Returns whether the set has changed.
    pub fn insert(&mut self, life: UpstreamLife) -> bool {
        let Err(index) = self.lives().binary_search(&life) else {
            return false;
        };
        if index == END_LIMIT {
            return false;
        }
        self.len = (self.len + 1).min(END_LIMIT);
        self.lives[index..self.len].rotate_right(1);
        self.lives[index] = life;
        true
    }

    /// Removes all lives, since the suspect has completed.
    pub fn clear(&mut self) {
        *self = Self {
            clears: self.clears.saturating_add(1),
            ..Self::default()
        };
    }

    /// Adds what another router knows. Returns whether the set has changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        if other.clears < self.clears {
            return false;
        }
        if other.clears > self.clears {
            *self = *other;
            return true;
        }
        let mut has_changed = false;
        for life in other.lives() {
            has_changed |= self.insert(*life);
        }
        has_changed
    }
}
