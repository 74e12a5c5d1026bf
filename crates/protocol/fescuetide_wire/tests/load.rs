//! Tests of the datagrams in which gateways tell each other loads.

use fescuetide_base::SpanMillis;
use fescuetide_flow::LOAD_DIGEST_LIMIT;
use fescuetide_flow::LoadEntry;
use fescuetide_flow::LoadKey;
use fescuetide_wire::load::LOAD_DATAGRAM_LIMIT_BYTES;
use fescuetide_wire::load::LoadDatagram;
use fescuetide_wire::load::LoadDatagramError;

fn entry(key: u32, load: u32, age_ms: u64) -> LoadEntry {
    LoadEntry {
        key: LoadKey(key),
        load,
        age: SpanMillis::new(age_ms),
    }
}

/// Guards against entries that change on the way, and against ages that look younger than they are.
#[test]
fn digest_arrives_as_sent_with_ages_rounded_up() {
    let sent = LoadDatagram(vec![
        entry(7, 0, 0),
        entry(u32::MAX, 70_000, 1_001),
        entry(9, 300, 5_000),
    ]);
    let bytes: Vec<u8> = (&sent).into();
    let received = LoadDatagram::try_from(bytes.as_slice()).unwrap();
    let expected = vec![
        entry(7, 0, 0),
        entry(u32::MAX, 65_535, 1_008),
        entry(9, 300, 2_040),
    ];
    assert_eq!(received.0, expected);
}

/// Guards against bytes of other programs, cut datagrams and oversized ones that are taken for loads.
#[test]
fn foreign_cut_and_oversized_datagrams_are_rejected() {
    let full = LoadDatagram(vec![entry(1, 2, 3); LOAD_DIGEST_LIMIT + 5]);
    let bytes: Vec<u8> = (&full).into();
    assert_eq!(bytes.len(), LOAD_DATAGRAM_LIMIT_BYTES);
    assert!(LoadDatagram::try_from(bytes.as_slice()).is_ok());
    let cut = &bytes[..bytes.len() - 1];
    let long = [bytes.as_slice(), &[0; 7]].concat();
    for (input, error) in [
        (&[][..], LoadDatagramError::WrongVersion),
        (b"GET / HTTP/1.1\r\n\r\n", LoadDatagramError::WrongVersion),
        (cut, LoadDatagramError::WrongLength),
        (&long, LoadDatagramError::WrongLength),
    ] {
        assert_eq!(LoadDatagram::try_from(input), Err(error));
    }
}
