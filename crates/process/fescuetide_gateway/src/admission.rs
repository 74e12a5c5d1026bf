//! Which requests are handed to the decisions.

use std::sync::Arc;

use fescuetide_base::ClockMillis;
use fescuetide_base::StableHash;
use fescuetide_fleet::FleetConfig;
use fescuetide_flow::WorkRequest;
use fescuetide_limits::CrashFingerprint;

use crate::exchange::Exchange;

/// Why a request is not taken in.
pub(crate) enum Denial {
    /// It breaks the protocol or a limit.
    Bad(u16),
    /// Its route or key is not known.
    Unknown(u16),
    /// No configuration is known yet.
    Unready,
}

/// Finds a request's route and workspace and describes it to the decisions.
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
    let holder = exchange
        .fields
        .key
        .as_deref()
        .and_then(|key| config.workspace_of(key));
    if config.needs_keys && !route.is_public && holder.is_none() {
        return Err(Denial::Unknown(401));
    }
    let Some(id) = &exchange.fields.request_id else {
        return Err(Denial::Bad(400));
    };
    exchange.route = Arc::from(route.name.as_str());
    exchange.workspace = holder.map(|holder| holder.name.clone());
    let mut request = WorkRequest::of_route(route, now, exchange.fields.time_limit);
    request.rank = holder.and_then(|holder| holder.rank).unwrap_or(route.rank);
    request.spread = StableHash::of_bytes(id.as_bytes());
    request.workspace = holder.map_or(0, |holder| {
        StableHash::of_bytes(holder.name.as_str().as_bytes())
    });
    request.fingerprint = fingerprint(exchange);
    if route.shares_prompts {
        request.prompt = exchange.fields.prompt.clone();
    }
    Ok(request)
}

/// Identifies a request among those that crash upstreams: one that comes again has its path, caller and body. Requests
/// without a body cannot be told from others of their path, so each counts as a request of its own.
fn fingerprint(exchange: &Exchange) -> CrashFingerprint {
    let workspace = exchange.workspace.as_ref();
    let content = match exchange.body.is_empty() {
        true => exchange.request_id().as_bytes(),
        false => &exchange.body,
    };
    CrashFingerprint::of_parts(&[
        workspace
            .map_or("", |workspace| workspace.as_str())
            .as_bytes(),
        exchange.head.target().as_bytes(),
        content,
    ])
}
