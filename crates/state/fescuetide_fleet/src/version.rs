//! Versions of the software of upstreams.

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use fescuetide_base::StableHash;

/// The version of the software of an upstream, as its entry states it. Empty if it states none.
///
/// Versions are only compared for equality: a stream that one version began can only be continued by the same.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Returns the version as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the key of the version.
    pub fn key(&self) -> VersionKey {
        VersionKey(StableHash::hash_bytes(self.0.as_bytes()) as u32)
    }
}

impl Default for SoftwareVersion {
    fn default() -> Self {
        Self(Arc::from(""))
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<String> for SoftwareVersion {
    fn from(text: String) -> Self {
        Self(Arc::from(text))
    }
}

impl FromStr for SoftwareVersion {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(Self(Arc::from(text)))
    }
}

/// A short key of a [`SoftwareVersion`], which is the same at all gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionKey(u32);

impl VersionKey {
    /// Creates the key from its number.
    pub const fn new(key: u32) -> Self {
        Self(key)
    }

    /// Returns the number.
    pub const fn get(self) -> u32 {
        self.0
    }
}
