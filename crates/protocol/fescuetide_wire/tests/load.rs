//! Tests of the datagrams in which gateways tell each other loads.

use fescuetide_base::SpanMillis;
use fescuetide_base::UpstreamLife;
use fescuetide_fleet::ConfigNews;
use fescuetide_fleet::ConfigVersion;
use fescuetide_fleet::ListingNews;
use fescuetide_flow::LOAD_DIGEST_LIMIT;
use fescuetide_flow::LoadEntry;
use fescuetide_wire::datagram::DatagramError;
use fescuetide_wire::load::LOAD_DATAGRAM_LIMIT_BYTES;
use fescuetide_wire::load::LoadDatagram;

fn entry(key: u32, load: u32, age_ms: u64) -> LoadEntry {
    LoadEntry {
        key: UpstreamLife::new(key),
        load,
        age: SpanMillis::new(age_ms),
    }
}

/// Guards against entries that change on the way, and against ages that look younger than they are.
#[test]
fn digest_arrives_as_sent_with_ages_rounded_up() {
    let listing = |age| ListingNews {
        hash: u64::MAX - 5,
        age: SpanMillis::new(age),
    };
    let config = |age| ConfigNews {
        version: ConfigVersion::new(u64::MAX - 9),
        age: SpanMillis::new(age),
    };
    let sent = LoadDatagram {
        listing: Some(listing(601)),
        config: Some(config(7)),
        loads: vec![
            entry(7, 0, 0),
            entry(u32::MAX, 70_000, 1_001),
            entry(9, 300, 5_000),
        ],
    };
    let bytes: Vec<u8> = (&sent).into();
    let received = LoadDatagram::try_from(bytes.as_slice()).unwrap();
    let expected = vec![
        entry(7, 0, 0),
        entry(u32::MAX, 65_535, 1_008),
        entry(9, 300, 2_040),
    ];
    assert_eq!(received.loads, expected);
    assert_eq!(received.listing, Some(listing(608)));
    assert_eq!(received.config, Some(config(8)));
}

/// Guards against a list that was read long ago and is told as a recent one.
#[test]
fn list_that_was_read_too_long_ago_is_not_told() {
    for listing in [
        None,
        Some(ListingNews {
            hash: 7,
            age: SpanMillis::new(90_000),
        }),
    ] {
        let sent = LoadDatagram {
            listing,
            ..LoadDatagram::default()
        };
        let bytes: Vec<u8> = (&sent).into();
        let received = LoadDatagram::try_from(bytes.as_slice()).unwrap();
        assert_eq!((received.listing, received.config), (None, None));
    }
}

/// Guards against bytes of other programs, cut datagrams and oversized ones that are taken for loads.
#[test]
fn foreign_cut_and_oversized_datagrams_are_rejected() {
    let full = LoadDatagram {
        loads: vec![entry(1, 2, 3); LOAD_DIGEST_LIMIT + 5],
        ..LoadDatagram::default()
    };
    let bytes: Vec<u8> = (&full).into();
    assert_eq!(bytes.len(), LOAD_DATAGRAM_LIMIT_BYTES);
    assert!(LoadDatagram::try_from(bytes.as_slice()).is_ok());
    let cut = &bytes[..bytes.len() - 1];
    let long = [bytes.as_slice(), &[0; 7]].concat();
    for (input, error) in [
        (&[][..], DatagramError::WrongKind),
        (b"GET / HTTP/1.1\r\n\r\n", DatagramError::WrongKind),
        (cut, DatagramError::WrongLength),
        (&bytes[..5], DatagramError::WrongLength),
        (&long, DatagramError::WrongLength),
    ] {
        assert_eq!(LoadDatagram::try_from(input), Err(error));
    }
}
