//! Hashes that are equal on every process and version.

use xxhash_rust::xxh3::Xxh3;

/// A 64-bit hash over several fields, equal on all processes.
///
/// XXH3 (Yann Collet, xxHash specification). Fields are separated by their length, so `("ab", "c")` and `("a", "bc")`
/// differ.
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
    /// Starts a hash.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a field.
    pub fn field(mut self, bytes: &[u8]) -> Self {
        self.state.update(&(bytes.len() as u32).to_le_bytes());
        self.state.update(bytes);
        self
    }

    /// Returns the hash of all fields added.
    pub fn finish(self) -> u64 {
        self.state.digest()
    }

    /// Hashes raw bytes in one call, without separators.
    pub fn of_bytes(bytes: &[u8]) -> u64 {
        xxhash_rust::xxh3::xxh3_64(bytes)
    }
}
