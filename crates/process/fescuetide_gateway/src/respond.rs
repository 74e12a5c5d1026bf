//! Response heads for callers.

use std::io::Write;

use fescuetide_base::SpanMillis;
use fescuetide_http1::ResponseHead;
use fescuetide_http1::is_hop_by_hop_field;

/// The reason phrase of a status.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// How the end of a response body is signalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseFraming {
    Length(u64),
    Chunked,
    UntilClose,
}

/// Writes the status line.
pub(crate) fn write_status(out: &mut Vec<u8>, status: u16) {
    // Writing to a vector cannot fail.
    let _ = write!(out, "HTTP/1.1 {status} {}\r\n", reason_phrase(status));
}

/// Writes an upstream's response head without its hop-by-hop fields.
pub(crate) fn write_relayed_head(
    out: &mut Vec<u8>,
    head: &ResponseHead,
    framing: ResponseFraming,
    closes: bool,
) {
    write_status(out, head.status());
    for (name, value) in head.fields() {
        let is_omitted = is_hop_by_hop_field(name)
            || name.eq_ignore_ascii_case("content-length")
            || head.has_token("connection", name);
        if is_omitted {
            continue;
        }
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    }
    write_head_end(out, framing, closes);
}

/// Writes a response without a body that the gateway itself generates. `write_fields` adds header fields.
pub(crate) fn write_own_response(
    out: &mut Vec<u8>,
    status: u16,
    retry_after: Option<SpanMillis>,
    closes: bool,
    write_fields: impl FnOnce(&mut Vec<u8>),
) {
    write_status(out, status);
    write_fields(out);
    if let Some(delay) = retry_after {
        let seconds = delay.as_millis() as f64 / 1_000.0;
        let _ = write!(out, "Retry-After: {seconds:.2}\r\n");
    }
    write_head_end(out, ResponseFraming::Length(0), closes);
}

fn write_head_end(out: &mut Vec<u8>, framing: ResponseFraming, closes: bool) {
    match framing {
        ResponseFraming::Length(length) => {
            let _ = write!(out, "Content-Length: {length}\r\n");
        }
        ResponseFraming::Chunked => out.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
        ResponseFraming::UntilClose => {}
    }
    if closes {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
}
