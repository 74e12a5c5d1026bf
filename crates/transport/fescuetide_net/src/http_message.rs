//! Requests and responses of the HTTP server.

use futures::stream::BoxStream;

pub use hyper::HeaderMap;
pub use hyper::Method;
pub use hyper::Uri;

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
    /// Parts as they come. When the caller leaves, the stream is dropped.
    Parts(BoxStream<'static, Vec<u8>>),
    /// Parts as they come from a source that blocks its thread. When the caller leaves, the source is dropped.
    Blocking(Box<dyn EventSource>),
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

    /// Creates a streamed response from a source that blocks its thread.
    pub fn stream(content_type: &str, source: impl EventSource) -> Self {
        Self {
            status: 200,
            headers: vec![("content-type", content_type.to_owned())],
            body: HttpBody::Blocking(Box::new(source)),
        }
    }

    /// Creates a streamed response.
    pub fn parts(content_type: &str, parts: BoxStream<'static, Vec<u8>>) -> Self {
        Self {
            status: 200,
            headers: vec![("content-type", content_type.to_owned())],
            body: HttpBody::Parts(parts),
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }
}
