//! Rate limit for log lines about requests.

use fescuetide_base::SpanMillis;
use fescuetide_limits::WindowQuota;

/// Maximum number of lines of one kind per [`WINDOW`]. This is several times what a router writes at its design load.
const LINES_PER_WINDOW: u32 = 300;

/// Length of the window.
const WINDOW: SpanMillis = SpanMillis::new(1_000);

/// Kinds of log lines about requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogLineKind {
    /// A request was sent to an upstream.
    Sent,
    /// An attempt ended without a complete response.
    AttemptEnded,
    /// The response of an upstream was relayed.
    Served,
    /// A request was refused, failed or denied, or its caller disconnected.
    NotServed,
}

const KIND_COUNT: usize = 4;

/// Creates the quota for all kinds of lines.
pub(crate) fn new_quota() -> WindowQuota {
    WindowQuota::new(KIND_COUNT, LINES_PER_WINDOW, WINDOW)
}

/// Logs the number of suppressed lines of each kind, if there are any.
pub(crate) fn report_suppressed(quota: &mut WindowQuota) {
    if let Some(counts) = quota.take_left_out() {
        tracing::warn!(
            sent = counts[LogLineKind::Sent as usize],
            attempt_ended = counts[LogLineKind::AttemptEnded as usize],
            served = counts[LogLineKind::Served as usize],
            not_served = counts[LogLineKind::NotServed as usize],
            "log lines left out"
        );
    }
}
