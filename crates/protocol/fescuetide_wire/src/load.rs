//! Datagrams in which gateways tell each other the loads of upstreams, and how recent their list of upstreams and their
//! configuration are.
//!
//! A datagram has one byte for the version of the format, then the hash of the list (8 bytes) and the time since it was read
//! (1 byte), the same for the version of the configuration, and then 7 bytes for each upstream: its key (4 bytes), its load
//! (2 bytes) and the age of the report (1 byte).
//! Times are in units of 8 ms, the longest stands for nothing that is told. Numbers are little-endian.

use fescuetide_base::SpanMillis;
use fescuetide_base::UpstreamLife;
use fescuetide_fleet::ConfigNews;
use fescuetide_fleet::ConfigVersion;
use fescuetide_fleet::ListingNews;
use fescuetide_flow::LOAD_DIGEST_LIMIT;
use fescuetide_flow::LoadEntry;

use crate::datagram::DatagramError;
use crate::datagram::decode_age;
use crate::datagram::encode_age;

/// Version of the format.
const VERSION: u8 = 11;

/// Length of what is told about the list of upstreams, and about the configuration, in bytes.
const NEWS_BYTES: usize = 9;

/// Length of an entry in bytes.
const ENTRY_BYTES: usize = 7;

/// Maximum length of a datagram in bytes. It fits into one packet.
pub const LOAD_DATAGRAM_LIMIT_BYTES: usize = 1 + 2 * NEWS_BYTES + LOAD_DIGEST_LIMIT * ENTRY_BYTES;

/// What one gateway tells another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadDatagram {
    /// The list of upstreams, `None` if the sender's is not that of the log, or was read too long ago.
    pub listing: Option<ListingNews>,
    /// The configuration, `None` if the sender has none, or read it too long ago.
    pub config: Option<ConfigNews>,
    /// Loads of upstreams.
    pub loads: Vec<LoadEntry>,
}

fn encode_news(bytes: &mut Vec<u8>, news: Option<(u64, SpanMillis)>) {
    let (number, age) = news.unwrap_or((0, SpanMillis::new(u64::MAX)));
    bytes.extend_from_slice(&number.to_le_bytes());
    bytes.push(encode_age(age));
}

fn decode_news([number @ .., age]: [u8; NEWS_BYTES]) -> Option<(u64, SpanMillis)> {
    (age != u8::MAX).then(|| (u64::from_le_bytes(number), decode_age(age)))
}

impl From<&LoadDatagram> for Vec<u8> {
    /// Times are rounded up. Loads above the range are told as its end.
    fn from(datagram: &LoadDatagram) -> Self {
        let length = 1 + 2 * NEWS_BYTES + datagram.loads.len() * ENTRY_BYTES;
        let mut bytes = Vec::with_capacity(length);
        bytes.push(VERSION);
        encode_news(
            &mut bytes,
            datagram.listing.map(|news| (news.hash, news.age)),
        );
        encode_news(
            &mut bytes,
            datagram.config.map(|news| (news.version.get(), news.age)),
        );
        for entry in datagram.loads.iter().take(LOAD_DIGEST_LIMIT) {
            let load = u16::try_from(entry.load).unwrap_or(u16::MAX);
            bytes.extend_from_slice(&entry.key.get().to_le_bytes());
            bytes.extend_from_slice(&load.to_le_bytes());
            bytes.push(encode_age(entry.age));
        }
        bytes
    }
}

impl TryFrom<&[u8]> for LoadDatagram {
    type Error = DatagramError;

    fn try_from(bytes: &[u8]) -> Result<Self, DatagramError> {
        let Some((&VERSION, rest)) = bytes.split_first() else {
            return Err(DatagramError::WrongKind);
        };
        let Some((listing, rest)) = rest.split_first_chunk::<NEWS_BYTES>() else {
            return Err(DatagramError::WrongLength);
        };
        let Some((config, entries)) = rest.split_first_chunk::<NEWS_BYTES>() else {
            return Err(DatagramError::WrongLength);
        };
        let (entries, rest) = entries.as_chunks::<ENTRY_BYTES>();
        if !rest.is_empty() || entries.len() > LOAD_DIGEST_LIMIT {
            return Err(DatagramError::WrongLength);
        }
        let mut digest = Vec::with_capacity(entries.len());
        for [k0, k1, k2, k3, l0, l1, age] in entries {
            digest.push(LoadEntry {
                key: UpstreamLife::new(u32::from_le_bytes([*k0, *k1, *k2, *k3])),
                load: u32::from(u16::from_le_bytes([*l0, *l1])),
                age: decode_age(*age),
            });
        }
        let listing = decode_news(*listing);
        let config = decode_news(*config);
        Ok(Self {
            listing: listing.map(|(hash, age)| ListingNews { hash, age }),
            config: config.map(|(version, age)| ConfigNews {
                version: ConfigVersion::new(version),
                age,
            }),
            loads: digest,
        })
    }
}
