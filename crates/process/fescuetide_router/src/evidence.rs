//! What may be said of a request that is refused before this router made an attempt.

use fescuetide_net::HttpRequest;
use fescuetide_wire::api::CallOutcome;
use fescuetide_wire::api::KEY_HEADER;

/// The outcome of a request that this router refuses before any attempt.
///
/// Without an idempotency key, nothing else can run the request. With one, an earlier send of the same request may have
/// run, and only the claims on the key could tell.
pub(crate) fn outcome_before_attempts(request: &HttpRequest) -> CallOutcome {
    if request.headers.contains_key(KEY_HEADER) {
        CallOutcome::Unknown
    } else {
        CallOutcome::NotRun
    }
}
