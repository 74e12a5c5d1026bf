//! Tests of input that does not end.

use fescuetide_fuzz::SeededRandom;
use fescuetide_http1::BodyDecoder;
use fescuetide_http1::BodyFraming;
use fescuetide_http1::EventError;
use fescuetide_http1::EventSplitter;
use fescuetide_http1::FramingError;
use fescuetide_http1::ResponseHead;

/// Most bytes of one message that may be needed to notice that it does not end.
const INPUT_LIMIT_BYTES: usize = 4 * 1_024 * 1_024;

/// Bytes that one message may hold before it is complete, besides decoded ones.
const HELD_LIMIT_BYTES: usize = 3 * 1_024 * 1_024;

/// Guards against an event that reaches a caller twice.
#[test]
fn event_whose_id_does_not_grow_ends_the_stream() {
    for repeated in ["id: 2\ndata: b\n\n", "id: 1\ndata: a\n\n"] {
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let input = format!("id: 1\ndata: a\n\nid: 2\ndata: b\n\n{repeated}");
        let result = splitter.feed(input.as_bytes(), &mut out);
        assert_eq!(result, Err(EventError::RepeatedId));
        assert_eq!(out, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        // Another upstream goes on after the last event.
        splitter.drop_partial();
        assert_eq!(splitter.feed(b"id: 3\ndata: c\n\n", &mut out), Ok(()));
        assert_eq!(splitter.event_count(), 3);
    }
}

/// Guards against comments that pass for progress, and against comments without end.
#[test]
fn comments_are_no_events_and_are_limited() {
    let mut splitter = EventSplitter::default();
    let mut out = Vec::new();
    assert_eq!(splitter.feed(b": still here\n\n", &mut out), Ok(()));
    assert_eq!((splitter.event_count(), out.len()), (0, 14));
    let comments = b": still here\n\n".repeat(5_000);
    let result = splitter.feed(&comments, &mut out);
    assert_eq!(result, Err(EventError::NoEvents));
    assert!(out.len() <= 64 * 1_024 + 14);
}

/// Guards against an end of an event that is missed because it arrives in several parts.
#[test]
fn events_are_found_however_they_are_divided() {
    let input = b"id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n: c\n\nid: 3\ndata: d\n\n";
    for size in 1..input.len() {
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        for part in input.chunks(size) {
            assert_eq!(splitter.feed(part, &mut out), Ok(()), "parts of {size}");
        }
        assert_eq!(out, input, "parts of {size}");
        assert_eq!((splitter.event_count(), splitter.last_id()), (3, Some(3)));
    }
}

/// Guards against trailers and chunk extensions without end.
#[test]
fn trailers_and_chunk_extensions_are_limited() {
    let trailers = format!("1\r\nx\r\n0\r\n{}", "A: b\r\n".repeat(20_000));
    let extensions = format!("1;{}\r\nx\r\n", "e".repeat(900)).repeat(5_000);
    for input in [trailers, extensions] {
        let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
        let result = decoder.decode(input.as_bytes(), &mut Vec::new());
        assert_eq!(result, Err(FramingError::BadChunk));
    }
}

/// Guards against sound bodies that are taken for endless ones: chunks of a single byte.
#[test]
fn body_in_chunks_of_one_byte_is_decoded() {
    let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
    let mut body = Vec::new();
    let input = format!("{}0\r\n\r\n", "1\r\nx\r\n".repeat(100_000));
    let step = decoder.decode(input.as_bytes(), &mut body).unwrap();
    assert!(step.done);
    assert_eq!(body.len(), 100_000);
}

/// A piece of a message that is repeated without end.
fn endless_piece(random: &mut SeededRandom) -> Vec<u8> {
    const PIECES: [&[u8]; 10] = [
        b"id: 1\ndata: a\n\n",
        b": comment\n\n",
        b"\n",
        b"\r\n",
        b"data",
        b"1\r\nx\r\n",
        b"0\r\n",
        b"A: b\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"\0\xff",
    ];
    let mut piece = Vec::new();
    for _ in 0..1 + random.below(3) {
        piece.extend_from_slice(PIECES[random.below(PIECES.len() as u64) as usize]);
    }
    piece
}

/// Guards against heads, chunked bodies and streams of events that hold memory without a limit, whatever bytes come. What is
/// decoded is not counted, since the one who stores it limits it.
#[test]
fn endless_input_is_held_within_limits() {
    for seed in 0..200 {
        let mut random = SeededRandom::new(seed);
        let piece = endless_piece(&mut random);
        let part = piece.repeat(1 + 4_096 / piece.len());
        let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
        let mut splitter = EventSplitter::default();
        let (mut fed, mut is_decoding, mut is_splitting) = (0, true, true);
        while fed < INPUT_LIMIT_BYTES && (is_decoding || is_splitting) {
            fed += part.len();
            if is_decoding {
                let step = decoder.decode(&part, &mut Vec::new());
                is_decoding = step.is_ok_and(|step| !step.done);
            }
            if is_splitting {
                is_splitting = splitter.feed(&part, &mut Vec::new()).is_ok();
            }
            let held = splitter.buffered_bytes();
            assert!(held < HELD_LIMIT_BYTES, "seed {seed}: {held} bytes");
        }
        // Events without ids may go on; a caller can use them.
        let has_events = splitter.event_count() > 0;
        assert!(
            !is_splitting || has_events,
            "seed {seed}: the stream goes on without an event"
        );
        let head = piece.repeat(1 + 64 * 1_024 / piece.len());
        let result = ResponseHead::parse(&head, 32 * 1_024);
        let is_ended = !matches!(result, Ok(None));
        assert!(is_ended, "seed {seed}: the head goes on beyond its limit");
    }
}
