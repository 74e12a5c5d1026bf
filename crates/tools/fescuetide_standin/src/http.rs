//! Helpers for the HTTP servers of the stand-ins.

use std::net::SocketAddr;
use std::thread;

use fescuetide_net::HttpRequest;
use fescuetide_net::HttpResponse;
use fescuetide_net::HttpServerSettings;
use fescuetide_net::serve_blocking;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The maximum number of concurrent requests. The scale experiment has 288 callers per engine; with the default limit
/// of 256, the requests above it fail with status 503.
const CONCURRENT_REQUEST_LIMIT: usize = 1_024;

/// Serves requests at `address` until the process exits.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn serve<F>(address: SocketAddr, handle: F) -> anyhow::Result<()>
where
    F: Fn(HttpRequest) -> HttpResponse + Send + Sync + 'static,
{
    serve_blocking(address, server_settings(), handle)?;
    loop {
        thread::park();
    }
}

fn server_settings() -> HttpServerSettings {
    HttpServerSettings {
        request_limit: CONCURRENT_REQUEST_LIMIT,
        ..HttpServerSettings::default()
    }
}

/// Creates a response with a JSON body.
pub fn json_response<T: Serialize>(status: u16, value: &T) -> HttpResponse {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    HttpResponse::full(status, "application/json", bytes)
}

/// Creates a response with an empty body.
pub fn empty_response(status: u16) -> HttpResponse {
    HttpResponse::full(status, "text/plain", Vec::new())
}

/// Returns the body of a request, or an empty slice if it was not received.
pub fn request_body(request: &HttpRequest) -> &[u8] {
    match &request.body {
        Ok(body) => body,
        Err(_) => &[],
    }
}

/// Deserializes a JSON body.
///
/// # Errors
///
/// Returns the response with status 400 to send if the body is malformed.
pub fn read_json<T: DeserializeOwned>(request: &HttpRequest) -> Result<T, Box<HttpResponse>> {
    serde_json::from_slice(request_body(request))
        .map_err(|error| Box::new(json_response(400, &error.to_string())))
}

/// Returns the value of a query parameter, without percent-decoding.
pub fn query_value(request: &HttpRequest, name: &str) -> Option<String> {
    let query = request.uri.query()?;
    for pair in query.split('&') {
        let Some((key, value)) = pair.split_once('=') else {
            continue;
        };
        if key == name {
            return Some(value.to_owned());
        }
    }
    None
}

/// Returns the value of a header, if it is text.
pub fn header_value(request: &HttpRequest, name: &str) -> Option<String> {
    let value = request.headers.get(name)?;
    value.to_str().ok().map(str::to_owned)
}
