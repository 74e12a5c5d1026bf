//! Validation of upstream responses.

use fescuetide_flow::AttemptEvent;
use fescuetide_flow::BreakCause;
use fescuetide_flow::DeclineCause;
use fescuetide_http1::ResponseHead;

use crate::codec::ResponseFields;

/// Statuses that tell a caller that its request has not run and will not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Whether a response head is a valid success: signed, for this request and without content encoding, so that the
/// body is the upstream's own.
pub(crate) fn is_valid_success(head: &ResponseHead, fields: &ResponseFields) -> bool {
    head.is_success()
        && fields.is_signed
        && fields.matches_request == Some(true)
        && head.count("content-encoding") == 0
}

/// Classifies a complete response as the result of its attempt.
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
        // The upstream did not state that the request has not run, so the caller must not be told so.
        return AttemptEvent::Broken(BreakCause::Garbled);
    }
    AttemptEvent::Completed {
        status: head.status(),
        load: fields.load,
    }
}
