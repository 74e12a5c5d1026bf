//! Datagrams in which gateways tell and ask each other where event streams began.
//!
//! A datagram has one byte for its kind and one for the number of entries. Each entry has the key of the stream (8 bytes), and
//! if an origin is told, the pool and the version (4 bytes each). Numbers are little-endian.

use std::fmt;

use fescuetide_fleet::VersionKey;
use fescuetide_flow::PoolKey;
use fescuetide_flow::StreamKey;
use fescuetide_flow::StreamOrigin;

/// The first bytes of the kinds of datagrams.
const TOLD: u8 = 4;
const SOUGHT: u8 = 5;
const UNKNOWN: u8 = 6;

/// Length of the kind and the number of entries, in bytes.
const HEADER_BYTES: usize = 2;

/// Length of an entry with an origin, in bytes.
const TOLD_BYTES: usize = 16;

/// Length of an entry without an origin, in bytes.
const KEY_BYTES: usize = 8;

/// Maximum number of entries in a datagram.
pub const ORIGIN_ENTRY_LIMIT: usize = 64;

/// Maximum length of a datagram in bytes. It fits into one packet.
pub const ORIGIN_DATAGRAM_LIMIT_BYTES: usize = HEADER_BYTES + ORIGIN_ENTRY_LIMIT * TOLD_BYTES;

/// Why a datagram is none about the origins of streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginDatagramError {
    /// It is empty or of another kind.
    WrongKind,
    /// Its length does not match its number of entries, or there are too many.
    WrongLength,
}

impl fmt::Display for OriginDatagramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WrongKind => write!(f, "not a datagram about the origins of streams"),
            Self::WrongLength => write!(f, "wrong length for a datagram about origins"),
        }
    }
}

impl std::error::Error for OriginDatagramError {}

/// What a gateway tells or asks another one about the origins of streams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginDatagram {
    /// Where streams began, also as the answer to a question.
    Told(Vec<(StreamKey, StreamOrigin)>),
    /// The question where streams began.
    Sought(Vec<StreamKey>),
    /// The answer that this is not known.
    Unknown(Vec<StreamKey>),
}

impl OriginDatagram {
    /// Whether a datagram is of one of these kinds, as its first byte tells.
    pub fn has_kind(bytes: &[u8]) -> bool {
        matches!(bytes.first(), Some(&(TOLD | SOUGHT | UNKNOWN)))
    }
}

fn encode_keys(kind: u8, keys: &[StreamKey]) -> Vec<u8> {
    let keys = &keys[..keys.len().min(ORIGIN_ENTRY_LIMIT)];
    let mut bytes = Vec::with_capacity(HEADER_BYTES + keys.len() * KEY_BYTES);
    bytes.extend([kind, keys.len() as u8]);
    for key in keys {
        bytes.extend_from_slice(&key.get().to_le_bytes());
    }
    bytes
}

impl From<&OriginDatagram> for Vec<u8> {
    /// Entries above [`ORIGIN_ENTRY_LIMIT`] are left out.
    fn from(datagram: &OriginDatagram) -> Self {
        let entries = match datagram {
            OriginDatagram::Told(entries) => entries,
            OriginDatagram::Sought(keys) => return encode_keys(SOUGHT, keys),
            OriginDatagram::Unknown(keys) => return encode_keys(UNKNOWN, keys),
        };
        let entries = &entries[..entries.len().min(ORIGIN_ENTRY_LIMIT)];
        let mut bytes = Vec::with_capacity(HEADER_BYTES + entries.len() * TOLD_BYTES);
        bytes.extend([TOLD, entries.len() as u8]);
        for (key, origin) in entries {
            bytes.extend_from_slice(&key.get().to_le_bytes());
            bytes.extend_from_slice(&origin.pool.get().to_le_bytes());
            bytes.extend_from_slice(&origin.version.get().to_le_bytes());
        }
        bytes
    }
}

impl TryFrom<&[u8]> for OriginDatagram {
    type Error = OriginDatagramError;

    fn try_from(bytes: &[u8]) -> Result<Self, OriginDatagramError> {
        let [kind @ (TOLD | SOUGHT | UNKNOWN), count, rest @ ..] = bytes else {
            return Err(OriginDatagramError::WrongKind);
        };
        let entry_bytes = match *kind {
            TOLD => TOLD_BYTES,
            _ => KEY_BYTES,
        };
        let count = usize::from(*count);
        if count > ORIGIN_ENTRY_LIMIT || rest.len() != count * entry_bytes {
            return Err(OriginDatagramError::WrongLength);
        }
        if *kind == TOLD {
            let mut entries = Vec::with_capacity(count);
            for [key @ .., p0, p1, p2, p3, v0, v1, v2, v3] in rest.as_chunks::<TOLD_BYTES>().0 {
                let origin = StreamOrigin {
                    pool: PoolKey::new(u32::from_le_bytes([*p0, *p1, *p2, *p3])),
                    version: VersionKey::new(u32::from_le_bytes([*v0, *v1, *v2, *v3])),
                };
                entries.push((StreamKey::new(u64::from_le_bytes(*key)), origin));
            }
            return Ok(Self::Told(entries));
        }
        let mut keys = Vec::with_capacity(count);
        for key in rest.as_chunks::<KEY_BYTES>().0 {
            keys.push(StreamKey::new(u64::from_le_bytes(*key)));
        }
        Ok(match *kind {
            SOUGHT => Self::Sought(keys),
            _ => Self::Unknown(keys),
        })
    }
}
