//! Validation of upstream responses.

use fescuetide_flow::AttemptEvent;
use fescuetide_flow::BreakCause;
use fescuetide_flow::DeclineCause;
use fescuetide_flow::UpstreamAnnouncement;
use fescuetide_http1::ResponseHead;

use crate::codec::ResponseFields;

/// Statuses from which a caller may conclude that its request has not run and will not run. They are never relayed:
/// with [`ResponseFields::is_not_run`], the attempt is declined; without it, the request may have run, so the attempt
/// is broken.
const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Whether a response head is a valid success: it has the upstream's signature field and the id of this request, and no
/// content encoding, so that the body is the one that the upstream generated for this request.
pub(crate) fn is_valid_success(head: &ResponseHead, fields: &ResponseFields) -> bool {
    head.is_success()
        && fields.has_signature_field
        && fields.matches_request == Some(true)
        && head.count("content-encoding") == 0
}

/// What a response announces about the upstream that it was expected from, or `None` if it comes from another one.
pub(crate) fn announcement_of(fields: &ResponseFields) -> Option<UpstreamAnnouncement> {
    if fields.is_misdirected {
        return None;
    }
    Some(UpstreamAnnouncement {
        // A pause belongs to a response that states that the request did not run.
        pause: fields.announcement.pause.filter(|_| fields.is_not_run),
        ..fields.announcement
    })
}

/// Classifies a complete response as the result of its attempt.
pub(crate) fn classify_response(head: &ResponseHead, fields: &ResponseFields) -> AttemptEvent {
    if fields.is_misdirected {
        return AttemptEvent::Declined(DeclineCause::Misdirected, None);
    }
    if fields.is_not_run && !head.is_success() {
        // The upstream has no capacity, or the request expired in its queue.
        return AttemptEvent::Declined(DeclineCause::Full, fields.load);
    }
    if head.is_success() && !is_valid_success(head, fields) {
        // A success without the signature field or the request id, or with a content encoding, is not relayed.
        return AttemptEvent::Broken(BreakCause::Garbled);
    }
    if head.status() < 200 || NOT_EXECUTED_STATUSES.contains(&head.status()) {
        // The request may have run, since the upstream did not state that it did not run it.
        return AttemptEvent::Broken(BreakCause::Garbled);
    }
    AttemptEvent::Completed {
        status: head.status(),
        load: fields.load,
    }
}
