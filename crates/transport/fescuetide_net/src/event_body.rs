//! The body of a streamed HTTP response.

use std::io;
use std::io::Read;

/// The number of reads after which the HTTP library writes out what it has buffered.
///
/// The library polls a blocking body again before it flushes, and flushes when it holds 16 buffers. Each event is
/// therefore handed over in exactly 16 reads, else it would only leave together with later events.
const READS_PER_FLUSH: usize = 16;

/// Filler between events: server-sent events ignore empty lines there.
const FILLER: u8 = b'\n';

/// Yields events one at a time; an empty result ends the body.
pub trait EventSource: Send + 'static {
    /// Waits for the next event's text.
    fn next_event(&mut self) -> Option<Vec<u8>>;
}

/// Reads events such that each one leaves before the next is waited for.
pub struct EventBody<S> {
    source: S,
    event: Vec<u8>,
    sent: usize,
    reads: usize,
}

impl<S: EventSource> EventBody<S> {
    /// Creates the body.
    pub fn new(source: S) -> Self {
        Self {
            source,
            event: Vec::new(),
            sent: 0,
            reads: 0,
        }
    }
}

impl<S: EventSource> Read for EventBody<S> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if buffer.is_empty() {
            return Ok(0);
        }
        let flushed = self.reads.is_multiple_of(READS_PER_FLUSH);
        if self.sent == self.event.len() && flushed {
            let Some(event) = self.source.next_event() else {
                return Ok(0);
            };
            self.event = event;
            self.sent = 0;
        }
        let reads_left = READS_PER_FLUSH - self.reads % READS_PER_FLUSH;
        self.reads += 1;
        let rest = &self.event[self.sent..];
        if rest.is_empty() {
            buffer[0] = FILLER;
            return Ok(1);
        }
        let length = rest.len().div_ceil(reads_left).min(buffer.len());
        buffer[..length].copy_from_slice(&rest[..length]);
        self.sent += length;
        Ok(length)
    }
}
