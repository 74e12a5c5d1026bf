//! Blocking client for the platform's log with one persistent connection.

use std::fmt;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use fescuetide_http1::BodyDecoder;
use fescuetide_http1::BodyFraming;
use fescuetide_http1::HeadError;
use fescuetide_http1::ResponseHead;
use fescuetide_wire::codec::CodecError;
use socket2::SockRef;

use crate::codec::RecordError;
use crate::sockets;

/// Maximum length of a response head.
const HEAD_LIMIT_BYTES: usize = 8 * 1_024;

/// Maximum length of a response body. No page of the log is larger, its encoding included.
const BODY_LIMIT_BYTES: usize = 4 * 1_024 * 1_024;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Response timeout, in addition to the time that the call itself asks the log to wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Interval at which a waiting call checks whether the log has had an outage.
const OUTAGE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Counts the outages of the log that this process has noticed.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutageCounter(Arc<AtomicU64>);

impl OutageCounter {
    /// Records that an outage has begun or ended.
    pub(crate) fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Why a call failed.
#[derive(Debug)]
pub(crate) enum CallError {
    /// The connection failed or the response timed out.
    Io(io::Error),
    /// The response is not valid HTTP/1.1, or its length is not declared.
    Malformed,
    /// The response exceeds a size limit.
    TooLarge,
    /// The response is valid HTTP, but the codec cannot decode the page in its body.
    Undecodable(RecordError),
    /// A record cannot be encoded, so that nothing was sent.
    Unencodable(CodecError),
    /// The response status is not 200.
    Status(u16),
    /// The log may have come back from an older copy since the previous call, so the response says nothing about records
    /// that were read before.
    Restored,
}

impl CallError {
    /// Whether the log had closed the connection, as it does with idle ones.
    pub(crate) fn is_closed(&self) -> bool {
        let Self::Io(error) = self else {
            return false;
        };
        matches!(
            error.kind(),
            io::ErrorKind::UnexpectedEof
                | io::ErrorKind::ConnectionReset
                | io::ErrorKind::BrokenPipe
        )
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => error.fmt(f),
            Self::Malformed => write!(f, "malformed HTTP response"),
            Self::TooLarge => write!(f, "response exceeds the size limit"),
            Self::Undecodable(error) => write!(f, "page cannot be decoded: {error}"),
            Self::Unencodable(error) => write!(f, "record cannot be encoded: {error}"),
            Self::Status(status) => write!(f, "unexpected status {status}"),
            Self::Restored => write!(f, "the log may have come back from an older copy"),
        }
    }
}

impl From<io::Error> for CallError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// A client for the platform's log. The connection is kept only after a complete, valid response.
#[derive(Debug)]
pub(crate) struct PlatformLogClient {
    address: SocketAddr,
    stream: Option<TcpStream>,
    /// The head of the last response, whatever its status.
    last_head: Option<ResponseHead>,
    /// A call ends as timed out when this changes, since a log that recovers may have lost it.
    pub(crate) outages: Option<OutageCounter>,
}

impl PlatformLogClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
            last_head: None,
            outages: None,
        }
    }

    /// Whether a connection is kept from an earlier call.
    pub(crate) fn is_connected(&self) -> bool {
        self.stream.is_some()
    }

    /// Removes and returns the head of the last response, if the last call got one.
    pub(crate) fn take_head(&mut self) -> Option<ResponseHead> {
        self.last_head.take()
    }

    /// Calls the log, which may delay its response by up to `wait`, and returns the response body.
    pub(crate) fn get(&mut self, target: &str, wait: Duration) -> Result<Vec<u8>, CallError> {
        let head = format!(
            "GET {target} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n",
            self.address
        );
        self.call(head.as_bytes(), wait)
    }

    /// Sends `body` to the log.
    pub(crate) fn post(&mut self, target: &str, body: &[u8]) -> Result<(), CallError> {
        let head = format!(
            "POST {target} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n\r\n",
            self.address,
            body.len()
        );
        let mut message = head.into_bytes();
        message.extend_from_slice(body);
        self.call(&message, Duration::ZERO).map(drop)
    }

    fn call(&mut self, message: &[u8], wait: Duration) -> Result<Vec<u8>, CallError> {
        self.last_head = None;
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => self.connect()?,
        };
        let limit = ReadLimit {
            deadline: Instant::now() + wait + RESPONSE_TIMEOUT,
            outages: self.outages.clone(),
            known_outages: self.outages.as_ref().map(OutageCounter::get),
        };
        stream.write_all(message)?;
        let (head, body) = read_response(&mut stream, &limit)?;
        if head.keeps_alive() {
            self.stream = Some(stream);
        }
        let status = head.status();
        self.last_head = Some(head);
        match status {
            200 => Ok(body),
            status => Err(CallError::Status(status)),
        }
    }

    fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(RESPONSE_TIMEOUT))?;
        sockets::set_dead_connection_timeouts(SockRef::from(&stream))?;
        Ok(stream)
    }
}

/// How long the bytes of a response are waited for.
struct ReadLimit {
    deadline: Instant,
    outages: Option<OutageCounter>,
    /// The outages when the call began.
    known_outages: Option<u64>,
}

impl ReadLimit {
    fn is_reached(&self) -> bool {
        let outages = self.outages.as_ref().map(OutageCounter::get);
        Instant::now() >= self.deadline || outages != self.known_outages
    }

    /// The timeout of the next read, which is not zero.
    fn read_timeout(&self) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let left = left.max(Duration::from_millis(1));
        match self.outages {
            Some(_) => left.min(OUTAGE_CHECK_INTERVAL),
            None => left,
        }
    }
}

fn read_response(
    stream: &mut TcpStream,
    limit: &ReadLimit,
) -> Result<(ResponseHead, Vec<u8>), CallError> {
    let mut input = Vec::new();
    let mut part = [0; 4_096];
    let (head, used) = loop {
        let count = read_part(stream, &mut part, limit)?;
        input.extend_from_slice(&part[..count]);
        match ResponseHead::parse(&input, HEAD_LIMIT_BYTES) {
            Ok(Some(parsed)) => break parsed,
            Ok(None) => {}
            Err(HeadError::TooLarge) => return Err(CallError::TooLarge),
            Err(HeadError::Malformed) => return Err(CallError::Malformed),
        }
    };
    let framing = BodyFraming::for_response(&head, false).map_err(|_| CallError::Malformed)?;
    if framing == BodyFraming::UntilClose {
        return Err(CallError::Malformed);
    }
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    let mut rest = input.split_off(used);
    loop {
        let step = decoder
            .decode(&rest, &mut body)
            .map_err(|_| CallError::Malformed)?;
        if step.done {
            return Ok((head, body));
        }
        if body.len() > BODY_LIMIT_BYTES {
            return Err(CallError::TooLarge);
        }
        let count = read_part(stream, &mut part, limit)?;
        rest.clear();
        rest.extend_from_slice(&part[..count]);
    }
}

fn read_part(
    stream: &mut TcpStream,
    part: &mut [u8],
    limit: &ReadLimit,
) -> Result<usize, CallError> {
    loop {
        stream.set_read_timeout(Some(limit.read_timeout()))?;
        match stream.read(part) {
            Ok(0) => return Err(CallError::Io(io::ErrorKind::UnexpectedEof.into())),
            Ok(count) => return Ok(count),
            // Reads are interrupted when a suspended process resumes.
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if is_timeout(&error) && !limit.is_reached() => {}
            Err(error) => return Err(error.into()),
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
