//! Identification of repeated requests.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use fescuetide_base::StableHash;
use fescuetide_base::WorkspaceName;

/// 128-bit hash that identifies a request by its workspace and body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashFingerprint([u8; 16]);

impl CrashFingerprint {
    /// Computes the fingerprint of a request from its workspace and body.
    pub fn of(workspace: &WorkspaceName, body: &[u8]) -> Self {
        Self::of_parts(&[workspace.as_str().as_bytes(), body])
    }

    /// Computes the fingerprint of a request from all the parts that distinguish it.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut bytes = [0; 16];
        for (half, bytes_of_half) in bytes.chunks_exact_mut(8).enumerate() {
            let mut hash = StableHash::new().field(&[half as u8]);
            for part in parts {
                hash = hash.field(part);
            }
            bytes_of_half.copy_from_slice(&hash.finish().to_le_bytes());
        }
        Self(bytes)
    }

    /// Creates a fingerprint from its bytes.
    pub const fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the fingerprint.
    pub const fn to_bytes(self) -> [u8; 16] {
        self.0
    }
}

impl FromStr for CrashFingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(|number| Self(number.to_be_bytes()))
    }
}

impl fmt::Display for CrashFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}
