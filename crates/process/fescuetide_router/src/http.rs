//! The HTTP server for callers.

use std::sync::Arc;

use anyhow::Context;
use fescuetide_base::SpanMillis;
use fescuetide_net::HttpRequest;
use fescuetide_net::HttpResponse;
use fescuetide_net::HttpServerSettings;
use fescuetide_net::serve_async;

use crate::RouterShared;
use crate::active::ActiveGuard;
use crate::call::CallSpec;
use crate::request::RejectReason;
use crate::request::parse_chat;
use crate::request::parse_service;
use crate::respond::error_response;
use crate::respond::refuse_response;
use crate::respond::reject_response;
use crate::respond::respond;
use crate::runner::CallRunner;

/// Path of chat completions.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Path prefix of calls to plain services, followed by the pool and the path at the service.
const SERVICE_PREFIX: &str = "/svc/";

/// Retry delay for callers while the router is not ready. The load balancer can pick another router.
const NOT_READY_RETRY_MS: u64 = 1_000;

/// Retry delay for callers while the router is at its limit of concurrent requests.
const BUSY_RETRY: SpanMillis = SpanMillis::new(1_000);

/// Binds the listen address for callers and serves it on its own threads.
pub(crate) fn start(shared: Arc<RouterShared>) -> anyhow::Result<()> {
    let address = shared.settings.listen;
    let settings = HttpServerSettings {
        name: "router-http".to_owned(),
        io_threads: shared.settings.traffic_threads,
        request_limit: shared.settings.stream_limit,
        body_limit_bytes: shared.settings.body_limit_bytes,
        busy: |request| {
            refuse_response(
                request,
                "router is at its limit of concurrent requests",
                BUSY_RETRY,
            )
        },
        drain: shared.http_drain.clone(),
    };
    serve_async(address, settings, move |request| {
        handle(Arc::clone(&shared), request)
    })
    .with_context(|| format!("cannot listen on {address}"))
}

async fn handle(shared: Arc<RouterShared>, request: HttpRequest) -> HttpResponse {
    let path = request.uri.path().to_owned();
    match path.as_str() {
        "/healthz" => text_response(200, "ok\n"),
        "/readyz" if shared.reports_ready() => text_response(200, "ready\n"),
        "/readyz" => text_response(503, "not ready\n"),
        CHAT_PATH if request.method == "POST" => {
            serve_call(&shared, &request, |shared| parse_chat(shared, &request)).await
        }
        CHAT_PATH => error_response(405, "use POST", Some("method".to_owned())),
        _ => match split_service_path(&request) {
            Some((pool, rest)) => {
                let parse = |shared: &RouterShared| parse_service(shared, &request, &pool, rest);
                serve_call(&shared, &request, parse).await
            }
            None => error_response(404, "no such path", Some("path".to_owned())),
        },
    }
}

/// Splits `/svc/{pool}/{path}` into the pool and the path with its query.
fn split_service_path(request: &HttpRequest) -> Option<(String, String)> {
    let full = request.uri.path_and_query()?.as_str();
    let rest = full.strip_prefix(SERVICE_PREFIX)?;
    let (pool, path) = rest.split_once('/')?;
    Some((pool.to_owned(), format!("/{path}")))
}

async fn serve_call<F>(shared: &Arc<RouterShared>, request: &HttpRequest, parse: F) -> HttpResponse
where
    F: FnOnce(&RouterShared) -> Result<CallSpec, RejectReason>,
{
    let guard = ActiveGuard::new(shared);
    // The guard is created before the check, so that a drain never misses a request.
    if !shared.accepts_requests() {
        let message = if shared.is_draining() {
            "router is draining"
        } else {
            "router has not read the classes and the VM list yet"
        };
        let span = SpanMillis::new(NOT_READY_RETRY_MS);
        return refuse_response(request, message, span);
    }
    match parse(shared) {
        Ok(spec) => respond(CallRunner::new(Arc::clone(shared), spec), guard).await,
        Err(reason) => {
            shared.metrics.count("request.rejected");
            reject_response(&reason)
        }
    }
}

fn text_response(status: u16, text: &str) -> HttpResponse {
    HttpResponse::full(status, "text/plain", text)
}
