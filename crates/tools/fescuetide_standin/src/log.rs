//! Stand-in for the platform's log service.
//!
//! `PUT /faults` replaces the [`LogFaults`]. `GET /faults` returns a [`LogStatus`]. Faults do not affect these two
//! calls.

use std::net::SocketAddr;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use fescuetide_base::ClockMillis;
use fescuetide_base::StableHash;
use fescuetide_net::BodySource;
use fescuetide_net::HttpRequest;
use fescuetide_net::HttpResponse;
use fescuetide_wire::log::AppendReply;
use fescuetide_wire::log::ReadReply;
use fescuetide_wire::log::RecordWire;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::http::empty_response;
use crate::http::json_response;
use crate::http::query_value;
use crate::http::read_json;
use crate::http::request_body;

/// The maximum number of records per read if the reader sets no limit.
const DEFAULT_READ_LIMIT: u64 = 1_000;

/// Path prefix of the streams.
const STREAM_PREFIX: &str = "/streams/";

/// Path of the fault settings.
const FAULTS_PATH: &str = "/faults";

/// The window over which the append rate is limited, in ms.
const RATE_WINDOW_MS: u64 = 1_000;

/// Faults of the log service. Omitted fields are off.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogFaults {
    /// The faults apply only to streams whose name starts with this prefix.
    pub stream: String,
    /// All calls fail with status 503 and have no effect.
    pub down: bool,
    /// Responses are delayed by this many ms after the call took effect. A change of the faults ends the delay.
    pub slow_ms: u64,
    /// Each response is delayed by a different pseudorandom time below `slow_ms`.
    pub uneven: bool,
    /// Only the responses to appends are delayed.
    pub slow_appends_only: bool,
    /// Appends take effect, but their responses are truncated.
    pub reply_lost: bool,
    /// Each stream keeps only this many of its latest records; 0 keeps all.
    pub retention_records: u64,
    /// Appends above this number per second fail with status 429; 0 allows all.
    pub appends_per_second: u64,
}

/// The answer to `GET /faults`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LogStatus {
    /// The current faults.
    pub faults: LogFaults,
    /// The number of records appended to each stream, including those no longer kept.
    pub appends: IndexMap<String, u64>,
    /// The number of records sent to readers of each stream.
    pub reads: IndexMap<String, u64>,
}

#[derive(Debug, Default)]
struct StreamState {
    first: u64,
    records: Vec<String>,
    reads: u64,
}

impl StreamState {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Debug, Default)]
struct FaultState {
    faults: LogFaults,
    /// Increases with each change of the faults.
    version: u64,
    /// The number of calls that were delayed.
    delayed_calls: u64,
    window_start: ClockMillis,
    window_appends: u64,
}

/// A stand-in for the log service.
#[derive(Debug, Default)]
pub struct LogStandIn {
    streams: Mutex<IndexMap<String, StreamState>>,
    faults: Mutex<FaultState>,
    faults_changed: Condvar,
}

impl LogStandIn {
    /// Serves the log at `address` until the process exits.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn serve(self, address: SocketAddr) -> anyhow::Result<()> {
        crate::http::serve(address, move |request| self.handle(request))
    }

    fn handle(&self, request: HttpRequest) -> HttpResponse {
        let path = request.uri.path().to_owned();
        let method = request.method.to_string();
        if path == FAULTS_PATH {
            return match method.as_str() {
                "GET" => json_response(200, &self.status()),
                "PUT" => match read_json::<LogFaults>(&request) {
                    Ok(faults) => self.set_faults(faults),
                    Err(response) => *response,
                },
                _ => empty_response(405),
            };
        }
        let Some(stream) = path.strip_prefix(STREAM_PREFIX) else {
            return empty_response(404);
        };
        let (faults, version) = self.faults_for_stream(stream);
        if faults.down {
            return empty_response(503);
        }
        let response = match method.as_str() {
            "POST" if !self.try_acquire_append(&faults) => return empty_response(429),
            "POST" => {
                let text = String::from_utf8_lossy(request_body(&request)).into_owned();
                let reply = self.append(stream, text, faults.retention_records);
                if faults.reply_lost {
                    HttpResponse::blocking_stream(
                        "application/json",
                        TruncatedReply { sent: false },
                    )
                } else {
                    json_response(200, &reply)
                }
            }
            "GET" => {
                let from = query_number(&request, "from", 0);
                let limit = query_number(&request, "limit", DEFAULT_READ_LIMIT);
                json_response(200, &self.read(stream, from, limit))
            }
            _ => return empty_response(405),
        };
        if method == "POST" || !faults.slow_appends_only {
            self.delay(&faults, version);
        }
        response
    }

    /// Returns the faults that apply to `stream`, and the version of the faults.
    fn faults_for_stream(&self, stream: &str) -> (LogFaults, u64) {
        let state = self.lock_faults();
        if !stream.starts_with(&state.faults.stream) {
            return (LogFaults::default(), state.version);
        }
        (state.faults.clone(), state.version)
    }

    fn set_faults(&self, faults: LogFaults) -> HttpResponse {
        let mut state = self.lock_faults();
        state.faults = faults;
        state.version += 1;
        drop(state);
        self.faults_changed.notify_all();
        empty_response(200)
    }

    fn status(&self) -> LogStatus {
        let streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let mut appends = IndexMap::new();
        let mut reads = IndexMap::new();
        for (name, state) in &*streams {
            appends.insert(name.clone(), state.next());
            reads.insert(name.clone(), state.reads);
        }
        LogStatus {
            faults: self.lock_faults().faults.clone(),
            appends,
            reads,
        }
    }

    fn try_acquire_append(&self, faults: &LogFaults) -> bool {
        if faults.appends_per_second == 0 {
            return true;
        }
        let now = ClockMillis::now();
        let mut state = self.lock_faults();
        if now.since(state.window_start).as_millis() >= RATE_WINDOW_MS {
            state.window_start = now;
            state.window_appends = 0;
        }
        state.window_appends += 1;
        state.window_appends <= faults.appends_per_second
    }

    fn delay(&self, faults: &LogFaults, version: u64) {
        if faults.slow_ms == 0 {
            return;
        }
        let mut state = self.lock_faults();
        state.delayed_calls += 1;
        let mut millis = faults.slow_ms;
        if faults.uneven {
            millis = StableHash::hash_bytes(&state.delayed_calls.to_le_bytes()) % faults.slow_ms;
        }
        let span = Duration::from_millis(millis);
        let waited = self
            .faults_changed
            .wait_timeout_while(state, span, |state| state.version == version);
        drop(waited);
    }

    fn lock_faults(&self) -> MutexGuard<'_, FaultState> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, stream: &str, text: String, retention: u64) -> AppendReply {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let state = streams.entry(stream.to_owned()).or_default();
        state.records.push(text);
        let count = state.records.len() as u64;
        if retention > 0 && count > retention {
            let dropped = count - retention;
            state.records.drain(..dropped as usize);
            state.first += dropped;
        }
        AppendReply {
            offset: state.next() - 1,
        }
    }

    fn read(&self, stream: &str, from: u64, limit: u64) -> ReadReply {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let state = streams.entry(stream.to_owned()).or_default();
        let mut reply = ReadReply {
            first: state.first,
            next: state.next(),
            records: Vec::new(),
        };
        let start = from.max(state.first);
        for offset in start..reply.next.min(start.saturating_add(limit)) {
            reply.records.push(RecordWire {
                offset,
                data: state.records[(offset - state.first) as usize].clone(),
            });
        }
        state.reads += reply.records.len() as u64;
        reply
    }
}

/// A response body that ends after its first bytes.
struct TruncatedReply {
    sent: bool,
}

impl BodySource for TruncatedReply {
    fn next_part(&mut self) -> Option<Vec<u8>> {
        if self.sent {
            return None;
        }
        self.sent = true;
        Some(b"{\"off".to_vec())
    }
}

fn query_number(request: &HttpRequest, name: &str, fallback: u64) -> u64 {
    query_value(request, name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(fallback)
}
