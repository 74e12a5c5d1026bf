//! An HTTP/1.1 server for asynchronous handlers, and for blocking ones that run on worker threads.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::BoxStream;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;

use crate::http_drain::ConnectionGuard;
use crate::http_drain::HttpDrain;
use crate::http_message::BodyError;
use crate::http_message::EventSource;
use crate::http_message::HttpBody;
use crate::http_message::HttpRequest;
use crate::http_message::HttpResponse;

/// Longest time for a request's head to arrive; also limits idle connections.
const HEAD_TIMEOUT_SECS: u64 = 60;

/// Parts of a streamed response that may wait for the network.
const STREAM_QUEUE_PARTS: usize = 16;

/// How long a connection that has brought no request is kept open for one when the server ends. It covers a request
/// that is on its way.
const FIRST_REQUEST_LIMIT: Duration = Duration::from_secs(1);

/// How long the server waits after a connection could not be accepted, for example without free file descriptors.
const ACCEPT_PAUSE_MS: u64 = 50;

/// Settings of a server.
#[derive(Clone, Debug)]
pub struct HttpSettings {
    /// Prefix of thread names.
    pub name: String,
    /// Threads that do network I/O and run asynchronous handlers.
    pub io_threads: usize,
    /// Requests that are served at once. Further ones are answered with [`busy`](Self::busy) at once.
    pub request_limit: usize,
    /// The largest request body in bytes.
    pub body_limit_bytes: usize,
    /// Makes the response to a request above the limit.
    pub busy: fn(&HttpRequest) -> HttpResponse,
    /// Closes the server's connections.
    pub drain: HttpDrain,
}

impl Default for HttpSettings {
    fn default() -> Self {
        Self {
            name: "http".to_owned(),
            io_threads: 1,
            request_limit: 256,
            body_limit_bytes: 16 * 1024 * 1024,
            busy: |_| HttpResponse::whole(503, "text/plain", "server is busy\n"),
            drain: HttpDrain::default(),
        }
    }
}

type WireBody = UnsyncBoxBody<Bytes, Infallible>;

type BoxedHandler = dyn Fn(HttpRequest) -> BoxFuture<'static, HttpResponse> + Send + Sync;

/// Binds `address` and serves it with an asynchronous handler until the process ends. The handler's future is dropped
/// when the caller leaves.
///
/// # Errors
///
/// Fails when the address cannot be bound or a thread cannot be started.
pub fn serve_async<F, R>(address: SocketAddr, settings: HttpSettings, handle: F) -> io::Result<()>
where
    F: Fn(HttpRequest) -> R + Send + Sync + 'static,
    R: Future<Output = HttpResponse> + Send + 'static,
{
    start_server(
        address,
        settings,
        Box::new(move |request| handle(request).boxed()),
    )
}

/// Binds `address` and serves it until the process ends with a handler that blocks a worker thread.
///
/// # Errors
///
/// Fails when the address cannot be bound or a thread cannot be started.
pub fn serve_http<F>(address: SocketAddr, settings: HttpSettings, handle: F) -> io::Result<()>
where
    F: Fn(HttpRequest) -> HttpResponse + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    start_server(
        address,
        settings,
        Box::new(move |request| run_blocking(Arc::clone(&handle), request).boxed()),
    )
}

async fn run_blocking<F>(handle: Arc<F>, request: HttpRequest) -> HttpResponse
where
    F: Fn(HttpRequest) -> HttpResponse + Send + Sync + 'static,
{
    match tokio::task::spawn_blocking(move || handle(request)).await {
        Ok(response) => response,
        Err(error) => {
            tracing::error!(%error, "handler failed");
            HttpResponse::whole(500, "text/plain", Vec::new())
        }
    }
}

fn start_server(
    address: SocketAddr,
    settings: HttpSettings,
    handle: Box<BoxedHandler>,
) -> io::Result<()> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let runtime = build_runtime(&settings)?;
    let server = Arc::new(HttpServer {
        requests: Arc::new(Semaphore::new(settings.request_limit)),
        body_limit_bytes: settings.body_limit_bytes,
        busy: settings.busy,
        drain: settings.drain,
        handle,
    });
    thread::Builder::new()
        .name(format!("{}-accept", settings.name))
        .spawn(move || {
            runtime.block_on(async {
                match TcpListener::from_std(listener) {
                    Ok(listener) => accept_until_stopped(listener, server).await,
                    Err(error) => tracing::error!(%error, "HTTP is not served"),
                }
                // Connections that are open go on until the process ends.
                std::future::pending::<()>().await;
            });
        })?;
    Ok(())
}

fn build_runtime(settings: &HttpSettings) -> io::Result<Runtime> {
    let mut builder = match settings.io_threads {
        0 | 1 => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    if settings.io_threads > 1 {
        builder.worker_threads(settings.io_threads);
    }
    builder
        .enable_all()
        .max_blocking_threads(settings.request_limit)
        .thread_name(format!("{}-worker", settings.name))
        .build()
}

struct HttpServer {
    requests: Arc<Semaphore>,
    body_limit_bytes: usize,
    busy: fn(&HttpRequest) -> HttpResponse,
    drain: HttpDrain,
    handle: Box<BoxedHandler>,
}

async fn accept_until_stopped(listener: TcpListener, server: Arc<HttpServer>) {
    tokio::select! {
        () = accept_loop(&listener, &server) => {}
        () = server.drain.stopping() => {}
    }
    if let Err(error) = accept_waiting(listener, &server) {
        tracing::warn!(%error, "connections that waited for the server were reset");
    }
    server.drain.note_stopped();
}

/// Accepts all connections that wait and closes the listener, which would reset them otherwise. The socket is asked
/// itself: what the runtime knows of it may be older.
fn accept_waiting(listener: TcpListener, server: &Arc<HttpServer>) -> io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        };
        stream.set_nonblocking(true)?;
        start_connection(TcpStream::from_std(stream)?, server);
    }
}

async fn accept_loop(listener: &TcpListener, server: &Arc<HttpServer>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => start_connection(stream, server),
            Err(error) => {
                tracing::debug!(%error, "connection was not accepted");
                time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

fn start_connection(stream: TcpStream, server: &Arc<HttpServer>) {
    let guard = server.drain.note_connection();
    tokio::spawn(serve_connection(stream, Arc::clone(server), guard));
}

async fn serve_connection(stream: TcpStream, server: Arc<HttpServer>, guard: ConnectionGuard) {
    // Tokens are small and each is to leave at once.
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "small parts of responses may be delayed");
    }
    let (first, first_seen) = watch::channel(false);
    let service = service_fn(|request| {
        first.send_replace(true);
        let server = Arc::clone(&server);
        async move { Ok::<_, Infallible>(serve_request(request, server).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_secs(HEAD_TIMEOUT_SECS))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = may_close(&guard, first_seen) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "connection ended");
    }
}

/// Waits until the server closes its connections and this one has brought its first request, or had the time for it.
async fn may_close(guard: &ConnectionGuard, mut first_seen: watch::Receiver<bool>) {
    guard.closing().await;
    let first = first_seen.wait_for(|seen| *seen);
    if time::timeout(FIRST_REQUEST_LIMIT, first).await.is_err() {
        tracing::debug!("connection without a request is closed");
    }
}

async fn serve_request(request: Request<Incoming>, server: Arc<HttpServer>) -> Response<WireBody> {
    let (head, body) = request.into_parts();
    let body = match Limited::new(body, server.body_limit_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes().to_vec()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLarge),
        Err(_) => Err(BodyError::Broken),
    };
    let request = HttpRequest {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
    };
    match Arc::clone(&server.requests).try_acquire_owned() {
        Ok(permit) => wire_response((server.handle)(request).await, Some(permit)),
        Err(_) => wire_response((server.busy)(&request), None),
    }
}

/// Builds the response. The permit is held until the last part is sent.
fn wire_response(
    response: HttpResponse,
    permit: Option<OwnedSemaphorePermit>,
) -> Response<WireBody> {
    let body = match response.body {
        HttpBody::Whole(bytes) => Full::new(Bytes::from(bytes)).boxed_unsync(),
        HttpBody::Parts(parts) => stream_body(parts, permit),
        HttpBody::Blocking(source) => stream_body(pump_source(source), permit),
    };
    let mut builder = Response::builder().status(response.status);
    for (name, value) in response.headers {
        if hyper::header::HeaderValue::from_str(&value).is_err() {
            continue;
        }
        builder = builder.header(name, value);
    }
    builder.body(body).unwrap_or_else(|_| empty_response(500))
}

fn stream_body(
    parts: BoxStream<'static, Vec<u8>>,
    permit: Option<OwnedSemaphorePermit>,
) -> WireBody {
    let frames = parts.map(move |part| {
        let _held = &permit;
        Ok(Frame::data(Bytes::from(part)))
    });
    StreamBody::new(frames.boxed()).boxed_unsync()
}

/// Runs a blocking source on a worker thread.
fn pump_source(mut source: Box<dyn EventSource>) -> BoxStream<'static, Vec<u8>> {
    let (sender, receiver) = mpsc::channel(STREAM_QUEUE_PARTS);
    tokio::task::spawn_blocking(move || {
        while let Some(part) = source.next_event() {
            if sender.blocking_send(part).is_err() {
                // The caller has left.
                return;
            }
        }
    });
    futures::stream::unfold(receiver, |mut receiver| async move {
        let part = receiver.recv().await?;
        Some((part, receiver))
    })
    .boxed()
}

fn empty_response(status: u16) -> Response<WireBody> {
    let mut response = Response::new(Full::default().boxed_unsync());
    if let Ok(status) = hyper::StatusCode::from_u16(status) {
        *response.status_mut() = status;
    }
    response
}
