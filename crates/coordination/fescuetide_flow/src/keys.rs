//! Short keys that are the same at all gateways.

use fescuetide_base::PoolName;
use fescuetide_base::StableHash;

/// Identifies a pool between gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolKey(u32);

impl PoolKey {
    /// Creates the key from its number.
    pub const fn new(key: u32) -> Self {
        Self(key)
    }

    /// Returns the number.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Computes the key of a pool.
    pub fn of(pool: &PoolName) -> Self {
        Self(StableHash::hash_bytes(pool.as_str().as_bytes()) as u32)
    }
}

/// Identifies an event stream over all requests by which its caller receives it: the id of the one that brought its first
/// event, as a hash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Creates the key from its number.
    pub const fn new(key: u64) -> Self {
        Self(key)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Computes the key of the stream whose first event the request `id` brings.
    pub fn of(id: &str) -> Self {
        Self(StableHash::hash_bytes(id.as_bytes()))
    }
}
