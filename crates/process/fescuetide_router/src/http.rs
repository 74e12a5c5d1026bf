//! The callers' HTTP server.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use anyhow::Context;
use astra::Body;
use astra::Request;
use astra::Response;
use astra::ResponseBuilder;
use astra::Server;
use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;

use crate::RouterShared;
use crate::call::CallRunner;
use crate::call::CallSpec;
use crate::request::RejectReason;
use crate::request::parse_chat;
use crate::request::parse_service;
use crate::respond::error_response;
use crate::respond::reject_response;
use crate::respond::respond;

/// Path of chat completions.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Prefix of calls of plain services, followed by the pool and the path at the service.
const SERVICE_PREFIX: &str = "/svc/";

/// How long an idle worker thread is kept.
const WORKER_IDLE_SECS: u64 = 30;

/// When callers should come back to a router that does not take requests. The balancer knows others.
const NOT_READY_RETRY_MS: u64 = 1_000;

/// Counts a request as active until dropped.
pub(crate) struct ActiveGuard {
    shared: Arc<RouterShared>,
    start: ClockMillis,
}

impl ActiveGuard {
    fn new(shared: &Arc<RouterShared>) -> Self {
        let active = shared.active.fetch_add(1, Ordering::AcqRel) + 1;
        shared.metrics.gauge("active", u64::from(active));
        Self {
            shared: Arc::clone(shared),
            start: ClockMillis::now(),
        }
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        let span = ClockMillis::now().since(self.start);
        self.shared.metrics.time("request", span);
        self.shared.active.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Binds the callers' address and serves it on its own threads.
pub(crate) fn start(shared: Arc<RouterShared>) -> anyhow::Result<()> {
    let address = shared.settings.listen;
    // The library panics when it cannot bind, so the address is tried first.
    drop(TcpListener::bind(address).with_context(|| format!("cannot listen on {address}"))?);
    let server = Server::bind(address)
        .max_workers(shared.settings.stream_limit)
        .worker_keep_alive(Duration::from_secs(WORKER_IDLE_SECS))
        .http1_only()
        .http1_writev(true);
    thread::Builder::new()
        .name("router-http".to_owned())
        .spawn(move || {
            let result = server.serve(move |request: Request, _| handle(&shared, request));
            if let Err(error) = result {
                tracing::error!(%error, "callers are no longer served");
            }
        })?;
    Ok(())
}

fn handle(shared: &Arc<RouterShared>, mut request: Request) -> Response {
    let path = request.uri().path().to_owned();
    match path.as_str() {
        "/healthz" => text_response(200, "ok\n"),
        "/readyz" if shared.is_ready() => text_response(200, "ready\n"),
        "/readyz" => text_response(503, "not ready\n"),
        CHAT_PATH if request.method() == "POST" => {
            serve_call(shared, |shared| parse_chat(shared, &mut request))
        }
        CHAT_PATH => error_response(405, "use POST", Some("method".to_owned()), None),
        _ => match split_service_path(&request) {
            Some((pool, rest)) => serve_call(shared, |shared| {
                parse_service(shared, &mut request, &pool, rest)
            }),
            None => error_response(404, "no such path", Some("path".to_owned()), None),
        },
    }
}

/// Splits `/svc/{pool}/{path}` into the pool and the path with its query.
fn split_service_path(request: &Request) -> Option<(String, String)> {
    let full = request.uri().path_and_query()?.as_str();
    let rest = full.strip_prefix(SERVICE_PREFIX)?;
    let (pool, path) = rest.split_once('/')?;
    Some((pool.to_owned(), format!("/{path}")))
}

fn serve_call<F>(shared: &Arc<RouterShared>, parse: F) -> Response
where
    F: FnOnce(&RouterShared) -> Result<CallSpec, RejectReason>,
{
    let guard = ActiveGuard::new(shared);
    // The count is raised before the check, so that a drain never misses a request.
    if !shared.is_ready() {
        let message = if shared.is_draining() {
            "router is draining"
        } else {
            "router has not read the classes and the VM list yet"
        };
        let span = SpanMillis::new(NOT_READY_RETRY_MS);
        return error_response(503, message, None, Some(span));
    }
    match parse(shared) {
        Ok(spec) => respond(CallRunner::new(Arc::clone(shared), spec), guard),
        Err(reason) => {
            shared.metrics.count("request.rejected");
            reject_response(&reason)
        }
    }
}

fn text_response(status: u16, text: &'static str) -> Response {
    ResponseBuilder::new()
        .status(status)
        .header("content-type", "text/plain")
        .body(Body::new(text))
        .unwrap_or_else(|_| Response::new(Body::empty()))
}
