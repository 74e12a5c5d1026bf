//! The count of control bytes.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use fescuetide_base::ByteCount;

/// Counts bytes sent and received beyond serving requests. Clones share one count.
#[derive(Clone, Debug, Default)]
pub struct ControlMeter {
    bytes: Arc<AtomicU64>,
}

impl ControlMeter {
    /// Adds bytes sent or received.
    pub fn add(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// All bytes since the start of the process.
    pub fn total(&self) -> ByteCount {
        ByteCount::new(self.bytes.load(Ordering::Relaxed))
    }
}
