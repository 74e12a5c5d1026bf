//! Tests of the datagrams in which gateways tell and ask each other where event streams began.

use fescuetide_fleet::VersionKey;
use fescuetide_flow::PoolKey;
use fescuetide_flow::StreamKey;
use fescuetide_flow::StreamOrigin;
use fescuetide_wire::datagram::DatagramError;
use fescuetide_wire::origin::ORIGIN_DATAGRAM_LIMIT_BYTES;
use fescuetide_wire::origin::ORIGIN_ENTRY_LIMIT;
use fescuetide_wire::origin::OriginDatagram;

fn told(count: u64) -> OriginDatagram {
    let entry = |number: u64| {
        let origin = StreamOrigin {
            pool: PoolKey::new(number as u32),
            version: VersionKey::new(u32::MAX - number as u32),
        };
        (StreamKey::new(u64::MAX - number), origin)
    };
    OriginDatagram::Told((0..count).map(entry).collect())
}

fn keys(count: u64) -> Vec<StreamKey> {
    (0..count)
        .map(|number| StreamKey::new(number << 40))
        .collect()
}

fn send(datagram: &OriginDatagram) -> Result<OriginDatagram, DatagramError> {
    let bytes: Vec<u8> = datagram.into();
    assert!(OriginDatagram::has_kind(&bytes) && bytes.len() <= ORIGIN_DATAGRAM_LIMIT_BYTES);
    OriginDatagram::try_from(bytes.as_slice())
}

/// Guards against entries or kinds that change on the way.
#[test]
fn datagrams_arrive_as_sent() {
    for datagram in [
        told(0),
        told(64),
        OriginDatagram::Sought(keys(3)),
        OriginDatagram::Unknown(keys(64)),
        OriginDatagram::Versions(vec![StreamOrigin {
            pool: PoolKey::new(1 << 31),
            version: VersionKey::new(77),
        }]),
    ] {
        assert_eq!(send(&datagram), Ok(datagram));
    }
    let limit = ORIGIN_ENTRY_LIMIT as u64;
    assert_eq!(send(&told(200)), Ok(told(limit)));
}

/// Guards against foreign or cut datagrams that are used.
#[test]
fn foreign_and_cut_datagrams_are_rejected() {
    for datagram in [told(2), OriginDatagram::Sought(keys(2))] {
        let bytes: Vec<u8> = (&datagram).into();
        for length in 2..bytes.len() {
            let result = OriginDatagram::try_from(&bytes[..length]);
            assert_eq!(result, Err(DatagramError::WrongLength));
        }
    }
    for bytes in [&[][..], &[4], &[3, 0], &[8, 0], &[0; 18]] {
        let result = OriginDatagram::try_from(bytes);
        assert_eq!(result, Err(DatagramError::WrongKind));
    }
}
