//! Connections of the event loop.

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

/// A connection, by the kind of its remote end.
#[derive(Debug)]
pub(crate) enum Connection {
    Caller(CallerConnection),
    Upstream(UpstreamConnection),
    Monitoring(MonitoringConnection),
}

/// State of a caller's connection.
#[derive(Debug)]
pub(crate) enum CallerState {
    /// Waiting for a request head. `since` is when the first byte of an incomplete head arrived.
    Idle { since: Option<ClockMillis> },
    /// Reading the body of a request.
    Body(Box<IncomingRequest>),
    /// The request is in progress.
    Serving(FlowKey),
}

/// A request whose head has been read.
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
    /// Bytes of an incomplete head, or pipelined bytes behind the current request.
    pub(crate) input: Vec<u8>,
    pub(crate) output: OutputBuffer,
    pub(crate) state: CallerState,
    /// Whether the connection is closed when all output has been written.
    pub(crate) closes: bool,
    /// Whether a response is in progress whose end is the close of the connection. If it breaks off, the connection is reset.
    pub(crate) ends_with_close: bool,
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
            ends_with_close: false,
            active_at: now,
        }
    }
}

/// State of reading the response to an attempt.
#[derive(Debug)]
pub(crate) enum ResponseState {
    /// Waiting for the head.
    Head,
    /// Discarding the body of a response that carries the id of another request. The response to this request may still
    /// follow.
    Skipping(BodyDecoder),
    /// Buffering the body.
    Buffering(Box<BufferedResponse>),
    /// Relaying an event stream.
    Streaming {
        decoder: BodyDecoder,
        keeps_alive: bool,
        idle_timeout: Option<SpanMillis>,
    },
}

/// A response that is buffered and relayed as a whole.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) head: ResponseHead,
    pub(crate) fields: ResponseFields,
    pub(crate) decoder: BodyDecoder,
    pub(crate) body: Vec<u8>,
}

/// State of a connection to an upstream.
#[derive(Debug)]
pub(crate) enum UpstreamConnectionState {
    /// In the idle pool until `deadline`.
    Idle { deadline: ClockMillis },
    /// Being opened only to find out whether the upstream is down.
    Probing,
    /// Carrying an attempt.
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
    /// The connect timeout's deadline, `None` once the connection is established.
    pub(crate) connect_deadline: Option<ClockMillis>,
    pub(crate) input: Vec<u8>,
    /// The request head of the attempt.
    pub(crate) output: OutputBuffer,
    /// Number of bytes of the request body that have been written.
    pub(crate) body_written: usize,
    /// Bytes received before the response that are no part of it.
    pub(crate) foreign_bytes: usize,
    /// Whether the whole request has been written.
    pub(crate) is_written: bool,
    pub(crate) state: UpstreamConnectionState,
}

/// A connection to the readiness or metrics listener.
#[derive(Debug)]
pub(crate) struct MonitoringConnection {
    pub(crate) stream: TcpStream,
    pub(crate) input: Vec<u8>,
    pub(crate) output: OutputBuffer,
    pub(crate) active_at: ClockMillis,
}
