//! Datagrams in which gateways tell each other the loads of upstreams.
//!
//! A datagram has one byte for the version of the format, then 7 bytes for each upstream: its key (4 bytes), its load
//! (2 bytes) and the age of the report (1 byte, in units of [`AGE_UNIT_MS`]). Numbers are little-endian.

use std::fmt;

use fescuetide_base::SpanMillis;
use fescuetide_flow::LOAD_DIGEST_LIMIT;
use fescuetide_flow::LoadEntry;
use fescuetide_flow::LoadKey;

/// Version of the format.
const VERSION: u8 = 1;

/// Length of an entry in bytes.
const ENTRY_BYTES: usize = 7;

/// Unit of the age of a report, in milliseconds.
const AGE_UNIT_MS: u64 = 8;

/// Maximum length of a datagram in bytes. It fits into one packet.
pub const LOAD_DATAGRAM_LIMIT_BYTES: usize = 1 + LOAD_DIGEST_LIMIT * ENTRY_BYTES;

/// Why a datagram is not a load digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadDatagramError {
    /// It is empty or of another version.
    WrongVersion,
    /// It is too long, or ends within an entry.
    WrongLength,
}

impl fmt::Display for LoadDatagramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WrongVersion => write!(f, "not a load digest of version {VERSION}"),
            Self::WrongLength => write!(f, "wrong length for a load digest"),
        }
    }
}

impl std::error::Error for LoadDatagramError {}

/// The loads that one gateway tells another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadDatagram(pub Vec<LoadEntry>);

impl From<&LoadDatagram> for Vec<u8> {
    /// Ages are rounded up, so that a report that comes back to a gateway never looks newer than the one it knows. Loads above
    /// the range are told as its end.
    fn from(datagram: &LoadDatagram) -> Self {
        let mut bytes = Vec::with_capacity(1 + datagram.0.len() * ENTRY_BYTES);
        bytes.push(VERSION);
        for entry in datagram.0.iter().take(LOAD_DIGEST_LIMIT) {
            let load = u16::try_from(entry.load).unwrap_or(u16::MAX);
            let age = entry.age.as_millis().div_ceil(AGE_UNIT_MS);
            bytes.extend_from_slice(&entry.key.0.to_le_bytes());
            bytes.extend_from_slice(&load.to_le_bytes());
            bytes.push(u8::try_from(age).unwrap_or(u8::MAX));
        }
        bytes
    }
}

impl TryFrom<&[u8]> for LoadDatagram {
    type Error = LoadDatagramError;

    fn try_from(bytes: &[u8]) -> Result<Self, LoadDatagramError> {
        let Some((&VERSION, entries)) = bytes.split_first() else {
            return Err(LoadDatagramError::WrongVersion);
        };
        let (entries, rest) = entries.as_chunks::<ENTRY_BYTES>();
        if !rest.is_empty() || entries.len() > LOAD_DIGEST_LIMIT {
            return Err(LoadDatagramError::WrongLength);
        }
        let mut digest = Vec::with_capacity(entries.len());
        for [k0, k1, k2, k3, l0, l1, age] in entries {
            digest.push(LoadEntry {
                key: LoadKey(u32::from_le_bytes([*k0, *k1, *k2, *k3])),
                load: u32::from(u16::from_le_bytes([*l0, *l1])),
                age: SpanMillis::new(u64::from(*age) * AGE_UNIT_MS),
            });
        }
        Ok(Self(digest))
    }
}
