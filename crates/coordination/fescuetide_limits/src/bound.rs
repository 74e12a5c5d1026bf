//! Upper bound on the load of an upstream.

use fescuetide_base::LoadCount;

/// Caps the load of an upstream at a multiple of the mean load of its pool.
///
/// Implements consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2018): an upstream admits a
/// request if its load after admission is at most `max(1, ceil(multiple × mean))`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBound {
    /// Multiple of the mean load. Should be greater than 1, which is not enforced: at 1, upstreams have no room above
    /// the mean.
    pub multiple: f64,
}

impl Default for LoadBound {
    fn default() -> Self {
        Self { multiple: 1.25 }
    }
}

impl LoadBound {
    /// Returns the maximum load allowed at the given mean.
    ///
    /// ```
    /// use fescuetide_base::LoadCount;
    /// use fescuetide_limits::LoadBound;
    ///
    /// let bound = LoadBound::default();
    /// assert_eq!(bound.cap(0.0), LoadCount::new(1));
    /// assert_eq!(bound.cap(10.0), LoadCount::new(13));
    /// ```
    pub fn cap(&self, mean: f64) -> LoadCount {
        let cap = (self.multiple * mean).ceil().max(1.0);
        LoadCount::new(cap as u32)
    }

    /// Returns whether an upstream at this load can admit one more request.
    pub fn admits(&self, load: LoadCount, mean: f64) -> bool {
        load < self.cap(mean)
    }
}
