//! Length-prefixed postcard frames over TCP: blocking for servers that hold a thread for each connection, and
//! asynchronous for clients that hold many.

use std::fmt;
use std::io;
use std::io::Read;
use std::io::Write;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use fescuetide_base::SpanMillis;
use fescuetide_wire::codec;
use fescuetide_wire::frame::FRAME_LIMIT_BYTES;
use serde::Serialize;
use serde::de::DeserializeOwned;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::time;

/// Bytes of the length prefix, a little-endian `u32`.
const PREFIX_BYTES: usize = 4;

/// Longest time for one write. A peer that reads nothing for so long is gone.
const WRITE_TIMEOUT: SpanMillis = SpanMillis::new(3_000);

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

/// Encodes a frame behind its length.
fn encode_frame<T: Serialize>(frame: &T) -> Result<Vec<u8>, FrameError> {
    let payload = codec::encode(frame).map_err(FrameError::Codec)?;
    if payload.len() > FRAME_LIMIT_BYTES {
        return Err(FrameError::TooLong(payload.len()));
    }
    let mut bytes = Vec::with_capacity(PREFIX_BYTES + payload.len());
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&payload);
    Ok(bytes)
}

/// Reads the length of a frame.
fn frame_length(prefix: [u8; PREFIX_BYTES]) -> Result<usize, FrameError> {
    let length = u32::from_le_bytes(prefix) as usize;
    if length > FRAME_LIMIT_BYTES {
        return Err(FrameError::TooLong(length));
    }
    Ok(length)
}

/// A TCP connection that carries frames and blocks its thread.
#[derive(Debug)]
pub struct FramedStream {
    stream: TcpStream,
}

impl FramedStream {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Fails when no connection is made within `limit`.
    pub fn connect(address: SocketAddr, limit: SpanMillis) -> Result<Self, FrameError> {
        Self::accept(TcpStream::connect_timeout(&address, limit.into())?)
    }

    /// Takes over an accepted connection.
    ///
    /// # Errors
    ///
    /// Fails when the socket's options cannot be set.
    pub fn accept(stream: TcpStream) -> Result<Self, FrameError> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT.into()))?;
        Ok(Self { stream })
    }

    /// Sends one frame.
    ///
    /// # Errors
    ///
    /// Fails when the frame cannot be encoded or written in full.
    pub fn send<T: Serialize>(&mut self, frame: &T) -> Result<(), FrameError> {
        self.stream.write_all(&encode_frame(frame)?)?;
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
        let mut payload = vec![0; frame_length(prefix)?];
        self.stream.read_exact(&mut payload)?;
        codec::decode(&payload).map_err(FrameError::Codec)
    }
}

/// A TCP connection that carries frames and holds no thread.
#[derive(Debug)]
pub struct FrameChannel {
    stream: tokio::net::TcpStream,
}

impl FrameChannel {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Fails when no connection is made within `limit`.
    pub async fn connect(address: SocketAddr, limit: SpanMillis) -> Result<Self, FrameError> {
        let connected = tokio::net::TcpStream::connect(address);
        let stream = within(limit, connected).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream })
    }

    /// Whether a connection without an exchange in progress is still open. A peer that has closed it, or has sent
    /// something unasked, makes it unusable.
    pub fn is_idle_open(&self) -> bool {
        // The socket is asked itself: what the runtime knows of it may be older.
        let peeked = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends one frame.
    ///
    /// # Errors
    ///
    /// Fails when the frame cannot be encoded or written in full.
    pub async fn send<T: Serialize>(&mut self, frame: &T) -> Result<(), FrameError> {
        let bytes = encode_frame(frame)?;
        let mut rest = bytes.as_slice();
        while !rest.is_empty() {
            let written = within(WRITE_TIMEOUT, self.stream.write(rest)).await?;
            if written == 0 {
                return Err(FrameError::Closed);
            }
            rest = &rest[written..];
        }
        Ok(())
    }

    /// Receives one frame. `limit` is the longest silence.
    ///
    /// # Errors
    ///
    /// Fails when no frame arrives, or one that cannot be decoded. The connection cannot be used after an error.
    pub async fn receive<T: DeserializeOwned>(
        &mut self,
        limit: SpanMillis,
    ) -> Result<T, FrameError> {
        let mut prefix = [0; PREFIX_BYTES];
        self.fill(&mut prefix, limit).await?;
        let mut payload = vec![0; frame_length(prefix)?];
        self.fill(&mut payload, limit).await?;
        codec::decode(&payload).map_err(FrameError::Codec)
    }

    async fn fill(&mut self, buffer: &mut [u8], limit: SpanMillis) -> Result<(), FrameError> {
        let mut filled = 0;
        while filled < buffer.len() {
            let read = within(limit, self.stream.read(&mut buffer[filled..])).await?;
            if read == 0 {
                return Err(FrameError::Closed);
            }
            filled += read;
        }
        Ok(())
    }
}

async fn within<T>(
    limit: SpanMillis,
    action: impl Future<Output = io::Result<T>>,
) -> Result<T, FrameError> {
    match time::timeout(Duration::from(limit), action).await {
        Ok(result) => Ok(result?),
        Err(_) => Err(FrameError::Timeout),
    }
}
