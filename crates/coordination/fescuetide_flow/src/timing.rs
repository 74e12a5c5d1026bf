//! Timeouts for attempts without data.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;

use crate::FlowSettings;
use crate::WorkRequest;

/// Timeout multiplier if the upstream sends data on other connections, since the request may just be queued there.
const RESPONSIVE_MULTIPLE: u64 = 3;

/// Timeout for a pause in a stream, as a multiple of the request's pause limit.
const PAUSE_MULTIPLE: u64 = 4;

/// Returns when an attempt sent at `sent_at` that has no response yet is abandoned. `is_responsive` is whether the
/// upstream has sent any data since.
pub(crate) fn first_data_deadline(
    request: &WorkRequest,
    settings: &FlowSettings,
    sent_at: ClockMillis,
    is_responsive: bool,
) -> ClockMillis {
    let target = request.late_at.since(request.arrived).as_millis();
    let limit = settings.silence_limit.as_millis().max(2 * target);
    let multiple = if is_responsive {
        RESPONSIVE_MULTIPLE
    } else {
        1
    };
    // Half of the time that was left when the attempt started is reserved for the next one.
    let half = request.deadline().since(sent_at).as_millis() / 2;
    sent_at + SpanMillis::new((limit * multiple).min(half))
}

/// Returns when a stream whose last event arrived at `last` is abandoned.
pub(crate) fn next_data_deadline(
    request: &WorkRequest,
    settings: &FlowSettings,
    last: ClockMillis,
    is_responsive: bool,
) -> ClockMillis {
    let pause = request.pause_limit.as_millis();
    let limit = settings
        .silence_limit
        .as_millis()
        .max(PAUSE_MULTIPLE * pause);
    let extra = if is_responsive { limit / 2 } else { 0 };
    last + SpanMillis::new(limit + extra)
}
