//! Rate limit for log lines about requests.

use fescuetide_base::SpanMillis;
use fescuetide_limits::FixedWindowLimiter;

/// Maximum number of lines of one kind per [`WINDOW`]. At the design load of a gateway, 22 requests per second
/// (docs/CAPACITY.md), several times fewer lines are written.
const LINES_PER_WINDOW: u32 = 300;

/// Length of the window.
const WINDOW: SpanMillis = SpanMillis::new(1_000);

/// Kinds of log lines about requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogLineKind {
    /// An attempt was started. The request may not have been sent yet.
    AttemptStarted,
    /// An attempt ended without a response that can be relayed.
    AttemptEnded,
    /// The response of an upstream was relayed.
    Served,
    /// A request was refused, failed or denied, or its caller disconnected.
    NotServed,
}

const KIND_COUNT: usize = 4;

/// Creates the quota for all kinds of lines.
pub(crate) fn new_quota() -> FixedWindowLimiter {
    FixedWindowLimiter::new(KIND_COUNT, LINES_PER_WINDOW, WINDOW)
}

/// Logs the number of suppressed lines of each kind, if there are any.
pub(crate) fn report_suppressed(quota: &mut FixedWindowLimiter) {
    if let Some(counts) = quota.take_suppressed() {
        tracing::warn!(
            sent = counts[LogLineKind::AttemptStarted as usize],
            attempt_ended = counts[LogLineKind::AttemptEnded as usize],
            served = counts[LogLineKind::Served as usize],
            not_served = counts[LogLineKind::NotServed as usize],
            "log lines left out"
        );
    }
}
