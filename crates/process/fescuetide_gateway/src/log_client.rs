//! Blocking client for the platform's log with one persistent connection.

use std::fmt;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

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
}

impl PlatformLogClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
        }
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
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => self.connect()?,
        };
        stream.set_read_timeout(Some(wait + RESPONSE_TIMEOUT))?;
        stream.write_all(message)?;
        let (head, body) = read_response(&mut stream)?;
        if head.keeps_alive() {
            self.stream = Some(stream);
        }
        if head.status() != 200 {
            return Err(CallError::Status(head.status()));
        }
        Ok(body)
    }

    fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(RESPONSE_TIMEOUT))?;
        sockets::set_dead_connection_timeouts(SockRef::from(&stream))?;
        Ok(stream)
    }
}

fn read_response(stream: &mut TcpStream) -> Result<(ResponseHead, Vec<u8>), CallError> {
    let mut input = Vec::new();
    let mut part = [0; 4_096];
    let (head, used) = loop {
        let count = read_part(stream, &mut part)?;
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
        let count = read_part(stream, &mut part)?;
        rest.clear();
        rest.extend_from_slice(&part[..count]);
    }
}

fn read_part(stream: &mut TcpStream, part: &mut [u8]) -> Result<usize, CallError> {
    loop {
        match stream.read(part) {
            Ok(0) => return Err(CallError::Io(io::ErrorKind::UnexpectedEof.into())),
            Ok(count) => return Ok(count),
            // Reads are interrupted when a suspended process resumes.
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error.into()),
        }
    }
}
