//! Where event streams began: datagrams between gateways, and records in the log.
//!
//! A datagram has one byte for its kind and one for the number of entries. Each entry has the key of the stream (8 bytes), and
//! if an origin is told, the pool and the version (4 bytes each). An entry about a version has only these. Numbers are
//! little-endian; the number of moves (1 byte) follows. The value of a record with origins has such entries as well.

use fescuetide_fleet::VersionKey;
use fescuetide_flow::OriginEntry;
use fescuetide_flow::OriginMessage;
use fescuetide_flow::PoolKey;
use fescuetide_flow::StreamKey;
use fescuetide_flow::StreamOrigin;

use crate::datagram::DatagramError;

/// The first bytes of the kinds of datagrams.
const TOLD: u8 = 4;
const SOUGHT: u8 = 5;
const UNKNOWN: u8 = 6;
const VERSIONS: u8 = 7;
const UNKNOWN_AT_ONE: u8 = 8;
const TO_WRITE: u8 = 9;
const WRITTEN: u8 = 10;
const FORGOTTEN: u8 = 12;

/// The kinds of datagrams.
const KINDS: [u8; 8] = [
    TOLD,
    SOUGHT,
    UNKNOWN,
    VERSIONS,
    UNKNOWN_AT_ONE,
    TO_WRITE,
    WRITTEN,
    FORGOTTEN,
];

/// Length of the kind and the number of entries, in bytes.
const HEADER_BYTES: usize = 2;

/// Length of the key of a stream, in bytes.
const KEY_BYTES: usize = 8;

/// Length of a pool and a version, in bytes.
const ORIGIN_BYTES: usize = 8;

/// Length of a stream, its origin and the number of its moves, in bytes.
const TOLD_BYTES: usize = KEY_BYTES + ORIGIN_BYTES + 1;

/// Maximum number of entries in a datagram.
pub const ORIGIN_ENTRY_LIMIT: usize = 64;

/// Maximum length of a datagram in bytes. It fits into one packet.
pub const ORIGIN_DATAGRAM_LIMIT_BYTES: usize = HEADER_BYTES + ORIGIN_ENTRY_LIMIT * TOLD_BYTES;

/// An [`OriginMessage`] as a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginDatagram(pub OriginMessage);

impl OriginDatagram {
    /// Splits a message into datagrams of at most [`ORIGIN_ENTRY_LIMIT`] entries.
    pub fn split(message: OriginMessage) -> Vec<Self> {
        fn chunks<T: Clone>(
            entries: &[T],
            message: impl Fn(Vec<T>) -> OriginMessage,
        ) -> Vec<OriginDatagram> {
            let chunks = entries.chunks(ORIGIN_ENTRY_LIMIT);
            chunks
                .map(|chunk| OriginDatagram(message(chunk.to_vec())))
                .collect()
        }
        match message {
            OriginMessage::Told(entries) => chunks(&entries, OriginMessage::Told),
            OriginMessage::ToWrite(entries) => chunks(&entries, OriginMessage::ToWrite),
            OriginMessage::Sought(streams) => chunks(&streams, OriginMessage::Sought),
            OriginMessage::Written(streams) => chunks(&streams, OriginMessage::Written),
            OriginMessage::Versions(origins) => chunks(&origins, OriginMessage::Versions),
            OriginMessage::Forgotten(origins) => chunks(&origins, OriginMessage::Forgotten),
            OriginMessage::Unknown {
                streams,
                has_one_version,
            } => chunks(&streams, |streams| OriginMessage::Unknown {
                streams,
                has_one_version,
            }),
        }
    }

    /// Whether a datagram is of one of these kinds, as its first byte tells.
    pub fn has_kind(bytes: &[u8]) -> bool {
        bytes.first().is_some_and(|kind| KINDS.contains(kind))
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

fn encode_told(bytes: &mut Vec<u8>, entry: &OriginEntry) {
    encode_key(bytes, &entry.stream);
    encode_origin(bytes, &entry.origin);
    bytes.push(entry.moves);
}

impl From<&OriginDatagram> for Vec<u8> {
    /// Entries above [`ORIGIN_ENTRY_LIMIT`] are left out.
    fn from(datagram: &OriginDatagram) -> Self {
        match &datagram.0 {
            OriginMessage::Told(entries) => encode(TOLD, entries, encode_told),
            OriginMessage::ToWrite(entries) => encode(TO_WRITE, entries, encode_told),
            OriginMessage::Sought(keys) => encode(SOUGHT, keys, encode_key),
            OriginMessage::Unknown {
                streams,
                has_one_version: true,
            } => encode(UNKNOWN_AT_ONE, streams, encode_key),
            OriginMessage::Unknown { streams, .. } => encode(UNKNOWN, streams, encode_key),
            OriginMessage::Written(keys) => encode(WRITTEN, keys, encode_key),
            OriginMessage::Versions(origins) => encode(VERSIONS, origins, encode_origin),
            OriginMessage::Forgotten(origins) => encode(FORGOTTEN, origins, encode_origin),
        }
    }
}

/// Decodes entries that fill `bytes`.
fn decode_told(bytes: &[u8]) -> Result<Vec<OriginEntry>, DatagramError> {
    let (entries, rest) = bytes.as_chunks::<TOLD_BYTES>();
    if !rest.is_empty() {
        return Err(DatagramError::WrongLength);
    }
    let mut told = Vec::with_capacity(entries.len());
    for [k0, k1, k2, k3, k4, k5, k6, k7, origin @ .., moves] in entries {
        told.push(OriginEntry {
            stream: decode_key([*k0, *k1, *k2, *k3, *k4, *k5, *k6, *k7]),
            origin: decode_origin(*origin),
            moves: *moves,
        });
    }
    Ok(told)
}

fn decode_key(key: [u8; KEY_BYTES]) -> StreamKey {
    StreamKey::new(u64::from_le_bytes(key))
}

impl TryFrom<&[u8]> for OriginDatagram {
    type Error = DatagramError;

    fn try_from(bytes: &[u8]) -> Result<Self, DatagramError> {
        let [kind, count, rest @ ..] = bytes else {
            return Err(DatagramError::WrongKind);
        };
        if !KINDS.contains(kind) {
            return Err(DatagramError::WrongKind);
        }
        let entry_bytes = match *kind {
            TOLD | TO_WRITE => TOLD_BYTES,
            VERSIONS | FORGOTTEN => ORIGIN_BYTES,
            _ => KEY_BYTES,
        };
        let count = usize::from(*count);
        if count > ORIGIN_ENTRY_LIMIT || rest.len() != count * entry_bytes {
            return Err(DatagramError::WrongLength);
        }
        let chunks = || rest.as_chunks::<KEY_BYTES>().0.iter().copied();
        let keys = || chunks().map(decode_key).collect();
        let origins = || chunks().map(decode_origin).collect();
        Ok(Self(match *kind {
            TOLD => OriginMessage::Told(decode_told(rest)?),
            TO_WRITE => OriginMessage::ToWrite(decode_told(rest)?),
            SOUGHT => OriginMessage::Sought(keys()),
            WRITTEN => OriginMessage::Written(keys()),
            UNKNOWN | UNKNOWN_AT_ONE => OriginMessage::Unknown {
                streams: keys(),
                has_one_version: *kind == UNKNOWN_AT_ONE,
            },
            VERSIONS => OriginMessage::Versions(origins()),
            FORGOTTEN => OriginMessage::Forgotten(origins()),
            _ => return Err(DatagramError::WrongKind),
        }))
    }
}

/// Key of all records with origins in the log.
const ORIGINS_KEY: &str = "origins";

/// Start of the keys of records of versions.
const VERSION_KEY_PREFIX: &str = "version-";

/// A record about streams in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginRecord {
    /// Where streams began.
    Origins(Vec<OriginEntry>),
    /// A version at which streams can have begun.
    Version {
        /// The pool and the version.
        origin: StreamOrigin,
        /// The era of the log when the record was written, empty if it had none.
        era: String,
    },
    /// A version at which no stream can have begun any more.
    Forgotten(StreamOrigin),
}

impl OriginRecord {
    /// The key of the record.
    pub fn key(&self) -> String {
        match self {
            Self::Origins(_) => ORIGINS_KEY.to_owned(),
            Self::Version { origin, .. } | Self::Forgotten(origin) => {
                let (pool, version) = (origin.pool.get(), origin.version.get());
                format!("{VERSION_KEY_PREFIX}{pool:08x}-{version:08x}")
            }
        }
    }

    /// The value of the record, `None` if it removes the key.
    pub fn value(&self) -> Option<Vec<u8>> {
        match self {
            Self::Origins(entries) => {
                let mut bytes = Vec::with_capacity(entries.len() * TOLD_BYTES);
                for entry in entries {
                    encode_told(&mut bytes, entry);
                }
                Some(bytes)
            }
            // A record without a value removes its key, so the era of a log without eras is not empty.
            Self::Version { era, .. } => Some(format!("era {era}").into_bytes()),
            Self::Forgotten(_) => None,
        }
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Fails if the key or the value is malformed.
    pub fn decode(key: &str, value: Option<&[u8]>) -> Result<Self, DatagramError> {
        if key == ORIGINS_KEY {
            return Ok(Self::Origins(decode_told(value.unwrap_or_default())?));
        }
        let ids = key.strip_prefix(VERSION_KEY_PREFIX);
        let ids = ids.and_then(|ids| ids.split_once('-'));
        let (pool, version) = ids.ok_or(DatagramError::WrongKind)?;
        let parse = |text| u32::from_str_radix(text, 16).map_err(|_| DatagramError::WrongKind);
        let origin = StreamOrigin {
            pool: PoolKey::new(parse(pool)?),
            version: VersionKey::new(parse(version)?),
        };
        let Some(value) = value else {
            return Ok(Self::Forgotten(origin));
        };
        let value = std::str::from_utf8(value).map_err(|_| DatagramError::WrongLength)?;
        let era = value.strip_prefix("era ").unwrap_or_default().to_owned();
        Ok(Self::Version { origin, era })
    }
}
