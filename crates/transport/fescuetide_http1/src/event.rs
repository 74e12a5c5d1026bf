//! Server-sent events (WHATWG HTML, "Server-sent events").

use std::fmt;

/// Maximum length of an incomplete event.
const EVENT_LIMIT_BYTES: usize = 1_024 * 1_024;

/// Maximum number of bytes between two events that are no event, such as comments. Some servers send a comment every few
/// seconds, so that a connection without events is not taken for dead.
const COMMENT_LIMIT_BYTES: usize = 64 * 1_024;

/// Why a stream of events cannot be used any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventError {
    /// An incomplete event is longer than the maximum of 1 MiB.
    TooLong,
    /// The id of an event is not greater than that of the event before.
    RepeatedId,
    /// More than 64 KiB came without an event.
    NoEvents,
    /// The stream ended inside an event, so its upstream has not sent all of it.
    Truncated,
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => write!(f, "an event is too long"),
            Self::RepeatedId => write!(f, "the ids of events do not grow"),
            Self::NoEvents => write!(f, "too many bytes without an event"),
            Self::Truncated => write!(f, "the stream ended inside an event"),
        }
    }
}

impl std::error::Error for EventError {}

/// Splits a stream into complete events, so that a stream that breaks in the middle of an event can be resumed from
/// another upstream.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    last_id: Option<u64>,
    events: u64,
    /// Bytes since the last event that were no event.
    comment_bytes: usize,
}

impl EventSplitter {
    /// Adds bytes of the stream and appends all events that are now complete to `out`, up to the first one that cannot be
    /// used.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream cannot be used any further. The events before were appended.
    pub fn feed(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(), EventError> {
        // The end of an event may have arrived in part.
        let mut scanned = self.partial.len().saturating_sub(EVENT_END_BYTES);
        self.partial.extend_from_slice(bytes);
        let mut start = 0;
        let mut result = Ok(());
        while let Some(end) = find_event_end(&self.partial[start..], scanned) {
            scanned = 0;
            let event = EventFields::parse(&self.partial[start..start + end]);
            result = self.note_event(event, end);
            if result.is_err() {
                break;
            }
            start += end;
        }
        out.extend_from_slice(&self.partial[..start]);
        self.partial.drain(..start);
        if self.partial.is_empty() {
            self.partial = Vec::new();
        }
        result?;
        match self.partial.len() <= EVENT_LIMIT_BYTES {
            true => Ok(()),
            false => Err(EventError::TooLong),
        }
    }

    fn note_event(&mut self, event: EventFields, length: usize) -> Result<(), EventError> {
        if !event.has_content {
            self.comment_bytes += length;
            return match self.comment_bytes <= COMMENT_LIMIT_BYTES {
                true => Ok(()),
                false => Err(EventError::NoEvents),
            };
        }
        let is_repeated = event.id.is_some() && event.id <= self.last_id;
        if is_repeated {
            return Err(EventError::RepeatedId);
        }
        self.last_id = event.id.or(self.last_id);
        self.events += 1;
        self.comment_bytes = 0;
        Ok(())
    }

    /// Number of buffered bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.partial.capacity()
    }

    /// Ends the stream and appends the bytes after its last event to `out`, which can only be blank lines and comments.
    ///
    /// # Errors
    ///
    /// Returns [`EventError::Truncated`] if the stream ended inside an event, before the blank line at its end, or inside a
    /// line. Nothing is appended then.
    pub fn finish(&mut self, out: &mut Vec<u8>) -> Result<(), EventError> {
        if has_event_part(&self.partial) {
            return Err(EventError::Truncated);
        }
        out.append(&mut self.partial);
        Ok(())
    }

    /// Discards the incomplete event, because the upstream that resumes the stream sends it again.
    pub fn drop_partial(&mut self) {
        self.partial = Vec::new();
    }

    /// The newest event id seen in complete events.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Number of complete events.
    pub fn event_count(&self) -> u64 {
        self.events
    }
}

/// Maximum length of the line ends at the end of an event.
const EVENT_END_BYTES: usize = 4;

fn is_line_end(byte: &u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

/// The length of the first complete event, including the blank line that ends it. The line ends are not before `from`.
///
/// Lines end with LF, CR LF or CR. The byte after a CR decides which of the last two it is, except in a blank line behind a
/// line that ends with CR.
fn find_event_end(bytes: &[u8], mut from: usize) -> Option<usize> {
    while let Some(offset) = bytes[from..].iter().position(is_line_end) {
        let end = from + offset;
        let next = match &bytes[end..] {
            [b'\r', b'\n', ..] => end + 2,
            _ => end + 1,
        };
        let is_bare_return = bytes[next - 1] == b'\r';
        match &bytes[next..] {
            [b'\r', b'\n', ..] => return Some(next + 2),
            [b'\n', ..] | [b'\r', _, ..] => return Some(next + 1),
            [b'\r'] if is_bare_return => return Some(next + 1),
            [b'\r'] | [] => return None,
            _ => from = next,
        }
    }
    None
}

/// Whether the bytes behind the last event contain a part of another one. Blank lines and comments belong to no event, but a
/// line without its end has been cut off, whatever it is.
fn has_event_part(bytes: &[u8]) -> bool {
    let has_cut_line = bytes.last().is_some_and(|byte| !is_line_end(byte));
    let mut lines = bytes.split(is_line_end);
    has_cut_line || lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
}

/// What matters of the fields of an event.
#[derive(Clone, Copy, Debug, Default)]
struct EventFields {
    id: Option<u64>,
    /// Whether there is an id or data. Otherwise a client dispatches no event.
    has_content: bool,
}

impl EventFields {
    fn parse(event: &[u8]) -> Self {
        let mut fields = Self::default();
        for line in event.split(is_line_end) {
            fields.has_content |= line.starts_with(b"data");
            let Some(value) = line.strip_prefix(b"id:") else {
                continue;
            };
            fields.has_content = true;
            let text = std::str::from_utf8(value.trim_ascii());
            fields.id = fields.id.or(text.ok().and_then(|text| text.parse().ok()));
        }
        fields
    }
}
