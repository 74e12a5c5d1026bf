//! Sums over a pool.

use fescuetide_base::LoadCount;

/// Load sums over some upstreams of one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolSum {
    /// Upstreams counted.
    pub count: u32,
    /// Sum of their loads.
    pub load: u64,
    /// Highest load among them.
    pub peak: LoadCount,
}

impl PoolSum {
    /// Adds one upstream.
    pub fn add(&mut self, load: LoadCount) {
        self.count += 1;
        self.load += u64::from(load.get());
        self.peak = self.peak.max(load);
    }

    /// Adds another sum over other upstreams.
    pub fn merge(&mut self, other: &PoolSum) {
        self.count += other.count;
        self.load += other.load;
        self.peak = self.peak.max(other.peak);
    }

    /// The mean load, 0 when nothing is counted.
    pub fn mean(&self) -> f64 {
        if self.count == 0 {
            return 0.0;
        }
        self.load as f64 / f64::from(self.count)
    }
}
