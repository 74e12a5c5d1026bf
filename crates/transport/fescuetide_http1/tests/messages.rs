//! Tests for message heads, body framing and server-sent events.

use fescuetide_http1::BodyDecoder;
use fescuetide_http1::BodyFraming;
use fescuetide_http1::EventError;
use fescuetide_http1::EventSplitter;
use fescuetide_http1::FramingError;
use fescuetide_http1::HeadError;
use fescuetide_http1::RequestHead;
use fescuetide_http1::ResponseHead;

const LIMIT: usize = 4_096;

fn request(text: &str) -> RequestHead {
    RequestHead::parse(text.as_bytes(), LIMIT)
        .unwrap()
        .unwrap()
        .0
}

/// Guards against request smuggling: contradictory framing fields let two recipients see different ends of a request.
#[test]
fn contradicting_request_framing_is_rejected() {
    for fields in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: +3",
        "Content-Length: ",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    ] {
        let head = request(&format!("POST / HTTP/1.1\r\n{fields}\r\n\r\n"));
        assert_eq!(
            BodyFraming::for_request(&head),
            Err(FramingError::BadFields),
            "{fields}"
        );
    }
}

/// Guards against unbounded memory use by a head that never ends.
#[test]
fn long_heads_are_rejected() {
    let text = format!("GET / HTTP/1.1\r\na: {}", "x".repeat(LIMIT));
    assert_eq!(
        RequestHead::parse(text.as_bytes(), LIMIT).unwrap_err(),
        HeadError::TooLarge
    );
}

/// Chunks can be split at any byte, since a read can end anywhere in a chunk.
#[test]
fn chunks_are_decoded_byte_by_byte() {
    let wire = b"3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\nt: u\r\n\r\nGET";
    let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
    let mut body = Vec::new();
    let mut used = 0;
    for byte in wire {
        let step = decoder.decode(&[*byte], &mut body).unwrap();
        used += step.used;
        if step.done {
            break;
        }
    }
    assert_eq!(body, b"abc0123456789");
    assert_eq!(&wire[used..], b"GET");
}

/// Malformed chunks are errors. Decoding them as data would relay bytes that are not part of the body.
#[test]
fn malformed_chunks_are_rejected() {
    for wire in [&b"zz\r\n"[..], b"3\r\nabcde", b"-1\r\n"] {
        let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
        assert_eq!(
            decoder.decode(wire, &mut Vec::new()),
            Err(FramingError::BadChunk)
        );
    }
}

/// Guards against treating a response without a length as empty.
#[test]
fn response_without_length_ends_with_the_connection() {
    let (head, _) = ResponseHead::parse(b"HTTP/1.1 200 OK\r\n\r\n", LIMIT)
        .unwrap()
        .unwrap();
    assert_eq!(
        BodyFraming::for_response(&head, false),
        Ok(BodyFraming::UntilClose)
    );
}

/// Guards against relaying part of an event. If the stream then resumed from another upstream, the event would be
/// garbled.
#[test]
fn only_whole_events_are_passed_on() {
    let mut splitter = EventSplitter::default();
    let mut out = Vec::new();
    assert_eq!(
        splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda", &mut out),
        Ok(())
    );
    assert_eq!(out, b"id: 1\ndata: a\n\n");
    assert_eq!(splitter.last_id(), Some(1));
    splitter.drop_partial();
    assert_eq!(splitter.feed(b"id: 2\r\ndata: b\r\n\r\n", &mut out), Ok(()));
    assert_eq!(splitter.last_id(), Some(2));
    assert!(out.ends_with(b"data: b\r\n\r\n"));
}

/// Guards against a stream that was cut inside an event, or inside a line, and passes for whole; and against one that is whole and
/// passes for cut.
#[test]
fn stream_is_whole_only_if_it_ends_between_events() {
    for line_end in ["\n", "\r\n", "\r"] {
        let event = |number: u32| format!("id: {number}|data: token|event: piece||");
        let text = format!("{}: note|{}: note||{}", event(1), event(2), event(3));
        let text = text.replace('|', line_end);
        let last_event_start = text.len() - event(3).replace('|', line_end).len();
        for length in 0..=text.len() {
            let (part, rest) = text.split_at(length);
            let mut splitter = EventSplitter::default();
            let mut out = Vec::new();
            splitter.feed(part.as_bytes(), &mut out).unwrap();
            let result = splitter.finish(&mut out);
            // What is missing of the last event is the beginning of the rest.
            let is_cut = length > last_event_start && !rest.is_empty();
            if is_cut {
                assert_eq!(result, Err(EventError::Truncated), "{part:?}");
                assert_eq!(out.len(), last_event_start, "{part:?}");
            }
            if rest.is_empty() {
                assert_eq!(result, Ok(()), "{part:?}");
                assert_eq!((splitter.event_count(), out.len()), (3, text.len()));
            }
        }
    }
}

/// Guards against blank lines and comments behind the last event that make a whole stream pass for cut.
#[test]
fn stream_may_end_with_blank_lines_and_comments() {
    for end in ["", "\n", "\r\n", "\r", ": done\n", "\n: done\r\n\n"] {
        let text = format!("id: 1\ndata: token\n\n{end}");
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        splitter.feed(text.as_bytes(), &mut out).unwrap();
        assert_eq!(splitter.finish(&mut out), Ok(()), "{end:?}");
        assert_eq!(out, text.as_bytes());
    }
    for end in [": don", "d", "data: token\n", "retry: 10\n"] {
        let text = format!("id: 1\ndata: token\n\n{end}");
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        splitter.feed(text.as_bytes(), &mut out).unwrap();
        let result = splitter.finish(&mut out);
        assert_eq!(result, Err(EventError::Truncated), "{end:?}");
    }
}
