//! How a platform spells requests, answers and records. Implementations translate and decide nothing.

use std::fmt;
use std::net::SocketAddr;

use fescuetide_base::LogOffset;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_base::WorkspaceName;
use fescuetide_fleet::FleetConfig;
use fescuetide_fleet::UpstreamChange;
use fescuetide_flow::LoadReport;
use fescuetide_flow::PromptShape;
use fescuetide_http1::RequestHead;
use fescuetide_http1::ResponseHead;

/// What a caller's head says beyond HTTP.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestFields {
    /// The id of this request, as the caller wrote it.
    pub request_id: Option<String>,
    /// The host that it is for.
    pub host: Option<String>,
    /// How long the caller waits.
    pub time_limit: Option<SpanMillis>,
    /// The caller's key.
    pub key: Option<String>,
    /// The prompt.
    pub prompt: PromptShape,
    /// The last event that the caller has of a stream that it resumes.
    pub last_event: Option<u64>,
}

/// What an upstream is told beyond the caller's own head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptFields<'a> {
    /// The upstream that is meant; another one at its address does not run the request.
    pub upstream: &'a VmName,
    /// The workspace that holds the caller's key.
    pub workspace: Option<&'a WorkspaceName>,
    /// The time that is left.
    pub time_left: SpanMillis,
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// For a stream that goes on, the last event that the caller has.
    pub last_event: Option<u64>,
    /// Where another upstream listens that keeps the shared part of the prompt, which this one lacks.
    pub copy_from: Option<SocketAddr>,
    /// The length of the body, `None` for a request without one.
    pub body_length: Option<usize>,
}

/// What an upstream's head says beyond HTTP.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseFields {
    /// Whether the answer names a request, and whether it is the one asked for.
    pub matches_request: Option<bool>,
    /// Whether the answer bears the upstream's signature.
    pub is_signed: bool,
    /// Whether the upstream states that it did not run the request.
    pub is_not_run: bool,
    /// Whether another upstream listens at the address.
    pub is_misdirected: bool,
    /// The upstream's load.
    pub load: Option<LoadReport>,
    /// How long the upstream keeps the connection when it is idle.
    pub idle_limit: Option<SpanMillis>,
}

/// Translates heads between callers, the gateway and upstreams.
pub trait HttpCodec: Send + 'static {
    /// The path of the platform's readiness check.
    const READY_PATH: &'static str;

    /// Reads a caller's head.
    fn read_request(&self, head: &RequestHead) -> RequestFields;

    /// Writes the head of an attempt: the caller's own head with the fields that the gateway sets.
    fn write_attempt(&self, out: &mut Vec<u8>, head: &RequestHead, fields: &AttemptFields<'_>);

    /// Reads an upstream's head. `request_id` is the id of the request that it should answer.
    fn read_response(&self, head: &ResponseHead, request_id: &str) -> ResponseFields;

    /// Writes the field that names the request of a response of the gateway's own.
    fn write_request_id(&self, out: &mut Vec<u8>, request_id: &str);
}

/// What the fleet follows in the platform's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetStream {
    /// Configurations that the operators publish.
    Configs,
    /// Entries of upstreams.
    Upstreams,
}

impl fmt::Display for FleetStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Configs => "configs",
            Self::Upstreams => "upstreams",
        })
    }
}

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// What the record is about.
    pub key: String,
    /// The newest value, `None` when it was removed.
    pub value: Option<Vec<u8>>,
}

/// Part of the records of a stream in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogPage {
    /// The records.
    pub records: Vec<LogRecord>,
}

/// Part of a listing of the newest record of each key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListingPage {
    /// The records.
    pub records: Vec<LogRecord>,
    /// Where the stream ends.
    pub end: LogOffset,
    /// Whether the listing goes on after the last key.
    pub has_more: bool,
}

/// A record or a page that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordError(pub String);

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for RecordError {}

/// Translates calls to the platform's log and its records.
pub trait RecordCodec: Clone + Send + 'static {
    /// The path and query of a call that lists the newest record of each key, from the key after `after` on.
    fn listing_target(&self, stream: FleetStream, after: Option<&str>) -> String;

    /// The path and query of a call that reads records from `from` on and waits for one for `wait` at most.
    fn read_target(&self, stream: FleetStream, from: LogOffset, wait: SpanMillis) -> String;

    /// Decodes a listing.
    ///
    /// # Errors
    ///
    /// Fails when the page is not readable.
    fn decode_listing(&self, body: &[u8]) -> Result<ListingPage, RecordError>;

    /// Decodes records.
    ///
    /// # Errors
    ///
    /// Fails when the page is not readable.
    fn decode_records(&self, body: &[u8]) -> Result<LogPage, RecordError>;

    /// Decodes a configuration; `None` for a record of another key.
    ///
    /// # Errors
    ///
    /// Fails when the record is not readable.
    fn decode_config(&self, record: &LogRecord) -> Result<Option<FleetConfig>, RecordError>;

    /// Decodes an entry of an upstream.
    ///
    /// # Errors
    ///
    /// Fails when the record's key does not name a VM. An unreadable value is a change of its own.
    fn decode_upstream(&self, record: &LogRecord) -> Result<UpstreamChange, RecordError>;
}
