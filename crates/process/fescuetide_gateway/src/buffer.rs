//! Output buffers.

use std::io;
use std::io::IoSlice;
use std::io::Write;

/// An output buffer that releases its memory once everything is written.
#[derive(Debug, Default)]
pub(crate) struct OutputBuffer {
    bytes: Vec<u8>,
    written: usize,
}

impl OutputBuffer {
    /// The buffer to append to.
    pub(crate) fn bytes_mut(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Number of bytes that are not yet written.
    pub(crate) fn len(&self) -> usize {
        self.bytes.len() - self.written
    }

    /// Number of bytes for which memory is reserved.
    pub(crate) fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Writes as much as the socket accepts. Returns whether everything has been written.
    pub(crate) fn flush(&mut self, stream: &mut impl Write) -> io::Result<bool> {
        let (done, _) = self.flush_with(stream, &[], &mut 0)?;
        Ok(done)
    }

    /// Writes the buffer and then `tail[tail_written..]`, as much as the socket accepts, and advances `tail_written`.
    /// Returns whether the buffer and `tail` have been written completely, and the number of bytes of both that this
    /// call wrote.
    pub(crate) fn flush_with(
        &mut self,
        stream: &mut impl Write,
        tail: &[u8],
        tail_written: &mut usize,
    ) -> io::Result<(bool, usize)> {
        let mut total = 0;
        while !self.is_empty() || *tail_written < tail.len() {
            let parts = [
                IoSlice::new(&self.bytes[self.written..]),
                IoSlice::new(&tail[*tail_written..]),
            ];
            let count = match stream.write_vectored(&parts) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Ok((false, total));
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => return Err(error),
            };
            total += count;
            let own = count.min(self.len());
            self.written += own;
            *tail_written += count - own;
        }
        self.bytes = Vec::new();
        self.written = 0;
        Ok((true, total))
    }
}
