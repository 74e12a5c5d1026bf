//! Which chats' last turns the engine ran.
//!
//! This is a hint for routing: the engine may have dropped the prefix since, and then the turn costs its prefill again.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_wire::frame::ChatTurn;
use indexmap::IndexMap;

/// Chats kept at most; about 40 bytes each.
const CHAT_LIMIT: usize = 16_384;

/// A turn older than this is forgotten, since other prompts have taken its place in the engine's cache.
const AGE_LIMIT_MS: u64 = 600_000;

/// Messages that a turn adds: the answer before it and the user's message.
const TURN_MESSAGES: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct HeldTurn {
    messages: u32,
    at: ClockMillis,
}

/// The chats whose last turn the engine ran, least recent first.
#[derive(Debug, Default)]
pub(crate) struct ChatTable {
    chats: Mutex<IndexMap<u64, HeldTurn>>,
}

impl ChatTable {
    /// Notes that the engine ran a turn to its end.
    pub(crate) fn note(&self, turn: ChatTurn, now: ClockMillis) {
        let mut chats = self.lock();
        chats.shift_remove(&turn.chat);
        chats.insert(
            turn.chat,
            HeldTurn {
                messages: turn.messages,
                at: now,
            },
        );
        if chats.len() > CHAT_LIMIT {
            chats.shift_remove_index(0);
        }
    }

    /// Whether the engine ran the turn before `turn`, or this one.
    pub(crate) fn holds(&self, turn: ChatTurn, now: ClockMillis) -> bool {
        let chats = self.lock();
        let Some(held) = chats.get(&turn.chat) else {
            return false;
        };
        let is_recent = now.since(held.at) <= SpanMillis::new(AGE_LIMIT_MS);
        let behind = turn.messages.checked_sub(held.messages);
        is_recent && behind.is_some_and(|count| count <= TURN_MESSAGES)
    }

    /// Forgets all chats, since the engine may have lost its cache.
    pub(crate) fn clear(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<u64, HeldTurn>> {
        self.chats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
