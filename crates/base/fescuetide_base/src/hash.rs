//! Hashing that gives the same result in every process and software version.

use xxhash_rust::xxh3::Xxh3;

/// A hasher that computes a 64-bit hash over several fields, identical in all processes.
///
/// The algorithm is XXH3 (Yann Collet, xxHash specification). Each field is prefixed with its length, so `("ab", "c")`
/// and `("a", "bc")` hash differently.
///
/// ```
/// use fescuetide_base::StableHash;
///
/// let one = StableHash::new().field(b"ab").field(b"c").finish();
/// let other = StableHash::new().field(b"a").field(b"bc").finish();
/// assert_ne!(one, other);
/// ```
#[derive(Default)]
pub struct StableHash {
    state: Xxh3,
}

impl StableHash {
    /// Creates a hasher without fields.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a field, prefixed with its length.
    pub fn field(mut self, bytes: &[u8]) -> Self {
        self.state.update(&(bytes.len() as u32).to_le_bytes());
        self.state.update(bytes);
        self
    }

    /// Returns the hash of all added fields.
    pub fn finish(self) -> u64 {
        self.state.digest()
    }

    /// Returns the XXH3 hash of `bytes`, without a length prefix.
    pub fn hash_bytes(bytes: &[u8]) -> u64 {
        xxhash_rust::xxh3::xxh3_64(bytes)
    }
}
