//! Tests of what gateways tell each other, and write to the log, about where event streams began.

use fescuetide_fleet::VersionKey;
use fescuetide_flow::OriginEntry;
use fescuetide_flow::OriginMessage;
use fescuetide_flow::PoolKey;
use fescuetide_flow::StreamKey;
use fescuetide_flow::StreamOrigin;
use fescuetide_wire::datagram::DatagramError;
use fescuetide_wire::origin::ORIGIN_DATAGRAM_LIMIT_BYTES;
use fescuetide_wire::origin::ORIGIN_ENTRY_LIMIT;
use fescuetide_wire::origin::OriginDatagram;
use fescuetide_wire::origin::OriginRecord;

const ORIGIN: StreamOrigin = StreamOrigin {
    pool: PoolKey::new(1 << 31),
    version: VersionKey::new(77),
};

fn entries(count: u64) -> Vec<OriginEntry> {
    let entry = |number: u64| OriginEntry {
        stream: StreamKey::new(u64::MAX - number),
        origin: StreamOrigin {
            pool: PoolKey::new(number as u32),
            version: VersionKey::new(u32::MAX - number as u32),
        },
        moves: number as u8,
    };
    (0..count).map(entry).collect()
}

fn keys(count: u64) -> Vec<StreamKey> {
    (0..count)
        .map(|number| StreamKey::new(number << 40))
        .collect()
}

fn unknown(count: u64, has_one_version: bool) -> OriginMessage {
    OriginMessage::Unknown {
        streams: keys(count),
        has_one_version,
    }
}

fn encode(datagram: &OriginDatagram) -> Vec<u8> {
    let bytes: Vec<u8> = datagram.into();
    assert!(OriginDatagram::has_kind(&bytes) && bytes.len() <= ORIGIN_DATAGRAM_LIMIT_BYTES);
    bytes
}

/// Guards against entries or kinds that change on the way.
#[test]
fn datagrams_arrive_as_sent() {
    for message in [
        OriginMessage::Told(entries(1)),
        OriginMessage::Told(entries(64)),
        OriginMessage::ToWrite(entries(64)),
        OriginMessage::Sought(keys(3)),
        OriginMessage::Written(keys(5)),
        unknown(64, false),
        unknown(2, true),
        OriginMessage::Versions(vec![ORIGIN]),
        OriginMessage::Forgotten(vec![ORIGIN; 3]),
    ] {
        let datagram = OriginDatagram(message);
        let bytes = encode(&datagram);
        assert_eq!(OriginDatagram::try_from(bytes.as_slice()), Ok(datagram));
    }
}

/// Guards against entries that are lost since a message is longer than a datagram.
#[test]
fn long_messages_are_split() {
    let message = OriginMessage::ToWrite(entries(200));
    let mut arrived = Vec::new();
    for datagram in OriginDatagram::split(message) {
        let bytes = encode(&datagram);
        match OriginDatagram::try_from(bytes.as_slice()) {
            Ok(OriginDatagram(OriginMessage::ToWrite(part))) => {
                assert!(part.len() <= ORIGIN_ENTRY_LIMIT);
                arrived.extend(part);
            }
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(arrived, entries(200));
}

/// Guards against foreign or cut datagrams that are used.
#[test]
fn foreign_and_cut_datagrams_are_rejected() {
    for message in [
        OriginMessage::Told(entries(2)),
        OriginMessage::ToWrite(entries(2)),
        OriginMessage::Sought(keys(2)),
    ] {
        let bytes = encode(&OriginDatagram(message));
        for length in 2..bytes.len() {
            let result = OriginDatagram::try_from(&bytes[..length]);
            assert_eq!(result, Err(DatagramError::WrongLength));
        }
    }
    for bytes in [&[][..], &[4], &[3, 0], &[11, 0], &[0; 18]] {
        let result = OriginDatagram::try_from(bytes);
        assert_eq!(result, Err(DatagramError::WrongKind));
    }
}

/// Guards against records that change in the log, and against a record without an era that removes its key.
#[test]
fn records_are_read_as_written() {
    let version = |era: &str| OriginRecord::Version {
        origin: ORIGIN,
        era: era.to_owned(),
    };
    for record in [
        OriginRecord::Origins(entries(300)),
        version("7"),
        version(""),
        OriginRecord::Forgotten(ORIGIN),
    ] {
        let value = record.value();
        let is_removal = record == OriginRecord::Forgotten(ORIGIN);
        assert_eq!(value.is_none(), is_removal);
        let read = OriginRecord::decode(&record.key(), value.as_deref());
        assert_eq!(read, Ok(record));
    }
}

/// Guards against foreign records that are used.
#[test]
fn foreign_records_are_rejected() {
    for (key, value) in [
        ("", None),
        ("origins", Some(&[1; 20][..])),
        ("version-1", Some(b"era 1")),
        ("version-zz-00000001", Some(b"era 1")),
        ("version-00000001-00000002", Some(&[0xff])),
    ] {
        assert!(OriginRecord::decode(key, value).is_err(), "{key}");
    }
}
