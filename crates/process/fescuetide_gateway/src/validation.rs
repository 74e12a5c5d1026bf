//! Whether an upstream's answer is sound.

use fescuetide_flow::AttemptEvent;
use fescuetide_flow::BreakCause;
use fescuetide_flow::DeclineCause;
use fescuetide_http1::ResponseHead;

use crate::codec::ResponseFields;

/// Statuses that promise a caller that its request has not run and will not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Whether a head is that of a sound success: the upstream's own whole body may follow.
pub(crate) fn is_valid_success(head: &ResponseHead, fields: &ResponseFields) -> bool {
    head.is_success()
        && fields.is_signed
        && fields.matches_request == Some(true)
        && head.count("content-encoding") == 0
}

/// What a whole answer means for its attempt.
pub(crate) fn classify_response(head: &ResponseHead, fields: &ResponseFields) -> AttemptEvent {
    if fields.is_misdirected {
        return AttemptEvent::Declined(DeclineCause::Misdirected, None);
    }
    if fields.is_not_run && !head.is_success() {
        return AttemptEvent::Declined(DeclineCause::Full, fields.load);
    }
    if head.is_success() && !is_valid_success(head, fields) {
        return AttemptEvent::Broken(BreakCause::Garbled);
    }
    if head.status() < 200 || NOT_RUN_STATUSES.contains(&head.status()) {
        // Without the upstream's statement that it did not run, this promise would be untrue.
        return AttemptEvent::Broken(BreakCause::Garbled);
    }
    AttemptEvent::Completed {
        status: head.status(),
        load: fields.load,
    }
}
