//! Length-prefixed postcard frames over TCP, with a blocking connection type for thread-per-connection servers and an
//! asynchronous one for clients with many connections.

use std::fmt;
use std::io;
use std::io::Read;
use std::io::Write;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use fescuetide_base::SpanMillis;
use fescuetide_wire::codec;
use fescuetide_wire::frame::FRAME_LIMIT_BYTES;
use serde::Serialize;
use serde::de::DeserializeOwned;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::time;

/// The size of the length prefix in bytes. The prefix is a little-endian `u32`.
const LENGTH_PREFIX_BYTES: usize = 4;

/// The timeout of a write, and of all writes of a frame to a blocking connection together. A peer that does not read for this
/// long is considered lost.
const WRITE_TIMEOUT: SpanMillis = SpanMillis::new(3_000);

/// The error of a failed connection, send or receive operation.
#[derive(Debug)]
pub enum FrameError {
    /// The operation timed out. The connection must not be used again, as part of a frame may have been transferred.
    Timeout,
    /// The peer closed the connection.
    Closed,
    /// An I/O error occurred on the connection.
    Io(io::Error),
    /// The payload could not be encoded.
    Encode(codec::CodecError),
    /// The payload could not be decoded.
    Decode(codec::CodecError),
    /// The payload is larger than [`FRAME_LIMIT_BYTES`]. Contains its length.
    TooLong(usize),
    /// The peer violated the protocol.
    Protocol(String),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Timeout => write!(f, "operation timed out"),
            Self::Closed => write!(f, "peer closed the connection"),
            Self::Io(error) => write!(f, "connection failed: {error}"),
            Self::Encode(error) => write!(f, "frame cannot be encoded: {error}"),
            Self::Decode(error) => write!(f, "frame cannot be decoded: {error}"),
            Self::TooLong(length) => {
                write!(
                    f,
                    "frame of {length} bytes is over the limit of {FRAME_LIMIT_BYTES}"
                )
            }
            Self::Protocol(message) => write!(f, "protocol error: {message}"),
        }
    }
}

impl std::error::Error for FrameError {}

impl From<io::Error> for FrameError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Self::Timeout,
            io::ErrorKind::UnexpectedEof => Self::Closed,
            _ => Self::Io(error),
        }
    }
}

/// Encodes a frame with its length prefix.
fn encode_frame<T: Serialize>(frame: &T) -> Result<Vec<u8>, FrameError> {
    let payload = codec::encode(frame).map_err(FrameError::Encode)?;
    if payload.len() > FRAME_LIMIT_BYTES {
        return Err(FrameError::TooLong(payload.len()));
    }
    let mut bytes = Vec::with_capacity(LENGTH_PREFIX_BYTES + payload.len());
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&payload);
    Ok(bytes)
}

/// Decodes the length prefix of a frame and checks it against [`FRAME_LIMIT_BYTES`].
fn decode_length(prefix: [u8; LENGTH_PREFIX_BYTES]) -> Result<usize, FrameError> {
    let length = u32::from_le_bytes(prefix) as usize;
    if length > FRAME_LIMIT_BYTES {
        return Err(FrameError::TooLong(length));
    }
    Ok(length)
}

/// A blocking TCP connection that sends and receives frames.
#[derive(Debug)]
pub struct FramedStream {
    stream: TcpStream,
}

impl FramedStream {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is not established within `timeout`.
    pub fn connect(address: SocketAddr, timeout: SpanMillis) -> Result<Self, FrameError> {
        Self::new(TcpStream::connect_timeout(&address, timeout.into())?)
    }

    /// Wraps a connected TCP stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket options cannot be set.
    pub fn new(stream: TcpStream) -> Result<Self, FrameError> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT.into()))?;
        Ok(Self { stream })
    }

    /// Sends one frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame cannot be encoded or written completely.
    pub fn send<T: Serialize>(&mut self, frame: &T) -> Result<(), FrameError> {
        let bytes = encode_frame(frame)?;
        let deadline = Instant::now() + Duration::from(WRITE_TIMEOUT);
        let mut rest = bytes.as_slice();
        while !rest.is_empty() {
            match self.stream.write(rest) {
                Ok(0) => return Err(FrameError::Closed),
                Ok(count) => rest = &rest[count..],
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
            // The timeout of the socket applies to each write, and a peer may read a byte now and then.
            if !rest.is_empty() && Instant::now() >= deadline {
                return Err(FrameError::Timeout);
            }
        }
        Ok(())
    }

    /// Receives one frame. `timeout` applies to the wait for its first byte, and then to the rest of it; with `None`, reads
    /// wait indefinitely.
    ///
    /// # Errors
    ///
    /// Returns an error if no frame arrives or if it cannot be decoded. The connection must not be used after an error.
    pub fn receive<T: DeserializeOwned>(
        &mut self,
        timeout: Option<SpanMillis>,
    ) -> Result<T, FrameError> {
        let mut prefix = [0; LENGTH_PREFIX_BYTES];
        let (first, rest) = prefix.split_at_mut(1);
        self.read_until(first, deadline_after(timeout))?;
        let deadline = deadline_after(timeout);
        self.read_until(rest, deadline)?;
        let mut payload = vec![0; decode_length(prefix)?];
        self.read_until(&mut payload, deadline)?;
        codec::decode(&payload).map_err(FrameError::Decode)
    }

    /// Fills `buffer`. The timeout of the socket applies to each read, so it is set to what is left before each.
    fn read_until(
        &mut self,
        mut buffer: &mut [u8],
        deadline: Option<Instant>,
    ) -> Result<(), FrameError> {
        while !buffer.is_empty() {
            let left = deadline.map(|at| at.saturating_duration_since(Instant::now()));
            if left.is_some_and(|left| left.is_zero()) {
                return Err(FrameError::Timeout);
            }
            self.stream.set_read_timeout(left)?;
            match self.stream.read(buffer) {
                Ok(0) => return Err(FrameError::Closed),
                Ok(count) => buffer = &mut buffer[count..],
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
        Ok(())
    }
}

fn deadline_after(timeout: Option<SpanMillis>) -> Option<Instant> {
    timeout.map(|timeout| Instant::now() + Duration::from(timeout))
}

/// An asynchronous TCP connection that sends and receives frames.
#[derive(Debug)]
pub struct AsyncFramedStream {
    stream: tokio::net::TcpStream,
}

impl AsyncFramedStream {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is not established within `timeout`.
    pub async fn connect(address: SocketAddr, timeout: SpanMillis) -> Result<Self, FrameError> {
        let connected = tokio::net::TcpStream::connect(address);
        let stream = with_timeout(timeout, connected).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream })
    }

    /// Returns `true` if a connection without an exchange in progress can be reused. It cannot if the peer has closed
    /// it or has sent unexpected data.
    pub fn is_reusable(&self) -> bool {
        // Peek at the socket directly, because the readiness state cached by the runtime may be outdated.
        let peek_result = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        matches!(peek_result, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends one frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame cannot be encoded or written completely.
    pub async fn send<T: Serialize>(&mut self, frame: &T) -> Result<(), FrameError> {
        let bytes = encode_frame(frame)?;
        let mut rest = bytes.as_slice();
        while !rest.is_empty() {
            let written = with_timeout(WRITE_TIMEOUT, self.stream.write(rest)).await?;
            if written == 0 {
                return Err(FrameError::Closed);
            }
            rest = &rest[written..];
        }
        Ok(())
    }

    /// Receives one frame. `timeout` applies to each read.
    ///
    /// # Errors
    ///
    /// Returns an error if no frame arrives or if it cannot be decoded. The connection must not be used after an error.
    pub async fn receive<T: DeserializeOwned>(
        &mut self,
        timeout: SpanMillis,
    ) -> Result<T, FrameError> {
        let mut prefix = [0; LENGTH_PREFIX_BYTES];
        self.read_full(&mut prefix, timeout).await?;
        let mut payload = vec![0; decode_length(prefix)?];
        self.read_full(&mut payload, timeout).await?;
        codec::decode(&payload).map_err(FrameError::Decode)
    }

    async fn read_full(
        &mut self,
        buffer: &mut [u8],
        timeout: SpanMillis,
    ) -> Result<(), FrameError> {
        let mut filled = 0;
        while filled < buffer.len() {
            let read = with_timeout(timeout, self.stream.read(&mut buffer[filled..])).await?;
            if read == 0 {
                return Err(FrameError::Closed);
            }
            filled += read;
        }
        Ok(())
    }
}

async fn with_timeout<T>(
    timeout: SpanMillis,
    action: impl Future<Output = io::Result<T>>,
) -> Result<T, FrameError> {
    match time::timeout(Duration::from(timeout), action).await {
        Ok(result) => Ok(result?),
        Err(_) => Err(FrameError::Timeout),
    }
}
