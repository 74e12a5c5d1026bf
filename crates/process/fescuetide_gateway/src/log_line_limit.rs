//! Rate limit for log lines about requests.

use fescuetide_base::SpanMillis;
use fescuetide_limits::FixedWindowLimiter;

/// Maximum number of lines of one kind per [`WINDOW`]. The design load of a gateway, 22 requests per second
/// (docs/CAPACITY.md), causes far fewer lines than this.
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
    /// A response of an upstream with a status from 200 to 499 was relayed.
    Served,
    /// A request was refused, failed or denied, its caller disconnected, or a response with a status of 500 or more was
    /// relayed.
    NotServed,
    /// What is known about a request that may crash upstreams has changed.
    CrashEvidence,
    /// A [`FlowNotice`](fescuetide_flow::FlowNotice) of the request scheduler.
    Notice,
}

const KIND_COUNT: usize = 6;

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
            crash_evidence = counts[LogLineKind::CrashEvidence as usize],
            notices = counts[LogLineKind::Notice as usize],
            "log lines suppressed by the rate limit"
        );
    }
}
