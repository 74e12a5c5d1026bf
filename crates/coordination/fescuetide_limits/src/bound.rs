//! The bound on an upstream's load.

use fescuetide_base::LoadCount;

/// Keeps an upstream's load within a set multiple of the mean over its pool.
///
/// Consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2018): an upstream admits a request while
/// its load after admission is at most `max(1, ceil(multiple × mean))`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBound {
    /// The multiple of the mean, above 1.
    pub multiple: f64,
}

impl Default for LoadBound {
    fn default() -> Self {
        Self { multiple: 1.25 }
    }
}

impl LoadBound {
    /// The highest load at this mean.
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

    /// Whether one more request may be admitted at this load and mean.
    pub fn admits(&self, load: LoadCount, mean: f64) -> bool {
        load < self.cap(mean)
    }
}
