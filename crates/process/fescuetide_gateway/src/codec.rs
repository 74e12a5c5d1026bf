//! Translation between a platform's formats and the gateway. Implementations make no routing decisions.

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
use fescuetide_flow::UpstreamAnnouncement;
use fescuetide_http1::RequestHead;
use fescuetide_http1::ResponseHead;

/// Platform-specific fields of a request head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestFields {
    /// The id of the request, as sent by the caller.
    pub request_id: Option<String>,
    /// The requested host.
    pub host: Option<String>,
    /// How long the caller waits for the response.
    pub time_limit: Option<SpanMillis>,
    /// The caller's API key.
    pub key: Option<String>,
    /// The ids and lengths of the consecutive parts of the prompt, by which requests with a common prefix are routed to
    /// upstreams that have it cached.
    pub prompt: PromptShape,
    /// When resuming an event stream, the id of the last event that the caller states to have received.
    pub last_event: Option<u64>,
    /// When resuming an event stream, the id of the caller's request that brought the first event of the stream.
    pub resumes: Option<String>,
}

/// Fields that the gateway adds to the request head of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptFields<'a> {
    /// The intended upstream. Another upstream that has taken over its address rejects the request.
    pub upstream: &'a VmName,
    /// The workspace of the caller's API key.
    pub workspace: Option<&'a WorkspaceName>,
    /// The time left until the request's deadline.
    pub time_left: SpanMillis,
    /// The priority of the request; 0 is the highest.
    pub priority: u8,
    /// When resuming an event stream, the id of the event after which the upstream continues.
    pub last_event: Option<u64>,
    /// The address of another upstream from which the intended one can copy the cached prompt prefix. Set only if the
    /// intended upstream probably lacks the prefix and the upstreams of its pool can copy prefixes from one another.
    pub prefix_source: Option<SocketAddr>,
    /// The length of the body, `None` for a request without one.
    pub body_length: Option<usize>,
}

/// Platform-specific fields of a response head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseFields {
    /// Whether the response carries the id of the current request, `None` if it carries no id.
    pub matches_request: Option<bool>,
    /// Whether the response has the header field that contains the upstream's signature. Only its presence is checked;
    /// the signature is not verified.
    pub has_signature_field: bool,
    /// Whether the upstream states that it did not run the request.
    pub is_not_run: bool,
    /// Whether the upstream at this address is not the intended one.
    pub is_misdirected: bool,
    /// What the upstream announces about itself.
    pub announcement: UpstreamAnnouncement,
    /// The upstream's load.
    pub load: Option<LoadReport>,
    /// The idle timeout that the upstream applies to the connection.
    pub idle_timeout: Option<SpanMillis>,
}

/// Translates message heads between callers, the gateway and upstreams.
pub trait HttpCodec: Send + 'static {
    /// Path of the platform's readiness check.
    const READY_PATH: &'static str;

    /// Reads the platform-specific fields of a request head.
    fn read_request(&self, head: &RequestHead) -> RequestFields;

    /// Writes the request head of an attempt: the caller's head with the fields that the gateway sets.
    fn write_attempt(&self, out: &mut Vec<u8>, head: &RequestHead, fields: &AttemptFields<'_>);

    /// Reads the platform-specific fields of a response head. `request_id` is the id of the current request.
    fn read_response(&self, head: &ResponseHead, request_id: &str) -> ResponseFields;

    /// Writes the request id field of a response that the gateway itself generates.
    fn write_request_id(&self, out: &mut Vec<u8>, request_id: &str);
}

/// The log streams that the gateway follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetStream {
    /// Configurations that operators publish.
    Configs,
    /// Registrations of upstreams.
    Upstreams,
    /// Reports of gateways about requests that crash upstreams.
    CrashReports,
    /// Where event streams began.
    StreamOrigins,
    /// The addresses of gateways.
    Gateways,
}

impl fmt::Display for FleetStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Configs => "configs",
            Self::Upstreams => "upstreams",
            Self::CrashReports => "crash-reports",
            Self::StreamOrigins => "stream-origins",
            Self::Gateways => "gateways",
        })
    }
}

/// One record of a log stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// The key that the record sets or removes. For a registration, it is the name of the upstream's VM.
    pub key: String,
    /// The value, `None` if the key was removed.
    pub value: Option<Vec<u8>>,
}

/// Consecutive records of a log stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogPage {
    /// The records, in the order of their offsets.
    pub records: Vec<LogRecord>,
    /// The offset of the oldest record that is retained.
    pub first: LogOffset,
    /// The end offset of the log stream.
    pub end: LogOffset,
}

/// One page of the newest records of all keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListingPage {
    /// The newest record of each key on this page, in the order of the keys.
    pub records: Vec<LogRecord>,
    /// The end offset of the log stream.
    pub end: LogOffset,
    /// Whether another page follows.
    pub has_more: bool,
}

/// A record or page that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordError(pub String);

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for RecordError {}

/// Translates calls to the platform's log and the records in it.
pub trait RecordCodec: Clone + Send + 'static {
    /// Path and query of a call that lists the newest record of each key, starting behind the key `after`.
    fn listing_target(&self, stream: FleetStream, after: Option<&str>) -> String;

    /// Path and query of a call that reads records from offset `from`. If there are none, the log waits for up to
    /// `wait`.
    fn read_target(&self, stream: FleetStream, from: LogOffset, wait: SpanMillis) -> String;

    /// Path and query of a call that appends records. With `end`, the log appends them only if its stream ends there, also if the
    /// call is executed late. Otherwise it responds with status 412.
    fn append_target(&self, stream: FleetStream, end: Option<LogOffset>) -> String;

    /// The era of the log as a response to a call states it, `None` if it does not.
    fn era_field<'a>(&self, head: &'a ResponseHead) -> Option<&'a str>;

    /// Encodes records as the body of a call that appends them.
    fn encode_records(&self, records: &[LogRecord]) -> Vec<u8>;

    /// Decodes a page of a listing.
    ///
    /// # Errors
    ///
    /// Fails if the page is malformed.
    fn decode_listing(&self, body: &[u8]) -> Result<ListingPage, RecordError>;

    /// Decodes a page of records.
    ///
    /// # Errors
    ///
    /// Fails if the page is malformed.
    fn decode_records(&self, body: &[u8]) -> Result<LogPage, RecordError>;

    /// Decodes a configuration. Returns `None` if the record's key does not belong to a configuration.
    ///
    /// # Errors
    ///
    /// Fails if the record is malformed.
    fn decode_config(&self, record: &LogRecord) -> Result<Option<FleetConfig>, RecordError>;

    /// Decodes the registration of an upstream.
    ///
    /// # Errors
    ///
    /// Fails if the record's key is not a VM name. A malformed value is not an error, but
    /// [`UpstreamChange::Unreadable`].
    fn decode_upstream(&self, record: &LogRecord) -> Result<UpstreamChange, RecordError>;
}
