//! The outcome reported for requests that are refused before any attempt.

use fescuetide_net::HttpRequest;
use fescuetide_wire::api::CallOutcome;
use fescuetide_wire::api::KEY_HEADER;

/// Returns the outcome of a request that this router refuses before any attempt.
///
/// A request without an idempotency key cannot have run elsewhere. With a key, an earlier send of the same request may
/// have run. Only the claims on the key show that, and they are not looked up for a refused request.
pub(crate) fn outcome_before_attempts(request: &HttpRequest) -> CallOutcome {
    if request.headers.contains_key(KEY_HEADER) {
        CallOutcome::Unknown
    } else {
        CallOutcome::NotRun
    }
}
