//! Stand-in of the platform's log service.
//!
//! `PUT /faults` replaces the faults, see [`LogFaults`]; `GET /faults` answers the faults and the number of appends per
//! stream, and is not subject to them.

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

use crate::http::body_of;
use crate::http::empty_response;
use crate::http::json_response;
use crate::http::query_value;
use crate::http::read_json;

/// Most records of one read when the reader names no limit.
const READ_LIMIT: u64 = 1_000;

/// Path prefix of streams.
const STREAM_PREFIX: &str = "/streams/";

/// Path of the faults.
const FAULTS_PATH: &str = "/faults";

/// The window of the limit on appends, in ms.
const RATE_WINDOW_MS: u64 = 1_000;

/// Faults of the log service. Fields that are left out are switched off.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogFaults {
    /// Faults apply only to streams whose names begin with this.
    pub stream: String,
    /// All calls are answered with status 503 and have no effect.
    pub down: bool,
    /// Replies are sent this many ms after the call took effect, or as soon as the faults change.
    pub slow_ms: u64,
    /// Each reply is delayed by another share of `slow_ms`.
    pub uneven: bool,
    /// Only appends are slow.
    pub slow_appends_only: bool,
    /// Appends take effect, but their replies break off.
    pub reply_lost: bool,
    /// Each stream keeps only this many records; 0 keeps all.
    pub retention_records: u64,
    /// Further appends within one second are answered with status 429; 0 allows all.
    pub appends_per_second: u64,
}

/// The answer to `GET /faults`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LogStatus {
    /// The faults in force.
    pub faults: LogFaults,
    /// Records ever appended, per stream.
    pub appends: IndexMap<String, u64>,
    /// Records sent to readers, per stream.
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
    /// Rises with each change.
    version: u64,
    /// Calls that were delayed.
    delayed: u64,
    window_start: ClockMillis,
    window_appends: u64,
}

/// The log service.
#[derive(Debug, Default)]
pub struct LogStandIn {
    streams: Mutex<IndexMap<String, StreamState>>,
    faults: Mutex<FaultState>,
    faults_changed: Condvar,
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
        let (faults, version) = self.faults_of(stream);
        if faults.down {
            return empty_response(503);
        }
        let response = match method.as_str() {
            "POST" if !self.allow_append(&faults) => return empty_response(429),
            "POST" => {
                let text = String::from_utf8_lossy(body_of(&request)).into_owned();
                let reply = self.append(stream, text, faults.retention_records);
                if faults.reply_lost {
                    HttpResponse::blocking_stream("application/json", BrokenReply { sent: false })
                } else {
                    json_response(200, &reply)
                }
            }
            "GET" => {
                let from = number_value(&request, "from", 0);
                let limit = number_value(&request, "limit", READ_LIMIT);
                json_response(200, &self.read(stream, from, limit))
            }
            _ => return empty_response(405),
        };
        if method == "POST" || !faults.slow_appends_only {
            self.delay(&faults, version);
        }
        response
    }

    /// The faults that apply to `stream`, and their version.
    fn faults_of(&self, stream: &str) -> (LogFaults, u64) {
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

    fn allow_append(&self, faults: &LogFaults) -> bool {
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
        state.delayed += 1;
        let mut millis = faults.slow_ms;
        if faults.uneven {
            millis = StableHash::hash_bytes(&state.delayed.to_le_bytes()) % faults.slow_ms;
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

/// A reply that breaks off after its first bytes.
struct BrokenReply {
    sent: bool,
}

impl BodySource for BrokenReply {
    fn next_part(&mut self) -> Option<Vec<u8>> {
        if self.sent {
            return None;
        }
        self.sent = true;
        Some(b"{\"off".to_vec())
    }
}

fn number_value(request: &HttpRequest, name: &str, fallback: u64) -> u64 {
    query_value(request, name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(fallback)
}
