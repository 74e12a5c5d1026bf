//! Datagrams in which gateways tell each other the rate limits of upstreams, and the rates at which requests arrive.
//!
//! A datagram has one byte for the format, then two for the numbers of limits and of rates, and then 9 bytes for each limit: the
//! upstream (4 bytes), the limit (4 bytes) and the age of the news (1 byte), and 13 bytes for each rate: the gateway, the pool, the
//! rate (4 bytes each) and its age (1 byte). Rates are requests in 1000 s, and the largest number stands for no limit any more.
//! Ages are in units of 8 ms. Numbers are little-endian.

use fescuetide_base::RequestRate;
use fescuetide_base::UpstreamLife;
use fescuetide_flow::DemandEntry;
use fescuetide_flow::GatewayId;
use fescuetide_flow::LIMIT_DIGEST_LIMIT;
use fescuetide_flow::LimitDigest;
use fescuetide_flow::LimitEntry;
use fescuetide_flow::PoolKey;

use crate::datagram::DatagramError;
use crate::datagram::decode_age;
use crate::datagram::encode_age;

/// The first byte of a datagram.
pub const LIMIT_DATAGRAM_FORMAT: u8 = 3;

/// Length of the format and the two numbers, in bytes.
const HEADER_BYTES: usize = 3;

/// Length of a limit, in bytes.
const LIMIT_BYTES: usize = 9;

/// Length of a rate of a gateway, in bytes.
const DEMAND_BYTES: usize = 13;

/// Stands for an upstream that names no limit any more.
const NO_LIMIT: u32 = u32::MAX;

/// Maximum length of a datagram in bytes. It fits into one packet.
pub const LIMIT_DATAGRAM_LIMIT_BYTES: usize =
    HEADER_BYTES + LIMIT_DIGEST_LIMIT * (LIMIT_BYTES + DEMAND_BYTES);

/// A limit digest as a datagram.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LimitDatagram(pub LimitDigest);

impl From<&LimitDatagram> for Vec<u8> {
    /// Ages are rounded up.
    fn from(datagram: &LimitDatagram) -> Self {
        let LimitDigest { limits, demands } = &datagram.0;
        let limits = &limits[..limits.len().min(LIMIT_DIGEST_LIMIT)];
        let demands = &demands[..demands.len().min(LIMIT_DIGEST_LIMIT)];
        let length = HEADER_BYTES + limits.len() * LIMIT_BYTES + demands.len() * DEMAND_BYTES;
        let mut bytes = Vec::with_capacity(length);
        bytes.extend([
            LIMIT_DATAGRAM_FORMAT,
            limits.len() as u8,
            demands.len() as u8,
        ]);
        for entry in limits {
            let rate = entry.rate.map_or(NO_LIMIT, RequestRate::as_per_1000_s);
            bytes.extend_from_slice(&entry.life.get().to_le_bytes());
            bytes.extend_from_slice(&rate.to_le_bytes());
            bytes.push(encode_age(entry.age));
        }
        for entry in demands {
            bytes.extend_from_slice(&entry.gateway.get().to_le_bytes());
            bytes.extend_from_slice(&entry.pool.get().to_le_bytes());
            bytes.extend_from_slice(&entry.rate.as_per_1000_s().to_le_bytes());
            bytes.push(encode_age(entry.age));
        }
        bytes
    }
}

impl TryFrom<&[u8]> for LimitDatagram {
    type Error = DatagramError;

    fn try_from(bytes: &[u8]) -> Result<Self, DatagramError> {
        let [LIMIT_DATAGRAM_FORMAT, limit_count, demand_count, rest @ ..] = bytes else {
            return Err(DatagramError::WrongKind);
        };
        let (limit_count, demand_count) = (usize::from(*limit_count), usize::from(*demand_count));
        let limit_length = limit_count * LIMIT_BYTES;
        let is_valid = limit_count.max(demand_count) <= LIMIT_DIGEST_LIMIT
            && rest.len() == limit_length + demand_count * DEMAND_BYTES;
        if !is_valid {
            return Err(DatagramError::WrongLength);
        }
        let (limits, demands) = rest.split_at(limit_length);
        let mut digest = LimitDigest::default();
        for [l0, l1, l2, l3, r0, r1, r2, r3, age] in limits.as_chunks::<LIMIT_BYTES>().0 {
            let rate = u32::from_le_bytes([*r0, *r1, *r2, *r3]);
            digest.limits.push(LimitEntry {
                life: UpstreamLife::new(u32::from_le_bytes([*l0, *l1, *l2, *l3])),
                rate: (rate != NO_LIMIT).then_some(RequestRate::per_1000_s(rate)),
                age: decode_age(*age),
            });
        }
        for chunk in demands.as_chunks::<DEMAND_BYTES>().0 {
            let [g0, g1, g2, g3, p0, p1, p2, p3, r0, r1, r2, r3, age] = chunk;
            digest.demands.push(DemandEntry {
                gateway: GatewayId::new(u32::from_le_bytes([*g0, *g1, *g2, *g3])),
                pool: PoolKey::new(u32::from_le_bytes([*p0, *p1, *p2, *p3])),
                rate: RequestRate::per_1000_s(u32::from_le_bytes([*r0, *r1, *r2, *r3])),
                age: decode_age(*age),
            });
        }
        Ok(Self(digest))
    }
}
