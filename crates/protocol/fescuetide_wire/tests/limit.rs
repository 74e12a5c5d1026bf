//! Tests of the datagrams in which gateways tell each other rate limits.

use fescuetide_base::RequestRate;
use fescuetide_base::SpanMillis;
use fescuetide_base::UpstreamLife;
use fescuetide_flow::DemandEntry;
use fescuetide_flow::GatewayId;
use fescuetide_flow::LIMIT_DIGEST_LIMIT;
use fescuetide_flow::LimitDigest;
use fescuetide_flow::LimitEntry;
use fescuetide_flow::PoolKey;
use fescuetide_wire::datagram::DatagramError;
use fescuetide_wire::limit::LIMIT_DATAGRAM_LIMIT_BYTES;
use fescuetide_wire::limit::LimitDatagram;

fn limit(life: u32, rate: Option<u32>, age_ms: u64) -> LimitEntry {
    LimitEntry {
        life: UpstreamLife::new(life),
        rate: rate.map(RequestRate::per_1000_s),
        age: SpanMillis::new(age_ms),
    }
}

fn demand(gateway: u32, rate: u32, age_ms: u64) -> DemandEntry {
    DemandEntry {
        gateway: GatewayId::new(gateway),
        pool: PoolKey::new(u32::MAX - gateway),
        rate: RequestRate::per_1000_s(rate),
        age: SpanMillis::new(age_ms),
    }
}

fn send(digest: LimitDigest) -> Result<LimitDigest, DatagramError> {
    let bytes: Vec<u8> = (&LimitDatagram(digest)).into();
    assert!(bytes.len() <= LIMIT_DATAGRAM_LIMIT_BYTES);
    LimitDatagram::try_from(bytes.as_slice()).map(|datagram| datagram.0)
}

/// Guards against entries that change on the way, ends of limits that arrive as limits, and ages that look younger than they
/// are.
#[test]
fn digest_arrives_as_sent_with_ages_rounded_up() {
    let sent = LimitDigest {
        limits: vec![
            limit(1, Some(0), 0),
            limit(u32::MAX, Some(4_250), 9),
            limit(3, None, 1_999),
        ],
        demands: vec![demand(5, 250_100, 0), demand(6, 0, 601)],
    };
    let expected = LimitDigest {
        limits: vec![
            limit(1, Some(0), 0),
            limit(u32::MAX, Some(4_250), 16),
            limit(3, None, 2_000),
        ],
        demands: vec![demand(5, 250_100, 0), demand(6, 0, 608)],
    };
    assert_eq!(send(sent), Ok(expected));
}

/// Guards against a datagram that does not fit into a packet.
#[test]
fn long_digest_is_cut_to_the_limit() {
    let sent = LimitDigest {
        limits: (0..200).map(|life| limit(life, Some(life), 0)).collect(),
        demands: (0..300).map(|gateway| demand(gateway, 1, 0)).collect(),
    };
    let received = send(sent).unwrap();
    assert_eq!(received.limits.len(), LIMIT_DIGEST_LIMIT);
    assert_eq!(received.demands.len(), LIMIT_DIGEST_LIMIT);
    const { assert!(LIMIT_DATAGRAM_LIMIT_BYTES <= 1_472) };
}

/// Guards against foreign or cut datagrams that are used.
#[test]
fn foreign_and_cut_datagrams_are_rejected() {
    let bytes: Vec<u8> = (&LimitDatagram(LimitDigest {
        limits: vec![limit(1, Some(1_000), 0)],
        demands: vec![demand(5, 250_100, 0)],
    }))
        .into();
    for length in 3..bytes.len() {
        let result = LimitDatagram::try_from(&bytes[..length]);
        assert_eq!(result, Err(DatagramError::WrongLength));
    }
    for bytes in [&[][..], &[3], &[3, 0], &[2, 0, 0], &[0; 9]] {
        let result = LimitDatagram::try_from(bytes);
        assert_eq!(result, Err(DatagramError::WrongKind));
    }
}
