//! Datagrams in which gateways tell and ask each other where event streams began.
//!
//! A datagram has one byte for its kind and one for the number of entries. Each entry has the key of the stream (8 bytes), and
//! if an origin is told, the pool and the version (4 bytes each). An entry about a version has only these. Numbers are
//! little-endian.

use fescuetide_fleet::VersionKey;
use fescuetide_flow::PoolKey;
use fescuetide_flow::StreamKey;
use fescuetide_flow::StreamOrigin;

use crate::datagram::DatagramError;

/// The first bytes of the kinds of datagrams.
const TOLD: u8 = 4;
const SOUGHT: u8 = 5;
const UNKNOWN: u8 = 6;
const VERSIONS: u8 = 7;

/// Length of the kind and the number of entries, in bytes.
const HEADER_BYTES: usize = 2;

/// Length of the key of a stream, in bytes.
const KEY_BYTES: usize = 8;

/// Length of a pool and a version, in bytes.
const ORIGIN_BYTES: usize = 8;

/// Length of a stream and its origin, in bytes.
const TOLD_BYTES: usize = KEY_BYTES + ORIGIN_BYTES;

/// Maximum number of entries in a datagram.
pub const ORIGIN_ENTRY_LIMIT: usize = 64;

/// Maximum length of a datagram in bytes. It fits into one packet.
pub const ORIGIN_DATAGRAM_LIMIT_BYTES: usize = HEADER_BYTES + ORIGIN_ENTRY_LIMIT * TOLD_BYTES;

/// What a gateway tells or asks another one about the origins of streams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginDatagram {
    /// Where streams began, also as the answer to a question.
    Told(Vec<(StreamKey, StreamOrigin)>),
    /// The question where streams began.
    Sought(Vec<StreamKey>),
    /// The answer that this is not known.
    Unknown(Vec<StreamKey>),
    /// Versions that serve their pools.
    Versions(Vec<StreamOrigin>),
}

impl OriginDatagram {
    /// Whether a datagram is of one of these kinds, as its first byte tells.
    pub fn has_kind(bytes: &[u8]) -> bool {
        matches!(bytes.first(), Some(&(TOLD | SOUGHT | UNKNOWN | VERSIONS)))
    }
}

fn encode_key(bytes: &mut Vec<u8>, key: &StreamKey) {
    bytes.extend_from_slice(&key.get().to_le_bytes());
}

fn encode_origin(bytes: &mut Vec<u8>, origin: &StreamOrigin) {
    bytes.extend_from_slice(&origin.pool.get().to_le_bytes());
    bytes.extend_from_slice(&origin.version.get().to_le_bytes());
}

/// Encodes a datagram of a kind with the first [`ORIGIN_ENTRY_LIMIT`] entries.
fn encode<T>(kind: u8, entries: &[T], encode_entry: impl Fn(&mut Vec<u8>, &T)) -> Vec<u8> {
    let entries = &entries[..entries.len().min(ORIGIN_ENTRY_LIMIT)];
    let mut bytes = vec![kind, entries.len() as u8];
    for entry in entries {
        encode_entry(&mut bytes, entry);
    }
    bytes
}

fn decode_origin([p0, p1, p2, p3, v0, v1, v2, v3]: [u8; ORIGIN_BYTES]) -> StreamOrigin {
    StreamOrigin {
        pool: PoolKey::new(u32::from_le_bytes([p0, p1, p2, p3])),
        version: VersionKey::new(u32::from_le_bytes([v0, v1, v2, v3])),
    }
}

impl From<&OriginDatagram> for Vec<u8> {
    /// Entries above [`ORIGIN_ENTRY_LIMIT`] are left out.
    fn from(datagram: &OriginDatagram) -> Self {
        match datagram {
            OriginDatagram::Told(entries) => encode(TOLD, entries, |bytes, (key, origin)| {
                encode_key(bytes, key);
                encode_origin(bytes, origin);
            }),
            OriginDatagram::Sought(keys) => encode(SOUGHT, keys, encode_key),
            OriginDatagram::Unknown(keys) => encode(UNKNOWN, keys, encode_key),
            OriginDatagram::Versions(origins) => encode(VERSIONS, origins, encode_origin),
        }
    }
}

impl TryFrom<&[u8]> for OriginDatagram {
    type Error = DatagramError;

    fn try_from(bytes: &[u8]) -> Result<Self, DatagramError> {
        let [
            kind @ (TOLD | SOUGHT | UNKNOWN | VERSIONS),
            count,
            rest @ ..,
        ] = bytes
        else {
            return Err(DatagramError::WrongKind);
        };
        let entry_bytes = match *kind {
            TOLD => TOLD_BYTES,
            VERSIONS => ORIGIN_BYTES,
            _ => KEY_BYTES,
        };
        let count = usize::from(*count);
        if count > ORIGIN_ENTRY_LIMIT || rest.len() != count * entry_bytes {
            return Err(DatagramError::WrongLength);
        }
        let decode_key = |key: [u8; KEY_BYTES]| StreamKey::new(u64::from_le_bytes(key));
        if *kind == TOLD {
            let mut entries = Vec::with_capacity(count);
            for [key, origin] in rest.as_chunks::<KEY_BYTES>().0.as_chunks::<2>().0 {
                entries.push((decode_key(*key), decode_origin(*origin)));
            }
            return Ok(Self::Told(entries));
        }
        let chunks = rest.as_chunks::<KEY_BYTES>().0.iter().copied();
        Ok(match *kind {
            SOUGHT => Self::Sought(chunks.map(decode_key).collect()),
            UNKNOWN => Self::Unknown(chunks.map(decode_key).collect()),
            _ => Self::Versions(chunks.map(decode_origin).collect()),
        })
    }
}
