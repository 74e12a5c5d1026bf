//! Reading from callers and upstreams, in turns.

use std::io;
use std::io::Read;

use crate::codec::HttpCodec;
use crate::connection::Connection;
use crate::traffic::TrafficLoop;

/// Maximum number of reads from one connection before others get their turn.
const READS_PER_TURN: usize = 16;

/// Result of one read.
enum ReadResult {
    /// This many bytes were read.
    Bytes(usize),
    /// No more bytes have arrived.
    Blocked,
    /// The connection was closed, or has failed with the error.
    Closed(Option<io::ErrorKind>),
}

impl From<io::Result<usize>> for ReadResult {
    fn from(result: io::Result<usize>) -> Self {
        match result {
            Ok(0) => Self::Closed(None),
            Ok(count) => Self::Bytes(count),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Self::Blocked,
            Err(error) => Self::Closed(Some(error.kind())),
        }
    }
}

impl<C: HttpCodec> TrafficLoop<C> {
    /// Reads from a caller or an upstream. Polling is edge-triggered: a read that does not fill the buffer has drained the
    /// socket, and new bytes cause a new event. If `until_blocked` is set, no further event may come, for example after the
    /// end of the connection was reported, so the socket is read until it would block.
    pub(crate) fn read_connection(&mut self, token: usize, until_blocked: bool) {
        let is_caller = matches!(self.connections.get(token), Some(Connection::Caller(_)));
        if is_caller && self.defer_read(token) || self.pauses_reading(token) {
            return;
        }
        let mut scratch = std::mem::take(&mut self.scratch);
        let mut reads = 0;
        while let Some(result) = self.read_once(token, &mut scratch) {
            match result {
                ReadResult::Bytes(count) => {
                    self.handle_bytes(token, &scratch[..count]);
                    reads += 1;
                    if count < scratch.len() && !until_blocked {
                        break;
                    }
                    if reads >= READS_PER_TURN {
                        self.unfinished_reads.insert(token);
                        break;
                    }
                }
                ReadResult::Blocked => break,
                ReadResult::Closed(error) => {
                    self.handle_close(token, error);
                    break;
                }
            }
        }
        self.scratch = scratch;
        self.settle_buffers(token);
    }

    /// Reads what is left of connections whose turn was over.
    pub(crate) fn finish_reads(&mut self) {
        for token in std::mem::take(&mut self.unfinished_reads) {
            self.read_connection(token, true);
            self.run_actions();
        }
    }

    /// Reads once. Returns `None` if the connection is neither a caller's nor an upstream's, or was closed.
    fn read_once(&mut self, token: usize, buffer: &mut [u8]) -> Option<ReadResult> {
        loop {
            let result = match self.connections.get_mut(token)? {
                Connection::Caller(caller) => caller.stream.read(buffer),
                Connection::Upstream(upstream) => upstream.stream.read(buffer),
                Connection::Monitoring(_) => return None,
            };
            match result {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => return Some(result.into()),
            }
        }
    }

    fn handle_bytes(&mut self, token: usize, bytes: &[u8]) {
        match self.connections.get(token) {
            Some(Connection::Caller(_)) => self.handle_caller_bytes(token, bytes),
            Some(Connection::Upstream(_)) => self.handle_upstream_bytes(token, bytes),
            Some(Connection::Monitoring(_)) | None => {}
        }
    }

    fn handle_close(&mut self, token: usize, error: Option<io::ErrorKind>) {
        match self.connections.get(token) {
            Some(Connection::Caller(_)) => self.drop_caller(token),
            Some(Connection::Upstream(_)) => self.handle_upstream_close(token, error),
            Some(Connection::Monitoring(_)) | None => {}
        }
    }
}
