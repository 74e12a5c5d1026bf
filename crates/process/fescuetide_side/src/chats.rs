//! Table of the chats whose latest turn ran on the engine.
//!
//! This is only a hint for routing. If the engine has evicted the prefix since, the next turn repeats its prefill.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_wire::frame::ChatTurn;
use indexmap::IndexMap;

/// Maximum number of chats in the table, at about 40 bytes each.
const CHAT_LIMIT: usize = 16_384;

/// Age above which a turn is ignored, since other prompts have replaced it in the cache of the engine.
const AGE_LIMIT_MS: u64 = 600_000;

/// Number of messages that a turn adds: the previous reply of the model and the message of the user.
const TURN_MESSAGES: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct CachedTurn {
    messages: u32,
    at: ClockMillis,
}

/// The chats whose latest turn ran on the engine, least recently used first.
#[derive(Debug, Default)]
pub(crate) struct ChatTable {
    chats: Mutex<IndexMap<u64, CachedTurn>>,
}

impl ChatTable {
    /// Records that the engine completed a turn.
    pub(crate) fn note(&self, turn: ChatTurn, now: ClockMillis) {
        let mut chats = self.lock();
        chats.shift_remove(&turn.chat);
        chats.insert(
            turn.chat,
            CachedTurn {
                messages: turn.messages,
                at: now,
            },
        );
        if chats.len() > CHAT_LIMIT {
            chats.shift_remove_index(0);
        }
    }

    /// Returns whether the engine recently ran `turn` or the turn before it.
    pub(crate) fn has_cached(&self, turn: ChatTurn, now: ClockMillis) -> bool {
        let chats = self.lock();
        let Some(cached) = chats.get(&turn.chat) else {
            return false;
        };
        let is_recent = now.since(cached.at) <= SpanMillis::new(AGE_LIMIT_MS);
        let behind = turn.messages.checked_sub(cached.messages);
        is_recent && behind.is_some_and(|count| count <= TURN_MESSAGES)
    }

    /// Removes all chats, for use when the engine may have lost its cache.
    pub(crate) fn clear(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<u64, CachedTurn>> {
        self.chats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
