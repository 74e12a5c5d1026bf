//! Framing of message bodies (RFC 9112, section 6).

use std::fmt;

use crate::RequestHead;
use crate::ResponseHead;

/// Maximum length of a chunk size line or a trailer line.
const LINE_LIMIT_BYTES: usize = 1_024;

/// Maximum length of all trailer lines together.
const TRAILER_LIMIT_BYTES: usize = 32 * 1_024;

/// Maximum number of bytes for the sizes of chunks, in addition to [`CHUNK_OVERHEAD_FACTOR`] times the bytes in them.
const CHUNK_OVERHEAD_BYTES: usize = 64 * 1_024;

/// Bytes for the size of a chunk for each byte in it. Chunks of a single byte need 5.
const CHUNK_OVERHEAD_FACTOR: usize = 16;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body has this many bytes.
    Length(u64),
    /// Chunked transfer encoding.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

/// Why a body cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramingError {
    /// `Content-Length` or `Transfer-Encoding` is malformed or unsupported, or they contradict each other.
    BadFields,
    /// A chunk is malformed, or there are too many bytes for sizes of chunks or in trailers.
    BadChunk,
}

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadFields => write!(f, "invalid Content-Length or Transfer-Encoding"),
            Self::BadChunk => write!(f, "malformed chunk in the body"),
        }
    }
}

impl std::error::Error for FramingError {}

/// Parses `Content-Length`. Repeated fields are accepted if their values are equal.
fn parse_length<'a>(
    values: impl Iterator<Item = (&'a str, &'a [u8])>,
) -> Result<Option<u64>, FramingError> {
    let mut length = None;
    for (name, value) in values {
        if !name.eq_ignore_ascii_case("content-length") {
            continue;
        }
        let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let text = std::str::from_utf8(value).map_err(|_| FramingError::BadFields)?;
        let number: u64 = text.parse().map_err(|_| FramingError::BadFields)?;
        if !is_number || length.is_some_and(|other| other != number) {
            return Err(FramingError::BadFields);
        }
        length = Some(number);
    }
    Ok(length)
}

impl BodyFraming {
    /// The framing of a request body (RFC 9112, section 6.3). A request with both `Content-Length` and
    /// `Transfer-Encoding` is rejected: recipients could disagree about its end, which allows request smuggling.
    ///
    /// # Errors
    ///
    /// Fails if the framing fields are malformed or contradict each other.
    pub fn for_request(head: &RequestHead) -> Result<Self, FramingError> {
        let length = parse_length(head.fields())?;
        match head.count("transfer-encoding") {
            0 => Ok(Self::Length(length.unwrap_or(0))),
            1 if length.is_none()
                && !head.is_http10()
                && is_chunked(head.field("transfer-encoding")) =>
            {
                Ok(Self::Chunked)
            }
            _ => Err(FramingError::BadFields),
        }
    }

    /// The framing of a response body. `is_head_request` means that the response answers a
    /// `HEAD` request, so it has no body.
    ///
    /// # Errors
    ///
    /// Fails if the framing fields are malformed or contradict each other.
    pub fn for_response(head: &ResponseHead, is_head_request: bool) -> Result<Self, FramingError> {
        if is_head_request || matches!(head.status(), 204 | 304) {
            return Ok(Self::Length(0));
        }
        let length = parse_length(head.fields())?;
        match (head.count("transfer-encoding"), length) {
            (0, Some(length)) => Ok(Self::Length(length)),
            (0, None) => Ok(Self::UntilClose),
            (1, None) if is_chunked(head.field("transfer-encoding")) => Ok(Self::Chunked),
            _ => Err(FramingError::BadFields),
        }
    }
}

fn is_chunked(value: Option<&str>) -> bool {
    value.is_some_and(|value| value.trim().eq_ignore_ascii_case("chunked"))
}

/// Result of [`BodyDecoder::decode`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeStep {
    /// Number of input bytes consumed.
    pub used: usize,
    /// Whether the body is complete.
    pub done: bool,
}

#[derive(Clone, Debug)]
enum DecodeState {
    Length(u64),
    ChunkSize(Vec<u8>),
    ChunkData(u64),
    /// Contains the next expected byte of the CR LF after the data of a chunk.
    ChunkEnd(u8),
    Trailer {
        line: Vec<u8>,
        /// Length of the lines before.
        before: usize,
    },
    UntilClose,
    Done,
}

/// Incremental decoder that accepts input in pieces of any size.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: DecodeState,
    /// Bytes of the lines with the sizes of chunks so far.
    size_bytes: usize,
    /// Bytes in chunks so far.
    chunk_bytes: usize,
}

impl BodyDecoder {
    /// Creates a decoder for a body with this framing.
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Length(0) => DecodeState::Done,
            BodyFraming::Length(length) => DecodeState::Length(length),
            BodyFraming::Chunked => DecodeState::ChunkSize(Vec::new()),
            BodyFraming::UntilClose => DecodeState::UntilClose,
        };
        Self {
            state,
            size_bytes: 0,
            chunk_bytes: 0,
        }
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        matches!(self.state, DecodeState::Done)
    }

    /// Whether closing the connection completes the body.
    pub fn ends_with_close(&self) -> bool {
        matches!(self.state, DecodeState::UntilClose)
    }

    /// Decodes `input` and appends the decoded bytes to `body`. Stops at the end of the body.
    ///
    /// # Errors
    ///
    /// Fails if a chunk is malformed.
    pub fn decode(&mut self, input: &[u8], body: &mut Vec<u8>) -> Result<DecodeStep, FramingError> {
        let mut used = 0;
        while used < input.len() && !self.is_done() {
            used += self.decode_part(&input[used..], body)?;
        }
        Ok(DecodeStep {
            used,
            done: self.is_done(),
        })
    }

    fn decode_part(&mut self, input: &[u8], body: &mut Vec<u8>) -> Result<usize, FramingError> {
        match &mut self.state {
            DecodeState::Length(left) => {
                let count = input
                    .len()
                    .min(usize::try_from(*left).unwrap_or(usize::MAX));
                body.extend_from_slice(&input[..count]);
                *left -= count as u64;
                if *left == 0 {
                    self.state = DecodeState::Done;
                }
                Ok(count)
            }
            DecodeState::ChunkSize(line) => {
                let Some(count) = take_line(line, input)? else {
                    return Ok(input.len());
                };
                self.size_bytes += line.len();
                let allowed = self.chunk_bytes.saturating_mul(CHUNK_OVERHEAD_FACTOR);
                if self.size_bytes > allowed.saturating_add(CHUNK_OVERHEAD_BYTES) {
                    return Err(FramingError::BadChunk);
                }
                let size = match httparse::parse_chunk_size(line) {
                    Ok(httparse::Status::Complete((_, size))) => size,
                    _ => return Err(FramingError::BadChunk),
                };
                self.state = match size {
                    0 => DecodeState::Trailer {
                        line: Vec::new(),
                        before: 0,
                    },
                    size => DecodeState::ChunkData(size),
                };
                Ok(count)
            }
            DecodeState::ChunkData(left) => {
                let count = input
                    .len()
                    .min(usize::try_from(*left).unwrap_or(usize::MAX));
                body.extend_from_slice(&input[..count]);
                self.chunk_bytes = self.chunk_bytes.saturating_add(count);
                *left -= count as u64;
                if *left == 0 {
                    self.state = DecodeState::ChunkEnd(b'\r');
                }
                Ok(count)
            }
            DecodeState::ChunkEnd(expected) => {
                if input[0] != *expected {
                    return Err(FramingError::BadChunk);
                }
                self.state = match expected {
                    b'\r' => DecodeState::ChunkEnd(b'\n'),
                    _ => DecodeState::ChunkSize(Vec::new()),
                };
                Ok(1)
            }
            DecodeState::Trailer { line, before } => {
                let Some(count) = take_line(line, input)? else {
                    return Ok(input.len());
                };
                *before += line.len();
                if *before > TRAILER_LIMIT_BYTES {
                    return Err(FramingError::BadChunk);
                }
                let is_last = line == b"\r\n" || line == b"\n";
                line.clear();
                if is_last {
                    self.state = DecodeState::Done;
                }
                Ok(count)
            }
            DecodeState::UntilClose => {
                body.extend_from_slice(input);
                Ok(input.len())
            }
            DecodeState::Done => Ok(0),
        }
    }
}

/// Appends `input` up to the end of the line to `line`. Returns the number of bytes taken, or `None` if the line is
/// still incomplete and all of `input` was taken.
fn take_line(line: &mut Vec<u8>, input: &[u8]) -> Result<Option<usize>, FramingError> {
    let end = input.iter().position(|byte| *byte == b'\n');
    let count = end.map_or(input.len(), |end| end + 1);
    if line.len() + count > LINE_LIMIT_BYTES {
        return Err(FramingError::BadChunk);
    }
    line.extend_from_slice(&input[..count]);
    Ok(end.map(|_| count))
}
