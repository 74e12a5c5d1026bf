//! What the datagrams between gateways have in common.

use std::fmt;

use fescuetide_base::SpanMillis;

/// Unit of the ages in datagrams, in milliseconds.
const AGE_UNIT_MS: u64 = 8;

/// Why a datagram cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramError {
    /// It is empty, or of another kind or version.
    WrongKind,
    /// Its length does not match its entries, or there are too many.
    WrongLength,
}

impl fmt::Display for DatagramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::WrongKind => "unknown kind or version of a datagram",
            Self::WrongLength => "wrong length for a datagram of its kind",
        })
    }
}

impl std::error::Error for DatagramError {}

/// Encodes an age, rounded up, so that what comes back to a gateway never looks newer than what it knows.
pub(crate) fn encode_age(age: SpanMillis) -> u8 {
    let units = age.as_millis().div_ceil(AGE_UNIT_MS);
    u8::try_from(units).unwrap_or(u8::MAX)
}

pub(crate) fn decode_age(units: u8) -> SpanMillis {
    SpanMillis::new(u64::from(units) * AGE_UNIT_MS)
}
