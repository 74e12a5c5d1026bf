//! An HTTP/1.1 server for asynchronous handlers, and for blocking handlers that run on worker threads.

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
use crate::http_message::BodySource;
use crate::http_message::HttpBody;
use crate::http_message::HttpRequest;
use crate::http_message::HttpResponse;

/// The timeout for receiving a request head. It also limits how long keep-alive connections stay idle.
const HEAD_TIMEOUT_SECS: u64 = 60;

/// The maximum number of parts of a streamed response that are queued for sending.
const STREAM_QUEUE_PARTS: usize = 16;

/// How long a connection without any request stays open during shutdown, so that a request in transit is still served.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// The delay before accepting again after a failure, for example when no file descriptors are available.
const ACCEPT_RETRY_DELAY_MS: u64 = 50;

/// The settings of an HTTP server.
#[derive(Clone, Debug)]
pub struct HttpServerSettings {
    /// The prefix of the server's thread names.
    pub name: String,
    /// The number of threads for network I/O and asynchronous handlers.
    pub io_threads: usize,
    /// The maximum number of concurrent requests. Requests above the limit immediately get the response that
    /// [`busy`](Self::busy) returns.
    pub request_limit: usize,
    /// The maximum size of a request body in bytes.
    pub body_limit_bytes: usize,
    /// Creates the response to a request above [`request_limit`](Self::request_limit).
    pub busy: fn(&HttpRequest) -> HttpResponse,
    /// The handle for the graceful shutdown of the server.
    pub drain: HttpDrain,
}

impl Default for HttpServerSettings {
    fn default() -> Self {
        Self {
            name: "http".to_owned(),
            io_threads: 1,
            request_limit: 256,
            body_limit_bytes: 16 * 1024 * 1024,
            busy: |_| HttpResponse::full(503, "text/plain", "server is busy\n"),
            drain: HttpDrain::default(),
        }
    }
}

type ResponseBody = UnsyncBoxBody<Bytes, Infallible>;

type BoxedHandler = dyn Fn(HttpRequest) -> BoxFuture<'static, HttpResponse> + Send + Sync;

/// Binds `address` and serves requests with an asynchronous handler until the process exits. The future returned by the
/// handler is dropped if the caller disconnects.
///
/// # Errors
///
/// Returns an error if the address cannot be bound or a thread cannot be started.
pub fn serve_async<F, R>(
    address: SocketAddr,
    settings: HttpServerSettings,
    handle: F,
) -> io::Result<()>
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

/// Binds `address` and serves requests with a blocking handler until the process exits. The handler runs on a worker
/// thread.
///
/// # Errors
///
/// Returns an error if the address cannot be bound or a thread cannot be started.
pub fn serve_blocking<F>(
    address: SocketAddr,
    settings: HttpServerSettings,
    handle: F,
) -> io::Result<()>
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
            tracing::error!(%error, "HTTP handler task failed");
            HttpResponse::full(500, "text/plain", Vec::new())
        }
    }
}

fn start_server(
    address: SocketAddr,
    settings: HttpServerSettings,
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
                    Ok(listener) => accept_until_stop_requested(listener, server).await,
                    Err(error) => {
                        tracing::error!(
                            %error,
                            "failed to add the HTTP listener to the runtime; no requests are served"
                        );
                    }
                }
                // Keep the runtime alive for open connections until the process exits.
                std::future::pending::<()>().await;
            });
        })?;
    Ok(())
}

fn build_runtime(settings: &HttpServerSettings) -> io::Result<Runtime> {
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

async fn accept_until_stop_requested(listener: TcpListener, server: Arc<HttpServer>) {
    tokio::select! {
        () = accept_loop(&listener, &server) => {}
        () = server.drain.stop_requested() => {}
    }
    if let Err(error) = accept_pending(listener, &server) {
        tracing::warn!(%error, "failed to accept pending connections; they are reset when the listener closes");
    }
    server.drain.mark_stopped();
}

/// Accepts all pending connections and closes the listener, which would otherwise reset them. This polls the socket
/// directly, because the readiness state cached by the runtime may be outdated.
fn accept_pending(listener: TcpListener, server: &Arc<HttpServer>) -> io::Result<()> {
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
                tracing::debug!(%error, "failed to accept a connection");
                time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
            }
        }
    }
}

fn start_connection(stream: TcpStream, server: &Arc<HttpServer>) {
    let guard = server.drain.track_connection();
    tokio::spawn(serve_connection(stream, Arc::clone(server), guard));
}

async fn serve_connection(stream: TcpStream, server: Arc<HttpServer>, guard: ConnectionGuard) {
    // Send small parts such as single tokens without delay.
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "failed to set TCP_NODELAY; small response parts may be delayed");
    }
    let (request_sender, request_received) = watch::channel(false);
    let service = service_fn(|request| {
        request_sender.send_replace(true);
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
        () = wait_until_closable(&guard, request_received) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "HTTP connection failed");
    }
}

/// Waits until the server closes its connections, and then until this connection has received its first request or
/// [`FIRST_REQUEST_TIMEOUT`] has passed.
async fn wait_until_closable(guard: &ConnectionGuard, mut request_received: watch::Receiver<bool>) {
    guard.close_requested().await;
    let first_request = request_received.wait_for(|seen| *seen);
    if time::timeout(FIRST_REQUEST_TIMEOUT, first_request)
        .await
        .is_err()
    {
        tracing::debug!("closing a connection that received no request");
    }
}

async fn serve_request(
    request: Request<Incoming>,
    server: Arc<HttpServer>,
) -> Response<ResponseBody> {
    let (head, body) = request.into_parts();
    let body = match Limited::new(body, server.body_limit_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes().to_vec()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLarge),
        Err(_) => Err(BodyError::Incomplete),
    };
    let request = HttpRequest {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
    };
    match Arc::clone(&server.requests).try_acquire_owned() {
        Ok(permit) => into_hyper_response((server.handle)(request).await, Some(permit)),
        Err(_) => into_hyper_response((server.busy)(&request), None),
    }
}

/// Converts a response to its hyper type. The permit of a streamed response is held until the stream ends.
fn into_hyper_response(
    response: HttpResponse,
    permit: Option<OwnedSemaphorePermit>,
) -> Response<ResponseBody> {
    let body = match response.body {
        HttpBody::Full(bytes) => Full::new(Bytes::from(bytes)).boxed_unsync(),
        HttpBody::Stream(parts) => stream_body(parts, permit),
        HttpBody::BlockingSource(source) => stream_body(stream_blocking_source(source), permit),
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
) -> ResponseBody {
    let frames = parts.map(move |part| {
        let _permit = &permit;
        Ok(Frame::data(Bytes::from(part)))
    });
    StreamBody::new(frames.boxed()).boxed_unsync()
}

/// Runs a blocking source on a worker thread and returns its parts as a stream.
fn stream_blocking_source(mut source: Box<dyn BodySource>) -> BoxStream<'static, Vec<u8>> {
    let (sender, receiver) = mpsc::channel(STREAM_QUEUE_PARTS);
    tokio::task::spawn_blocking(move || {
        while let Some(part) = source.next_part() {
            if sender.blocking_send(part).is_err() {
                // The caller has disconnected.
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

fn empty_response(status: u16) -> Response<ResponseBody> {
    let mut response = Response::new(Full::default().boxed_unsync());
    if let Ok(status) = hyper::StatusCode::from_u16(status) {
        *response.status_mut() = status;
    }
    response
}
