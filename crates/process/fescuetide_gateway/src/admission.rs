//! Admission of requests: route lookup, authentication and conversion to the scheduler's [`WorkRequest`].

use std::sync::Arc;

use fescuetide_base::ClockMillis;
use fescuetide_base::StableHash;
use fescuetide_fleet::FleetConfig;
use fescuetide_flow::StreamKey;
use fescuetide_flow::WorkRequest;
use fescuetide_limits::CrashFingerprint;

use crate::exchange::Exchange;

/// Why a request is denied.
pub(crate) enum Denial {
    /// It violates the protocol or a limit. Contains the response status.
    Invalid(u16),
    /// Its route or API key is unknown. Contains the response status.
    Unknown(u16),
    /// No configuration is known yet.
    NotReady,
    /// Its body does not fit into the memory that is left for buffers.
    Overloaded,
}

/// Looks up the route and workspace of a request and converts it to the scheduler's [`WorkRequest`].
pub(crate) fn admit(
    config: &FleetConfig,
    exchange: &mut Exchange,
    now: ClockMillis,
) -> Result<WorkRequest, Denial> {
    let host = exchange.fields.host.as_deref().unwrap_or("");
    let route = config
        .routes
        .find(host, exchange.head.path())
        .ok_or(Denial::Unknown(404))?;
    let owner = exchange
        .fields
        .key
        .as_deref()
        .and_then(|key| config.workspace_of(key));
    if config.needs_keys && !route.is_public && owner.is_none() {
        return Err(Denial::Unknown(401));
    }
    let Some(id) = &exchange.fields.request_id else {
        return Err(Denial::Invalid(400));
    };
    exchange.route = Arc::from(route.name.as_str());
    exchange.workspace = owner.map(|owner| owner.name.clone());
    let mut request = WorkRequest::of_route(route, now, exchange.fields.time_limit);
    request.priority = owner
        .and_then(|owner| owner.priority)
        .unwrap_or(route.priority);
    // Distributes the requests of a route over its pools by their weights.
    request.pool_selector = StableHash::hash_bytes(id.as_bytes());
    request.workspace = owner.map_or(0, |owner| {
        StableHash::hash_bytes(owner.name.as_str().as_bytes())
    });
    let fields = &exchange.fields;
    request.stream = StreamKey::of(fields.resumes.as_ref().unwrap_or(id));
    request.is_taken_up = fields.resumes.is_some() || fields.last_event.is_some();
    request.fingerprint = fingerprint(exchange);
    exchange.fingerprint = request.fingerprint;
    request.part_fingerprints = exchange.fields.prompt.part_fingerprints();
    if route.has_common_prefixes {
        request.prompt = exchange.fields.prompt.clone();
    }
    Ok(request)
}

/// Identifies repeated requests, so that those that crash upstreams can be refused: the same workspace, method, target
/// and body give the same fingerprint.
fn fingerprint(exchange: &Exchange) -> CrashFingerprint {
    let workspace = exchange.workspace.as_ref();
    CrashFingerprint::of_parts(&[
        workspace
            .map_or("", |workspace| workspace.as_str())
            .as_bytes(),
        exchange.head.method().as_bytes(),
        exchange.head.target().as_bytes(),
        &exchange.body,
    ])
}
