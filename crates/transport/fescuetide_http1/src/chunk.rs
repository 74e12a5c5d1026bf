//! Writing chunked bodies.

use std::io::Write;

/// Appends one chunk to `out`. Empty data is skipped, because an empty chunk would end the body.
pub fn write_chunk(out: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    // Writing to a vector cannot fail.
    let _ = write!(out, "{:x}\r\n", data.len());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// Appends the last chunk, which ends a chunked body, to `out`.
pub fn write_last_chunk(out: &mut Vec<u8>) {
    out.extend_from_slice(b"0\r\n\r\n");
}
