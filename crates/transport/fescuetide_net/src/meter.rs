//! A counter of control traffic.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use fescuetide_base::ByteCount;

/// Counts the bytes of control traffic, which is all traffic that is not part of serving requests. Clones share the
/// same counter.
#[derive(Clone, Debug, Default)]
pub struct ControlMeter {
    bytes: Arc<AtomicU64>,
}

impl ControlMeter {
    /// Adds a number of sent or received bytes.
    pub fn add(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the total number of bytes counted so far.
    pub fn total(&self) -> ByteCount {
        ByteCount::new(self.bytes.load(Ordering::Relaxed))
    }
}
