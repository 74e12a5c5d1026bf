//! The prompt prefix cache of the engine stand-in.

use fescuetide_base::StableHash;
use indexmap::IndexSet;

/// The number of tokens in a cache block.
pub const BLOCK_TOKENS: usize = 16;

/// The blocks that a store operation added and evicted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheDelta {
    /// Blocks that were not cached before.
    pub stored: Vec<u64>,
    /// Blocks that were evicted.
    pub evicted: Vec<u64>,
}

/// An LRU cache of prompt prefixes. A prefix is a chain of blocks; the least recently used block is first.
#[derive(Debug)]
pub struct PrefixCache {
    capacity_blocks: usize,
    blocks: IndexSet<u64>,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub fn new(capacity_blocks: usize) -> Self {
        Self {
            capacity_blocks,
            blocks: IndexSet::new(),
        }
    }

    /// The number of leading tokens that are cached, a multiple of [`BLOCK_TOKENS`].
    pub fn cached_tokens(&self, tokens: &[u64]) -> usize {
        let mut count = 0;
        for block in chained_block_hashes(tokens) {
            if !self.blocks.contains(&block) {
                break;
            }
            count += BLOCK_TOKENS;
        }
        count
    }

    /// Stores all complete blocks of `tokens` as the most recently used ones.
    pub fn store(&mut self, tokens: &[u64]) -> CacheDelta {
        let chain: Vec<u64> = chained_block_hashes(tokens).collect();
        self.store_blocks(&chain)
    }

    /// Stores a chain of blocks as the most recently used ones.
    pub fn store_blocks(&mut self, chain: &[u64]) -> CacheDelta {
        let mut stored = Vec::new();
        // Insert in reverse order, so that the tail of a chain is evicted before its head.
        for block in chain.iter().rev() {
            if !self.blocks.shift_remove(block) {
                stored.push(*block);
            }
            self.blocks.insert(*block);
        }
        let excess = self.blocks.len().saturating_sub(self.capacity_blocks);
        let evicted = self.blocks.drain(..excess).collect();
        CacheDelta { stored, evicted }
    }

    /// The leading blocks of `tokens` that are cached.
    pub fn cached_blocks(&self, tokens: &[u64]) -> Vec<u64> {
        chained_block_hashes(tokens)
            .take_while(|block| self.blocks.contains(block))
            .collect()
    }

    /// The number of cached blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}

/// The hashes of the complete blocks of `tokens`. Each hash covers its block and all blocks before it.
pub fn chained_block_hashes(tokens: &[u64]) -> impl Iterator<Item = u64> {
    let mut previous_hash = 0_u64;
    tokens.chunks_exact(BLOCK_TOKENS).map(move |block| {
        let mut hash = StableHash::new().field(&previous_hash.to_le_bytes());
        for token in block {
            hash = hash.field(&token.to_le_bytes());
        }
        previous_hash = hash.finish();
        previous_hash
    })
}
