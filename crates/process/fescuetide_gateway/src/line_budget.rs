//! The bound on log lines about requests.

use fescuetide_base::SpanMillis;
use fescuetide_limits::FixedWindowLimiter;

/// Lines of one kind within [`WINDOW`], several times what a router at its planned load writes.
const LINE_LIMIT: u32 = 300;

/// How long a window lasts.
const WINDOW: SpanMillis = SpanMillis::new(1_000);

/// Kinds of lines about requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LineKind {
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
pub(crate) fn new_quota() -> FixedWindowLimiter {
    FixedWindowLimiter::new(KIND_COUNT, LINE_LIMIT, WINDOW)
}

/// Writes how many lines were left out, if any were.
pub(crate) fn report_left_out(quota: &mut FixedWindowLimiter) {
    if let Some(counts) = quota.take_suppressed() {
        tracing::warn!(
            sent = counts[LineKind::Sent as usize],
            attempt_ended = counts[LineKind::AttemptEnded as usize],
            served = counts[LineKind::Served as usize],
            not_served = counts[LineKind::NotServed as usize],
            "log lines left out"
        );
    }
}
