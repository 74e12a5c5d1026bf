//! Prompt prefixes that requests share.

use std::sync::Arc;

use fescuetide_base::StableHash;
use fescuetide_limits::CrashFingerprint;

/// Distinguishes the fingerprints of prompt parts from those of requests.
const PART_DOMAIN: &[u8] = b"prompt part";

/// One part of a prompt. Requests whose prompts start with the same parts can share a cached prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Identifies the part, as given by the caller.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// The structure of a request's prompt, reduced to what routing needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// The parts in order. The last one is specific to the request or its chat.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Returns the hash by which requests with the same shared prefix are routed together, or `None` if no part is
    /// shared.
    ///
    /// This is the hash of the second-to-last part's id: the last part that is not specific to the request. The ids of
    /// earlier parts are not included, so requests that share this part but not the earlier ones have the same hash.
    pub fn shared_hash(&self) -> Option<u64> {
        let index = self.parts.len().checked_sub(2)?;
        let id = self.parts[index].id;
        Some(StableHash::hash_bytes(&id.to_le_bytes()))
    }

    /// Returns the fingerprints of the parts that other requests can have as well, for the detection of parts that crash
    /// upstreams.
    pub fn part_fingerprints(&self) -> Arc<[CrashFingerprint]> {
        let shared = self.parts.len().saturating_sub(1);
        let parts = self.parts[..shared].iter();
        parts
            .map(|part| CrashFingerprint::of_parts(&[PART_DOMAIN, &part.id.to_le_bytes()]))
            .collect()
    }
}
