//! Events of a stream (WHATWG HTML, "Server-sent events").

/// Longest event, in bytes.
const EVENT_LIMIT_BYTES: usize = 1_024 * 1_024;

/// Cuts a stream into whole events, so that a stream that breaks in the middle of an event can go on elsewhere.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    last_id: Option<u64>,
    events: u64,
}

impl EventSplitter {
    /// Takes bytes of the stream and appends all events that are now complete to `out`. Returns false when the
    /// incomplete event is longer than any event may be.
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

    /// Ends the stream: appends what is left.
    pub fn finish(&mut self, out: &mut Vec<u8>) {
        out.append(&mut self.partial);
    }

    /// Whether part of an event is held back.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Forgets the incomplete event, since another upstream sends it again.
    pub fn drop_partial(&mut self) {
        self.partial = Vec::new();
    }

    /// The id of the last whole event that was passed on.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whole events passed on.
    pub fn event_count(&self) -> u64 {
        self.events
    }
}

/// The length of the first whole event, with its blank line.
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
