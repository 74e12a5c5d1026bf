//! Tracking of requests in progress.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use fescuetide_base::ClockMillis;

use crate::RouterShared;

/// Counts a request as active until dropped, then records its duration.
pub(crate) struct ActiveGuard {
    shared: Arc<RouterShared>,
    start: ClockMillis,
}

impl ActiveGuard {
    pub(crate) fn new(shared: &Arc<RouterShared>) -> Self {
        let active = shared.active.fetch_add(1, Ordering::AcqRel) + 1;
        shared.metrics.gauge("active", u64::from(active));
        Self {
            shared: Arc::clone(shared),
            start: ClockMillis::now(),
        }
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        let span = ClockMillis::now().since(self.start);
        self.shared.metrics.time("request", span);
        self.shared.active.fetch_sub(1, Ordering::AcqRel);
    }
}
