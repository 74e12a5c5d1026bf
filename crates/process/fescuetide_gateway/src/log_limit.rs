//! The bound on log lines about requests.

use fescuetide_base::SpanMillis;
use fescuetide_limits::WindowQuota;

/// Lines of one kind within [`WINDOW`], several times what a router at its planned load writes.
const LINES_PER_WINDOW: u32 = 300;

/// How long a window lasts.
const WINDOW: SpanMillis = SpanMillis::new(1_000);

/// Kinds of lines about requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogLineKind {
    /// A request was sent to an upstream.
    Sent,
    /// An attempt ended without a whole answer.
    AttemptEnded,
    /// A request was answered by an upstream.
    Served,
    /// A request was refused, failed or denied, or its caller left.
    NotServed,
}

const KIND_COUNT: usize = 4;

/// The quota of all kinds.
pub(crate) fn new_quota() -> WindowQuota {
    WindowQuota::new(KIND_COUNT, LINES_PER_WINDOW, WINDOW)
}

/// Writes how many lines were left out, if any were.
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
