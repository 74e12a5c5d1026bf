//! Prompt prefixes that requests share.

use fescuetide_base::StableHash;

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
}
