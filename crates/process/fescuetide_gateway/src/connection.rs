//! The connections of the event loop.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_flow::FlowKey;
use fescuetide_http1::BodyDecoder;
use fescuetide_http1::RequestHead;
use fescuetide_http1::ResponseHead;
use mio::net::TcpStream;

use crate::buffer::OutputBuffer;
use crate::codec::ResponseFields;

/// A connection by who is at its other end.
#[derive(Debug)]
pub(crate) enum Connection {
    Caller(CallerConnection),
    Upstream(UpstreamConnection),
    Probe(ProbeConnection),
}

/// What a caller's connection does.
#[derive(Debug)]
pub(crate) enum CallerState {
    /// It waits for a request. `since` is when the first byte of an incomplete head came.
    Idle { since: Option<ClockMillis> },
    /// It reads the body of a request.
    Body(Box<IncomingRequest>),
    /// Its request is served.
    Serving(FlowKey),
}

/// A request of which the head is known.
#[derive(Debug)]
pub(crate) struct IncomingRequest {
    pub(crate) head: RequestHead,
    pub(crate) decoder: BodyDecoder,
    pub(crate) has_body: bool,
    pub(crate) body: Vec<u8>,
}

/// A connection of a caller.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    pub(crate) stream: TcpStream,
    /// Bytes of an incomplete head, or of requests after the one that is served.
    pub(crate) input: Vec<u8>,
    pub(crate) output: OutputBuffer,
    pub(crate) state: CallerState,
    /// Whether the connection is closed when the output is written.
    pub(crate) closes: bool,
    pub(crate) active_at: ClockMillis,
}

impl CallerConnection {
    pub(crate) fn new(stream: TcpStream, now: ClockMillis) -> Self {
        Self {
            stream,
            input: Vec::new(),
            output: OutputBuffer::default(),
            state: CallerState::Idle { since: None },
            closes: false,
            active_at: now,
        }
    }
}

/// What is read of the response to an attempt.
#[derive(Debug)]
pub(crate) enum ResponseState {
    /// The head has not come.
    Head,
    /// The body of a response to another request is skipped.
    Skipping(BodyDecoder),
    /// The body is collected.
    Buffering(Box<BufferedResponse>),
    /// The body is a stream of events.
    Streaming {
        decoder: BodyDecoder,
        keeps_alive: bool,
        idle_limit: Option<SpanMillis>,
    },
}

/// A response that is passed on as a whole.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) head: ResponseHead,
    pub(crate) fields: ResponseFields,
    pub(crate) decoder: BodyDecoder,
    pub(crate) body: Vec<u8>,
}

/// What a connection to an upstream does.
#[derive(Debug)]
pub(crate) enum UpstreamWork {
    /// It waits for the next attempt.
    Idle { deadline: ClockMillis },
    /// It carries an attempt.
    Busy {
        key: FlowKey,
        response: ResponseState,
    },
}

/// A connection to an upstream.
#[derive(Debug)]
pub(crate) struct UpstreamConnection {
    pub(crate) stream: TcpStream,
    pub(crate) vm: VmName,
    /// When opening it is given up, `None` once it is open.
    pub(crate) connect_deadline: Option<ClockMillis>,
    pub(crate) input: Vec<u8>,
    /// The head of the attempt.
    pub(crate) output: OutputBuffer,
    /// Bytes of the attempt's body that are written.
    pub(crate) body_written: usize,
    /// Whether the whole attempt is written.
    pub(crate) is_written: bool,
    pub(crate) work: UpstreamWork,
}

/// A connection that asks for readiness or metrics.
#[derive(Debug)]
pub(crate) struct ProbeConnection {
    pub(crate) stream: TcpStream,
    pub(crate) input: Vec<u8>,
    pub(crate) output: OutputBuffer,
    pub(crate) active_at: ClockMillis,
}
