//! Length-prefixed postcard frames over TCP.

use std::fmt;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;

use fescuetide_base::SpanMillis;
use fescuetide_wire::codec;
use fescuetide_wire::frame::FRAME_LIMIT_BYTES;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Bytes of the length prefix, a little-endian `u32`.
const PREFIX_BYTES: usize = 4;

/// Longest time for one write. A peer that reads nothing for so long is gone.
const WRITE_TIMEOUT_MS: u64 = 3_000;

/// Why a frame could not be sent or received.
#[derive(Debug)]
pub enum FrameError {
    /// No complete frame arrived in time. The connection cannot be used further.
    Timeout,
    /// The peer closed the connection.
    Closed,
    /// The connection failed.
    Io(io::Error),
    /// The bytes are not a frame.
    Codec(codec::CodecError),
    /// The length prefix is above [`FRAME_LIMIT_BYTES`].
    TooLong(usize),
    /// The peer broke the protocol.
    Protocol(String),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Timeout => write!(f, "no frame arrived in time"),
            Self::Closed => write!(f, "peer closed the connection"),
            Self::Io(error) => write!(f, "connection failed: {error}"),
            Self::Codec(error) => write!(f, "frame cannot be decoded: {error}"),
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

/// A TCP connection that carries frames.
#[derive(Debug)]
pub struct FramedStream {
    stream: TcpStream,
}

impl FramedStream {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Fails when no connection is made within `timeout`.
    pub fn connect(address: SocketAddr, timeout: SpanMillis) -> Result<Self, FrameError> {
        let stream = TcpStream::connect_timeout(&address, timeout.into())?;
        Self::accept(stream)
    }

    /// Takes over an accepted connection.
    ///
    /// # Errors
    ///
    /// Fails when the socket's options cannot be set.
    pub fn accept(stream: TcpStream) -> Result<Self, FrameError> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(SpanMillis::new(WRITE_TIMEOUT_MS).into()))?;
        Ok(Self { stream })
    }

    /// Whether a connection without an exchange in progress is still open. A peer that has closed it, or has sent
    /// something unasked, makes it unusable.
    pub fn is_idle_open(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return false;
        }
        let peeked = self.stream.peek(&mut [0]);
        let restored = self.stream.set_nonblocking(false).is_ok();
        restored && matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends one frame.
    ///
    /// # Errors
    ///
    /// Fails when the frame cannot be encoded or written in full.
    pub fn send<T: Serialize>(&mut self, frame: &T) -> Result<(), FrameError> {
        let payload = codec::encode(frame).map_err(FrameError::Codec)?;
        if payload.len() > FRAME_LIMIT_BYTES {
            return Err(FrameError::TooLong(payload.len()));
        }
        let mut bytes = Vec::with_capacity(PREFIX_BYTES + payload.len());
        bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&payload);
        self.stream.write_all(&bytes)?;
        Ok(())
    }

    /// Receives one frame. `timeout` limits each read; `None` waits forever.
    ///
    /// # Errors
    ///
    /// Fails when no frame arrives, or one that cannot be decoded. The connection cannot be used after an error.
    pub fn receive<T: DeserializeOwned>(
        &mut self,
        timeout: Option<SpanMillis>,
    ) -> Result<T, FrameError> {
        self.stream.set_read_timeout(timeout.map(Into::into))?;
        let mut prefix = [0; PREFIX_BYTES];
        self.stream.read_exact(&mut prefix)?;
        let length = u32::from_le_bytes(prefix) as usize;
        if length > FRAME_LIMIT_BYTES {
            return Err(FrameError::TooLong(length));
        }
        let mut payload = vec![0; length];
        self.stream.read_exact(&mut payload)?;
        codec::decode(&payload).map_err(FrameError::Codec)
    }
}
