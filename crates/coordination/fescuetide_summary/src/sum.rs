//! Partial load sums of a pool.

use fescuetide_base::LoadCount;

/// Load sum over a subset of the upstreams of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolSum {
    /// Number of upstreams.
    pub count: u32,
    /// Sum of their loads.
    pub load: u64,
    /// Highest of their loads.
    pub peak: LoadCount,
}

impl PoolSum {
    /// Adds one upstream with the given load.
    pub fn add(&mut self, load: LoadCount) {
        self.count += 1;
        self.load += u64::from(load.get());
        self.peak = self.peak.max(load);
    }

    /// Adds a sum over a disjoint set of upstreams.
    pub fn merge(&mut self, other: &PoolSum) {
        self.count += other.count;
        self.load += other.load;
        self.peak = self.peak.max(other.peak);
    }

    /// Returns the mean load, or 0 if the sum is empty.
    pub fn mean(&self) -> f64 {
        if self.count == 0 {
            return 0.0;
        }
        self.load as f64 / f64::from(self.count)
    }
}
