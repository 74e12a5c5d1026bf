//! How long an attempt may be silent.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;

use crate::FlowSettings;
use crate::WorkRequest;

/// An attempt at an upstream that is heard of on other connections may be silent for this multiple of the limit: it may
/// only wait for its turn there.
const HEARD_MULTIPLE: u64 = 3;

/// A pause within a stream may last this multiple of its target.
const PAUSE_MULTIPLE: u64 = 4;

/// When an attempt that was sent at `sent_at` and has no response yet is given up on. `is_heard` says whether its
/// upstream was heard of since.
pub(crate) fn first_part_due(
    request: &WorkRequest,
    settings: &FlowSettings,
    sent_at: ClockMillis,
    is_heard: bool,
) -> ClockMillis {
    let target = request.late_at.since(request.arrived).as_millis();
    let limit = settings.silence_limit.as_millis().max(2 * target);
    let multiple = if is_heard { HEARD_MULTIPLE } else { 1 };
    // Half of the time that was left at the start stays for the next attempt.
    let half = request.deadline().since(sent_at).as_millis() / 2;
    sent_at + SpanMillis::new((limit * multiple).min(half))
}

/// When a stream whose last event came at `last` is given up on.
pub(crate) fn next_part_due(
    request: &WorkRequest,
    settings: &FlowSettings,
    last: ClockMillis,
    is_heard: bool,
) -> ClockMillis {
    let pause = request.pause_limit.as_millis();
    let limit = settings
        .silence_limit
        .as_millis()
        .max(PAUSE_MULTIPLE * pause);
    let extra = if is_heard { limit / 2 } else { 0 };
    last + SpanMillis::new(limit + extra)
}
