//! An HTTP/1.1 server for blocking handlers.
//!
//! One thread does all network I/O; each request runs on a worker thread, which it keeps until its response is sent.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
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
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::http_drain::ConnectionGuard;
use crate::http_drain::HttpDrain;

pub use hyper::HeaderMap;
pub use hyper::Method;
pub use hyper::Uri;

/// Longest time for a request's head to arrive; also limits idle connections.
const HEAD_TIMEOUT_SECS: u64 = 60;

/// Parts of a streamed response that may wait for the network.
const STREAM_QUEUE_PARTS: usize = 16;

/// Worker threads beyond the limit, which tell further callers that the server is busy.
const SPARE_WORKERS: usize = 4;

/// How long the server waits after a connection could not be accepted, for example without free file descriptors.
const ACCEPT_PAUSE_MS: u64 = 50;

/// Settings of a server.
#[derive(Clone, Debug)]
pub struct HttpSettings {
    /// Prefix of thread names.
    pub name: String,
    /// Requests that run at once. Further ones are answered with [`busy`](Self::busy) at once.
    pub worker_limit: usize,
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
            worker_limit: 256,
            body_limit_bytes: 16 * 1024 * 1024,
            busy: |_| HttpResponse::whole(503, "text/plain", "server is busy\n"),
            drain: HttpDrain::default(),
        }
    }
}

/// Why a request's body is not there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is over the limit.
    TooLarge,
    /// The connection broke off.
    Broken,
}

/// A request with its whole body.
#[derive(Debug)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Result<Vec<u8>, BodyError>,
    /// Tells whether the caller is still connected.
    pub caller: CallerPresence,
}

/// Tells whether a caller still waits for its response.
#[derive(Clone, Debug, Default)]
pub struct CallerPresence {
    gone: Arc<AtomicBool>,
}

impl CallerPresence {
    /// Whether the caller has closed its connection.
    pub fn is_gone(&self) -> bool {
        self.gone.load(Ordering::Acquire)
    }
}

/// Yields the parts of a streamed response. Each part is sent at once.
pub trait EventSource: Send + 'static {
    /// Waits for the next part; `None` ends the response.
    fn next_event(&mut self) -> Option<Vec<u8>>;
}

/// The body of a response.
pub enum HttpBody {
    /// All bytes at once.
    Whole(Vec<u8>),
    /// Parts as they come. When the caller leaves, the source is dropped.
    Stream(Box<dyn EventSource>),
}

/// A response.
pub struct HttpResponse {
    /// The status.
    pub status: u16,
    /// Header names and values. Those that HTTP does not allow are left out.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: HttpBody,
}

impl HttpResponse {
    /// Creates a response with all bytes at once.
    pub fn whole(status: u16, content_type: &str, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            headers: vec![("content-type", content_type.to_owned())],
            body: HttpBody::Whole(body.into()),
        }
    }

    /// Creates a streamed response.
    pub fn stream(content_type: &str, source: impl EventSource) -> Self {
        Self {
            status: 200,
            headers: vec![("content-type", content_type.to_owned())],
            body: HttpBody::Stream(Box::new(source)),
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }
}

type WireBody = UnsyncBoxBody<Bytes, Infallible>;

/// Binds `address` and serves it on its own threads until the process ends.
///
/// # Errors
///
/// Fails when the address cannot be bound or a thread cannot be started.
pub fn serve_http<F>(address: SocketAddr, settings: HttpSettings, handle: F) -> io::Result<()>
where
    F: Fn(HttpRequest) -> HttpResponse + Send + Sync + 'static,
{
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(settings.worker_limit + SPARE_WORKERS)
        .thread_name(format!("{}-worker", settings.name))
        .build()?;
    let server = Arc::new(HttpServer {
        workers: Semaphore::new(settings.worker_limit),
        body_limit_bytes: settings.body_limit_bytes,
        busy: settings.busy,
        drain: settings.drain,
        handle,
    });
    thread::Builder::new()
        .name(format!("{}-io", settings.name))
        .spawn(move || {
            runtime.block_on(async {
                match TcpListener::from_std(listener) {
                    Ok(listener) => accept_loop(listener, server).await,
                    Err(error) => tracing::error!(%error, "HTTP is not served"),
                }
            });
        })?;
    Ok(())
}

struct HttpServer<F> {
    workers: Semaphore,
    body_limit_bytes: usize,
    busy: fn(&HttpRequest) -> HttpResponse,
    drain: HttpDrain,
    handle: F,
}

async fn accept_loop<F>(listener: TcpListener, server: Arc<HttpServer<F>>)
where
    F: Fn(HttpRequest) -> HttpResponse + Send + Sync + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let guard = server.drain.note_connection();
                tokio::spawn(serve_connection(stream, Arc::clone(&server), guard));
            }
            Err(error) => {
                tracing::debug!(%error, "connection was not accepted");
                tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

async fn serve_connection<F>(stream: TcpStream, server: Arc<HttpServer<F>>, guard: ConnectionGuard)
where
    F: Fn(HttpRequest) -> HttpResponse + Send + Sync + 'static,
{
    // Tokens are small and each is to leave at once.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
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
        () = guard.closing() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "connection ended");
    }
}

async fn serve_request<F>(
    request: Request<Incoming>,
    server: Arc<HttpServer<F>>,
) -> Response<WireBody>
where
    F: Fn(HttpRequest) -> HttpResponse + Send + Sync + 'static,
{
    let (head, body) = request.into_parts();
    let body = match Limited::new(body, server.body_limit_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes().to_vec()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLarge),
        Err(_) => Err(BodyError::Broken),
    };
    let caller = CallerPresence::default();
    let request = HttpRequest {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        caller: caller.clone(),
    };
    let (head_sender, head_receiver) = oneshot::channel();
    let watch = PresenceWatch {
        caller,
        done: false,
    };
    let runner = Arc::clone(&server);
    tokio::task::spawn_blocking(move || {
        // The worker thread is taken until the whole response is sent.
        let response = match runner.workers.try_acquire() {
            Ok(_permit) => return run_handler(&runner.handle, request, head_sender),
            Err(_) => (runner.busy)(&request),
        };
        send_response(response, head_sender);
    });
    let response = head_receiver.await;
    watch.finish();
    // The handler is gone only when it panicked.
    response.unwrap_or_else(|_| empty_response(500))
}

/// Marks the caller as gone when the request is dropped before its response began.
struct PresenceWatch {
    caller: CallerPresence,
    done: bool,
}

impl PresenceWatch {
    fn finish(mut self) {
        self.done = true;
    }
}

impl Drop for PresenceWatch {
    fn drop(&mut self) {
        if !self.done {
            self.caller.gone.store(true, Ordering::Release);
        }
    }
}

fn run_handler<F>(
    handle: &F,
    request: HttpRequest,
    head_sender: oneshot::Sender<Response<WireBody>>,
) where
    F: Fn(HttpRequest) -> HttpResponse,
{
    send_response(handle(request), head_sender);
}

/// Sends the head, and then the parts of a streamed body as they come.
fn send_response(response: HttpResponse, head_sender: oneshot::Sender<Response<WireBody>>) {
    let (body, stream) = match response.body {
        HttpBody::Whole(bytes) => (Full::new(Bytes::from(bytes)).boxed_unsync(), None),
        HttpBody::Stream(source) => {
            let (sender, receiver) = mpsc::channel(STREAM_QUEUE_PARTS);
            (stream_body(receiver), Some((source, sender)))
        }
    };
    let mut builder = Response::builder().status(response.status);
    for (name, value) in response.headers {
        if hyper::header::HeaderValue::from_str(&value).is_err() {
            continue;
        }
        builder = builder.header(name, value);
    }
    let head = builder.body(body).unwrap_or_else(|_| empty_response(500));
    if head_sender.send(head).is_err() {
        return;
    }
    let Some((mut source, sender)) = stream else {
        return;
    };
    while let Some(part) = source.next_event() {
        if sender.blocking_send(Bytes::from(part)).is_err() {
            // The caller has left.
            return;
        }
    }
}

fn stream_body(receiver: mpsc::Receiver<Bytes>) -> WireBody {
    let parts = futures::stream::unfold(receiver, |mut receiver| async move {
        let part = receiver.recv().await?;
        Some((Ok(Frame::data(part)), receiver))
    });
    StreamBody::new(parts.boxed()).boxed_unsync()
}

fn empty_response(status: u16) -> Response<WireBody> {
    let mut response = Response::new(Full::default().boxed_unsync());
    if let Ok(status) = hyper::StatusCode::from_u16(status) {
        *response.status_mut() = status;
    }
    response
}
