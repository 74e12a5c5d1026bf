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
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => write!(f, "an event is too long"),
            Self::RepeatedId => write!(f, "the ids of events do not grow"),
            Self::NoEvents => write!(f, "too many bytes without an event"),
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

    /// Ends the stream and appends the remaining bytes to `out`.
    pub fn finish(&mut self, out: &mut Vec<u8>) {
        out.append(&mut self.partial);
    }

    /// Whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
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

/// The length of the first complete event, including the blank line that ends it. The line ends are not before `from`.
fn find_event_end(bytes: &[u8], mut from: usize) -> Option<usize> {
    while let Some(offset) = bytes[from..].iter().position(|byte| *byte == b'\n') {
        let next = from + offset + 1;
        match bytes.get(next) {
            Some(b'\n') => return Some(next + 1),
            Some(b'\r') if bytes.get(next + 1) == Some(&b'\n') => return Some(next + 2),
            _ => from = next,
        }
    }
    None
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
        for line in event.split(|byte| *byte == b'\n') {
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
