//! Small helpers for the stand-ins' HTTP servers.

use std::net::SocketAddr;

use astra::Body;
use astra::Request;
use astra::Response;
use astra::ResponseBuilder;
use astra::Server;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Most connections of a stand-in; each holds a thread.
const WORKER_LIMIT: usize = 256;

/// Serves until the process ends.
///
/// # Errors
///
/// Returns when the listener fails.
pub fn serve<F>(address: SocketAddr, handle: F) -> anyhow::Result<()>
where
    F: Fn(Request) -> Response + Send + Sync + 'static,
{
    Server::bind(address)
        .max_workers(WORKER_LIMIT)
        .http1_only()
        .http1_writev(true)
        .serve(move |request: Request, _| handle(request))?;
    Ok(())
}

/// A response with a JSON body.
pub fn json_response<T: Serialize>(status: u16, value: &T) -> Response {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    ResponseBuilder::new()
        .status(status)
        .header("content-type", "application/json")
        .body(Body::new(bytes))
        .unwrap_or_else(|_| Response::new(Body::empty()))
}

/// A response without body.
pub fn empty_response(status: u16) -> Response {
    ResponseBuilder::new()
        .status(status)
        .body(Body::empty())
        .unwrap_or_else(|_| Response::new(Body::empty()))
}

/// Reads the whole body.
pub fn read_body(request: &mut Request) -> Vec<u8> {
    let mut body = Vec::new();
    for part in request.body_mut() {
        match part {
            Ok(part) => body.extend_from_slice(&part),
            Err(_) => break,
        }
    }
    body
}

/// Reads a JSON body.
///
/// # Errors
///
/// Gives the response to send when the body is malformed.
pub fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, Box<Response>> {
    let body = read_body(request);
    serde_json::from_slice(&body).map_err(|error| Box::new(json_response(400, &error.to_string())))
}

/// A parameter of the query.
pub fn query_value(request: &Request, name: &str) -> Option<String> {
    let query = request.uri().query()?;
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
pub fn header_value(request: &Request, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}
