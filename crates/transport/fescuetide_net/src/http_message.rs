//! Request and response types of the HTTP server.

use futures::stream::BoxStream;

pub use hyper::HeaderMap;
pub use hyper::Method;
pub use hyper::Uri;

/// The reason why a request body could not be received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than [`HttpServerSettings::body_limit_bytes`](crate::HttpServerSettings::body_limit_bytes).
    TooLarge,
    /// The connection failed before the body was complete, or the body was malformed.
    Incomplete,
}

/// A request with its complete body.
#[derive(Debug)]
pub struct HttpRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The request headers.
    pub headers: HeaderMap,
    /// The complete body, or the reason why it could not be received.
    pub body: Result<Vec<u8>, BodyError>,
}

/// A blocking source of the parts of a streamed response. Each part is sent without waiting for the next one.
pub trait BodySource: Send + 'static {
    /// Waits for the next part. `None` ends the response.
    fn next_part(&mut self) -> Option<Vec<u8>>;
}

/// The body of a response.
pub enum HttpBody {
    /// A complete body.
    Full(Vec<u8>),
    /// A streamed body. The stream is dropped if the caller disconnects.
    Stream(BoxStream<'static, Vec<u8>>),
    /// A streamed body from a blocking source, which runs on a worker thread. The source is dropped if the caller
    /// disconnects.
    BlockingSource(Box<dyn BodySource>),
}

/// A response to a request.
pub struct HttpResponse {
    /// The HTTP status code.
    pub status: u16,
    /// Header names and values. Headers with invalid values are omitted.
    pub headers: Vec<(&'static str, String)>,
    /// The response body.
    pub body: HttpBody,
}

impl HttpResponse {
    /// Creates a response with a complete body.
    pub fn full(status: u16, content_type: &str, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            headers: vec![("content-type", content_type.to_owned())],
            body: HttpBody::Full(body.into()),
        }
    }

    /// Creates a streamed response with status 200 from a blocking source.
    pub fn blocking_stream(content_type: &str, source: impl BodySource) -> Self {
        Self {
            status: 200,
            headers: vec![("content-type", content_type.to_owned())],
            body: HttpBody::BlockingSource(Box::new(source)),
        }
    }

    /// Creates a streamed response with status 200 from an asynchronous stream.
    pub fn async_stream(content_type: &str, stream: BoxStream<'static, Vec<u8>>) -> Self {
        Self {
            status: 200,
            headers: vec![("content-type", content_type.to_owned())],
            body: HttpBody::Stream(stream),
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }
}
