//! The parts of a prompt that requests share.

use fescuetide_base::StableHash;

/// One part of a prompt. Requests whose prompts begin with the same parts share the work of reading them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Identifies the part's text.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The prompt of a request as far as routing needs it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// The parts in order. The last one belongs to the request itself or to its chat.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// The hash that keeps requests with the same shared parts together: of the last part that is not the request's
    /// own. `None` when nothing is shared.
    pub fn shared_hash(&self) -> Option<u64> {
        let place = self.parts.len().checked_sub(2)?;
        let id = self.parts[place].id;
        Some(StableHash::hash_bytes(&id.to_le_bytes()))
    }
}
