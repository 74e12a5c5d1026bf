//! Records of gateways in the platform's log, by which they find each other.

use std::fmt;
use std::net::SocketAddr;

use fescuetide_base::ClockMillis;
use fescuetide_fleet::GatewayEntry;
use serde::Deserialize;
use serde::Serialize;

use crate::codec;
use crate::codec::CodecError;

/// Why the record of a gateway cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GatewayRecordError {
    /// The key is not the address of a gateway.
    Key,
    /// The value cannot be decoded.
    Value(CodecError),
}

impl fmt::Display for GatewayRecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Key => f.write_str("the key is not the address of a gateway"),
            Self::Value(error) => error.fmt(f),
        }
    }
}

/// The value of the record of a gateway. The record's key is the address at which it answers others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayRecord {
    /// When the record was written, in milliseconds since the Unix epoch.
    pub renewed_ms: u64,
}

impl GatewayRecord {
    /// Returns the key of the record of the gateway that answers others at `address`.
    pub fn key(address: SocketAddr) -> String {
        address.to_string()
    }

    /// Encodes the record that a gateway writes at `now`.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be encoded.
    pub fn encode_at(now: ClockMillis) -> Result<Vec<u8>, CodecError> {
        codec::encode(&Self {
            renewed_ms: now.as_millis(),
        })
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns an error if the key or the value is malformed.
    pub fn decode(key: &str, value: &[u8]) -> Result<GatewayEntry, GatewayRecordError> {
        let address = key.parse().map_err(|_| GatewayRecordError::Key)?;
        let record: Self = codec::decode(value).map_err(GatewayRecordError::Value)?;
        Ok(GatewayEntry {
            address,
            renewed_at: ClockMillis::new(record.renewed_ms),
        })
    }
}
