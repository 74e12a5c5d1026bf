//! Stand-in of the platform's log service.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;

use fescuetide_net::HttpRequest;
use fescuetide_net::HttpResponse;
use fescuetide_wire::log::AppendReply;
use fescuetide_wire::log::ReadReply;
use fescuetide_wire::log::RecordWire;
use indexmap::IndexMap;

use crate::http::body_of;
use crate::http::empty_response;
use crate::http::json_response;
use crate::http::query_value;

/// Most records of one read when the reader names no limit.
const READ_LIMIT: u64 = 1_000;

/// Path prefix of streams.
const STREAM_PREFIX: &str = "/streams/";

#[derive(Debug, Default)]
struct StreamState {
    first: u64,
    records: Vec<String>,
}

/// The log service.
#[derive(Debug, Default)]
pub struct LogStandIn {
    streams: Mutex<IndexMap<String, StreamState>>,
}

impl LogStandIn {
    /// Serves the log at `address` until the process ends.
    ///
    /// # Errors
    ///
    /// Returns when the listener fails.
    pub fn serve(self, address: SocketAddr) -> anyhow::Result<()> {
        crate::http::serve(address, move |request| self.handle(request))
    }

    fn handle(&self, request: HttpRequest) -> HttpResponse {
        let path = request.uri.path().to_owned();
        let Some(stream) = path.strip_prefix(STREAM_PREFIX) else {
            return empty_response(404);
        };
        match request.method.as_str() {
            "POST" => {
                let body = body_of(&request);
                let text = String::from_utf8_lossy(body).into_owned();
                json_response(200, &self.append(stream, text))
            }
            "GET" => {
                let from = number_value(&request, "from", 0);
                let limit = number_value(&request, "limit", READ_LIMIT);
                json_response(200, &self.read(stream, from, limit))
            }
            _ => empty_response(405),
        }
    }

    fn append(&self, stream: &str, text: String) -> AppendReply {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let state = streams.entry(stream.to_owned()).or_default();
        state.records.push(text);
        AppendReply {
            offset: state.first + state.records.len() as u64 - 1,
        }
    }

    fn read(&self, stream: &str, from: u64, limit: u64) -> ReadReply {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let state = streams.entry(stream.to_owned()).or_default();
        let mut reply = ReadReply {
            first: state.first,
            next: state.first + state.records.len() as u64,
            records: Vec::new(),
        };
        let start = from.max(state.first);
        for offset in start..reply.next.min(start.saturating_add(limit)) {
            reply.records.push(RecordWire {
                offset,
                data: state.records[(offset - state.first) as usize].clone(),
            });
        }
        reply
    }
}

fn number_value(request: &HttpRequest, name: &str, fallback: u64) -> u64 {
    query_value(request, name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(fallback)
}
