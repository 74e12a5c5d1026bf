//! Message heads.

use std::fmt;
use std::ops::Range;
use std::ops::RangeInclusive;

/// Maximum number of fields in a head.
const FIELD_LIMIT: usize = 96;

/// Valid status codes (RFC 9110, section 15).
const STATUS_RANGE: RangeInclusive<u16> = 100..=599;

/// Why a message head cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The head exceeds the limit on its length or on the number of fields.
    TooLarge,
    /// The head violates the HTTP/1.1 grammar.
    Malformed,
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => write!(f, "message head is too large"),
            Self::Malformed => write!(f, "malformed HTTP/1.1 message head"),
        }
    }
}

impl std::error::Error for HeadError {}

/// Hop-by-hop fields (RFC 9110, section 7.6.1).
const HOP_BY_HOP_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a field applies to a single connection and must not be forwarded.
pub fn is_hop_by_hop_field(name: &str) -> bool {
    HOP_BY_HOP_FIELDS
        .iter()
        .any(|hop| name.eq_ignore_ascii_case(hop))
}

#[derive(Clone, Debug)]
struct FieldRange {
    name: Range<u32>,
    value: Range<u32>,
}

/// The raw bytes of a head, and the position of the name and value of each field. A head therefore needs only two
/// allocations.
#[derive(Clone, Debug)]
struct FieldBlock {
    bytes: Box<[u8]>,
    ranges: Box<[FieldRange]>,
}

impl FieldBlock {
    fn new(bytes: &[u8], fields: &[httparse::Header<'_>]) -> Self {
        let mut ranges = Vec::with_capacity(fields.len());
        for field in fields {
            ranges.push(FieldRange {
                name: range_of(bytes, field.name.as_bytes()),
                value: range_of(bytes, field.value),
            });
        }
        Self {
            bytes: bytes.into(),
            ranges: ranges.into(),
        }
    }

    fn slice(&self, range: &Range<u32>) -> &[u8] {
        &self.bytes[range.start as usize..range.end as usize]
    }

    /// The text of a field name, method or target. The parser accepts only valid UTF-8 there, so the conversion cannot
    /// fail.
    fn str_of(&self, range: &Range<u32>) -> &str {
        std::str::from_utf8(self.slice(range)).unwrap_or("")
    }

    fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.ranges
            .iter()
            .map(|field| (self.str_of(&field.name), self.slice(&field.value)))
    }

    fn get_all<'a, 'b>(&'a self, name: &'b str) -> impl Iterator<Item = &'a [u8]> + use<'a, 'b> {
        self.iter()
            .filter(move |(own, _)| own.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    fn get(&self, name: &str) -> Option<&str> {
        let value = self.get_all(name).next()?;
        std::str::from_utf8(value).ok()
    }

    /// Whether a comma-separated list field contains a token.
    fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name).any(|value| {
            value
                .split(|byte| *byte == b',')
                .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    /// Whether a message of HTTP/1.`minor` with these fields keeps the connection open.
    fn keeps_alive(&self, minor: u8) -> bool {
        match minor {
            0 => self.has_token("connection", "keep-alive"),
            _ => !self.has_token("connection", "close"),
        }
    }
}

/// Converts the result of parsing `available` bytes to the length of the head, `None` while the head is incomplete.
fn check_length(
    result: httparse::Result<usize>,
    available: usize,
    limit: usize,
) -> Result<Option<usize>, HeadError> {
    match result {
        Ok(httparse::Status::Complete(used)) if used <= limit => Ok(Some(used)),
        Ok(httparse::Status::Partial) if available <= limit => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLarge),
        Err(_) => Err(HeadError::Malformed),
    }
}

/// The range of `part` within `text`. `part` must be empty or a slice of `text`.
fn range_of(text: &[u8], part: &[u8]) -> Range<u32> {
    if part.is_empty() {
        return 0..0;
    }
    let start = (part.as_ptr() as usize - text.as_ptr() as usize) as u32;
    start..start + part.len() as u32
}

/// Implements the field accessors that request and response heads share.
macro_rules! field_access {
    ($head:ident) => {
        impl $head {
            /// All fields in order.
            pub fn fields(&self) -> impl Iterator<Item = (&str, &[u8])> {
                self.fields.iter()
            }

            /// The first value of a field, `None` if it is absent or not valid UTF-8.
            pub fn field(&self, name: &str) -> Option<&str> {
                self.fields.get(name)
            }

            /// Number of occurrences of a field.
            pub fn count(&self, name: &str) -> usize {
                self.fields.get_all(name).count()
            }

            /// Whether a list field has a token.
            pub fn has_token(&self, name: &str, token: &str) -> bool {
                self.fields.has_token(name, token)
            }

            /// Whether the connection stays open after this message.
            pub fn keeps_alive(&self) -> bool {
                self.fields.keeps_alive(self.minor)
            }
        }
    };
}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    fields: FieldBlock,
    method: Range<u32>,
    target: Range<u32>,
    minor: u8,
}

impl RequestHead {
    /// Parses a head at the start of `bytes`. Returns the head and its length, or `None` while the head is incomplete.
    ///
    /// # Errors
    ///
    /// Fails if the head is malformed, longer than `limit` bytes or has too many fields.
    pub fn parse(bytes: &[u8], limit: usize) -> Result<Option<(Self, usize)>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; FIELD_LIMIT];
        let mut request = httparse::Request::new(&mut fields);
        let Some(used) = check_length(request.parse(bytes), bytes.len(), limit)? else {
            return Ok(None);
        };
        let text = &bytes[..used];
        let (Some(method), Some(target), Some(minor)) =
            (request.method, request.path, request.version)
        else {
            return Err(HeadError::Malformed);
        };
        let head = Self {
            method: range_of(text, method.as_bytes()),
            target: range_of(text, target.as_bytes()),
            minor,
            fields: FieldBlock::new(text, request.headers),
        };
        Ok(Some((head, used)))
    }

    /// The request method, in the case in which it was sent.
    pub fn method(&self) -> &str {
        self.fields.str_of(&self.method)
    }

    /// The request target: path and query.
    pub fn target(&self) -> &str {
        self.fields.str_of(&self.target)
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        let target = self.target();
        target.split('?').next().unwrap_or(target)
    }

    /// Whether the client waits for `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.has_token("expect", "100-continue")
    }

    /// Whether the request uses HTTP/1.0.
    pub fn is_http10(&self) -> bool {
        self.minor == 0
    }
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    fields: FieldBlock,
    status: u16,
    minor: u8,
}

impl ResponseHead {
    /// Parses a head at the start of `bytes`. Returns the head and its length, or `None` while the head is incomplete.
    ///
    /// # Errors
    ///
    /// Fails if the head is malformed, longer than `limit` bytes or has too many fields.
    pub fn parse(bytes: &[u8], limit: usize) -> Result<Option<(Self, usize)>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; FIELD_LIMIT];
        let mut response = httparse::Response::new(&mut fields);
        let Some(used) = check_length(response.parse(bytes), bytes.len(), limit)? else {
            return Ok(None);
        };
        let (Some(status), Some(minor)) = (response.code, response.version) else {
            return Err(HeadError::Malformed);
        };
        if !STATUS_RANGE.contains(&status) {
            return Err(HeadError::Malformed);
        }
        let head = Self {
            status,
            minor,
            fields: FieldBlock::new(&bytes[..used], response.headers),
        };
        Ok(Some((head, used)))
    }

    /// The status code.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Whether the status is a success (2xx).
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

field_access!(RequestHead);
field_access!(ResponseHead);
