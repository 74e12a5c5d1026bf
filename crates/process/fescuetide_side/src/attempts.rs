//! The attempts and idempotency keys that this incarnation has seen.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use fescuetide_base::AttemptId;
use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_wire::frame::AttemptTag;
use fescuetide_wire::frame::RefusalReason;
use fescuetide_wire::frame::SealState;
use fescuetide_wire::frame::WorkKey;
use indexmap::IndexMap;

use crate::answer::AnswerBuffer;

/// One attempt that was admitted here.
#[derive(Clone, Debug)]
pub(crate) struct AttemptEntry {
    pub(crate) tag: AttemptTag,
    pub(crate) key: Option<WorkKey>,
    pub(crate) answer: Arc<AnswerBuffer>,
}

#[derive(Debug)]
enum SlotState {
    Present(AttemptEntry),
    Sealed(ClockMillis),
}

#[derive(Debug)]
enum KeySlot {
    Present(AttemptTag),
    Sealed(ClockMillis),
    /// The response is no longer kept, but the key ran here.
    Expired(ClockMillis),
}

#[derive(Debug, Default)]
struct TableState {
    attempts: IndexMap<AttemptId, SlotState>,
    keys: IndexMap<WorkKey, KeySlot>,
}

/// How long attempts and keys are kept.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptRetention {
    /// Ended attempts without key, and seals.
    pub(crate) answer: SpanMillis,
    /// Keys and their responses.
    pub(crate) key: SpanMillis,
    /// Attempts in progress that nobody reads.
    pub(crate) orphan: SpanMillis,
}

/// Records which attempts and keys were seen, so that each runs at most once in this incarnation.
#[derive(Debug, Default)]
pub(crate) struct AttemptTable {
    state: Mutex<TableState>,
}

impl AttemptTable {
    /// Registers an attempt, or says why it must not start.
    pub(crate) fn register(
        &self,
        tag: AttemptTag,
        key: Option<WorkKey>,
        now: ClockMillis,
    ) -> Result<AttemptEntry, RefusalReason> {
        let mut state = self.lock();
        if state.attempts.contains_key(&tag.attempt) {
            return Err(RefusalReason::Sealed);
        }
        if let Some(key) = &key {
            match state.keys.get(key) {
                None => {}
                Some(KeySlot::Sealed(_)) => return Err(RefusalReason::Sealed),
                Some(KeySlot::Present(_) | KeySlot::Expired(_)) => {
                    return Err(RefusalReason::KeySeen);
                }
            }
            state.keys.insert(key.clone(), KeySlot::Present(tag));
        }
        let entry = AttemptEntry {
            tag,
            key,
            answer: Arc::new(AnswerBuffer::new(now)),
        };
        state
            .attempts
            .insert(tag.attempt, SlotState::Present(entry.clone()));
        Ok(entry)
    }

    /// The attempt under `tag`, when it is here.
    pub(crate) fn find(&self, tag: AttemptTag) -> Option<AttemptEntry> {
        match self.lock().attempts.get(&tag.attempt) {
            Some(SlotState::Present(entry)) if entry.tag == tag => Some(entry.clone()),
            _ => None,
        }
    }

    /// Bars an attempt and its key from ever starting here, or tells where the response is.
    pub(crate) fn seal(
        &self,
        tag: AttemptTag,
        key: Option<WorkKey>,
        now: ClockMillis,
    ) -> SealState {
        let mut state = self.lock();
        if let Some(SlotState::Present(entry)) = state.attempts.get(&tag.attempt) {
            return SealState::Present(entry.tag);
        }
        if let Some(key) = key {
            match state.keys.get(&key) {
                Some(KeySlot::Present(found)) => return SealState::Present(*found),
                Some(KeySlot::Expired(_)) => return SealState::Expired,
                Some(KeySlot::Sealed(_)) | None => {}
            }
            state.keys.insert(key, KeySlot::Sealed(now));
        }
        state.attempts.insert(tag.attempt, SlotState::Sealed(now));
        SealState::Sealed
    }

    /// Drops what is older than its retention. Returns attempts in progress that nobody reads any more.
    pub(crate) fn sweep(&self, retention: AttemptRetention, now: ClockMillis) -> Vec<AttemptEntry> {
        let mut orphans = Vec::new();
        let mut expired = Vec::new();
        let mut state = self.lock();
        state.attempts.retain(|_, slot| match slot {
            SlotState::Sealed(at) => now.since(*at) <= retention.key,
            SlotState::Present(entry) => {
                let Some(idle) = entry.answer.idle_span(now) else {
                    return true;
                };
                if !entry.answer.is_ended() {
                    if entry.key.is_none() && idle > retention.orphan {
                        orphans.push(entry.clone());
                    }
                    return true;
                }
                match &entry.key {
                    None => idle <= retention.answer,
                    Some(key) if idle > retention.key => {
                        expired.push(key.clone());
                        false
                    }
                    Some(_) => true,
                }
            }
        });
        for key in expired {
            state.keys.insert(key, KeySlot::Expired(now));
        }
        state.keys.retain(|_, slot| match slot {
            KeySlot::Present(_) => true,
            KeySlot::Sealed(at) | KeySlot::Expired(at) => now.since(*at) <= retention.key,
        });
        orphans
    }

    /// Whether a response is in progress or being read, or a router that lost its connection may still resume it.
    pub(crate) fn is_awaited(&self, grace: SpanMillis, now: ClockMillis) -> bool {
        for slot in self.lock().attempts.values() {
            let SlotState::Present(entry) = slot else {
                continue;
            };
            if entry.answer.is_awaited(grace, now) {
                return true;
            }
        }
        false
    }

    /// Forgets a registration that was not admitted after all.
    pub(crate) fn withdraw(&self, entry: &AttemptEntry, now: ClockMillis) {
        let mut state = self.lock();
        state
            .attempts
            .insert(entry.tag.attempt, SlotState::Sealed(now));
        if let Some(key) = &entry.key {
            state.keys.swap_remove(key);
        }
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
