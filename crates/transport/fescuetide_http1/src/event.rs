//! Server-sent events (WHATWG HTML, "Server-sent events").

/// Maximum length of an incomplete event.
const EVENT_LIMIT_BYTES: usize = 1_024 * 1_024;

/// Splits a stream into complete events, so that a stream that breaks in the middle of an event can be resumed from
/// another upstream.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    last_id: Option<u64>,
    events: u64,
}

impl EventSplitter {
    /// Adds bytes of the stream and appends all events that are now complete to `out`. Returns false if the remaining
    /// incomplete event is longer than the maximum of 1 MiB.
    pub fn feed(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> bool {
        self.partial.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(end) = find_event_end(&self.partial[start..]) {
            let event = &self.partial[start..start + end];
            if let Some(id) = parse_id(event) {
                self.last_id = Some(id);
            }
            self.events += 1;
            start += end;
        }
        out.extend_from_slice(&self.partial[..start]);
        self.partial.drain(..start);
        if self.partial.is_empty() {
            self.partial = Vec::new();
        }
        self.partial.len() <= EVENT_LIMIT_BYTES
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

/// The length of the first complete event, including the blank line that ends it.
fn find_event_end(bytes: &[u8]) -> Option<usize> {
    let mut from = 0;
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

fn parse_id(event: &[u8]) -> Option<u64> {
    for line in event.split(|byte| *byte == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        return std::str::from_utf8(value.trim_ascii()).ok()?.parse().ok();
    }
    None
}
