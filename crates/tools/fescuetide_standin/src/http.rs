//! Small helpers for the stand-ins' HTTP servers.

use std::net::SocketAddr;
use std::thread;

use fescuetide_net::HttpRequest;
use fescuetide_net::HttpResponse;
use fescuetide_net::HttpServerSettings;
use fescuetide_net::serve_blocking;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Requests that a stand-in serves at once. In the scale experiment one engine serves 288 callers; at the default of 256
/// the others were answered with status 503.
const REQUEST_LIMIT: usize = 1_024;

/// Serves until the process ends.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn serve<F>(address: SocketAddr, handle: F) -> anyhow::Result<()>
where
    F: Fn(HttpRequest) -> HttpResponse + Send + Sync + 'static,
{
    serve_blocking(address, stand_in_settings(), handle)?;
    loop {
        thread::park();
    }
}

fn stand_in_settings() -> HttpServerSettings {
    HttpServerSettings {
        request_limit: REQUEST_LIMIT,
        ..HttpServerSettings::default()
    }
}

/// A response with a JSON body.
pub fn json_response<T: Serialize>(status: u16, value: &T) -> HttpResponse {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    HttpResponse::full(status, "application/json", bytes)
}

/// A response without body.
pub fn empty_response(status: u16) -> HttpResponse {
    HttpResponse::full(status, "text/plain", Vec::new())
}

/// The body, empty when it did not arrive.
pub fn body_of(request: &HttpRequest) -> &[u8] {
    match &request.body {
        Ok(body) => body,
        Err(_) => &[],
    }
}

/// Reads a JSON body.
///
/// # Errors
///
/// Gives the response to send when the body is malformed.
pub fn read_json<T: DeserializeOwned>(request: &HttpRequest) -> Result<T, Box<HttpResponse>> {
    serde_json::from_slice(body_of(request))
        .map_err(|error| Box::new(json_response(400, &error.to_string())))
}

/// A parameter of the query.
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

/// A header as text.
pub fn header_value(request: &HttpRequest, name: &str) -> Option<String> {
    let value = request.headers.get(name)?;
    value.to_str().ok().map(str::to_owned)
}
