//! Table of the attempts and idempotency keys that this incarnation has seen.
//!
//! To seal an attempt or key is to record that it must never start here. A router may then safely start it elsewhere.

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

use crate::SideSettings;
use crate::response::ResponseBuffer;

/// An attempt that was registered here.
#[derive(Clone, Debug)]
pub(crate) struct AttemptEntry {
    pub(crate) tag: AttemptTag,
    pub(crate) key: Option<WorkKey>,
    pub(crate) response: Arc<ResponseBuffer>,
}

/// What is known of an attempt id.
#[derive(Debug)]
enum AttemptRecord {
    /// The attempt was registered, and its response is stored.
    Present(AttemptEntry),
    /// The attempt must never start here.
    Sealed(ClockMillis),
    /// The attempt ran here, but its response is no longer stored.
    Expired(ClockMillis),
}

/// What is known of an idempotency key.
#[derive(Clone, Copy, Debug)]
enum KeyRecord {
    /// This attempt with the key was registered.
    Present(AttemptTag),
    /// No attempt with the key may start here.
    Sealed,
    /// An attempt with this key ran here, but its response is no longer stored.
    Expired,
}

#[derive(Debug, Default)]
struct TableState {
    attempts: IndexMap<AttemptId, AttemptRecord>,
    keys: IndexMap<WorkKey, KeyRecord>,
}

/// Retention limits of attempts, responses and keys.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptRetention {
    /// Retention of the response of an ended attempt that has no key or whose response is larger than `response_bytes`.
    pub(crate) response: SpanMillis,
    /// Maximum age of a key, and retention of seals.
    pub(crate) key: SpanMillis,
    /// Time after which an attempt in progress without a reader is an orphan.
    pub(crate) orphan: SpanMillis,
    /// Maximum size of a response that is stored for resends of its key, in bytes.
    pub(crate) response_bytes: usize,
    /// Maximum total size of the responses stored for resends of keys, in bytes.
    pub(crate) total_bytes: usize,
}

impl AttemptRetention {
    pub(crate) fn of(settings: &SideSettings) -> Self {
        Self {
            response: SpanMillis::new(settings.answer_retention_ms),
            key: SpanMillis::new(settings.key_retention_ms),
            orphan: SpanMillis::new(settings.orphan_timeout_ms),
            response_bytes: settings.key_answer_limit_bytes,
            total_bytes: settings.key_total_limit_bytes,
        }
    }

    /// Returns whether a key is so old that its record may have been dropped.
    fn is_too_old(&self, key: &WorkKey, now: ClockMillis) -> bool {
        now.since(key.key.created_at()) > self.key
    }
}

/// Tracks which attempts and keys were seen, so that each runs at most once in this incarnation.
#[derive(Debug)]
pub(crate) struct AttemptTable {
    retention: AttemptRetention,
    state: Mutex<TableState>,
}

impl AttemptTable {
    pub(crate) fn new(retention: AttemptRetention) -> Self {
        Self {
            retention,
            state: Mutex::default(),
        }
    }

    /// Registers an attempt, or returns the reason why it must not start.
    pub(crate) fn register(
        &self,
        tag: AttemptTag,
        key: Option<WorkKey>,
        now: ClockMillis,
    ) -> Result<AttemptEntry, RefusalReason> {
        let mut state = self.lock();
        if state.attempts.contains_key(&tag.attempt) {
            // Also the refusal of a repeated dispatch: the attempt may be running, but must not start again.
            return Err(RefusalReason::Sealed);
        }
        if let Some(key) = &key {
            self.check_key(&state, key, now)?;
            state.keys.insert(key.clone(), KeyRecord::Present(tag));
        }
        let entry = AttemptEntry {
            tag,
            key,
            response: Arc::new(ResponseBuffer::new(now)),
        };
        state
            .attempts
            .insert(tag.attempt, AttemptRecord::Present(entry.clone()));
        Ok(entry)
    }

    fn check_key(
        &self,
        state: &TableState,
        key: &WorkKey,
        now: ClockMillis,
    ) -> Result<(), RefusalReason> {
        if self.retention.is_too_old(key, now) {
            return Err(RefusalReason::KeyExpired);
        }
        match state.keys.get(key) {
            None => Ok(()),
            Some(KeyRecord::Sealed) => Err(RefusalReason::Sealed),
            Some(KeyRecord::Present(_) | KeyRecord::Expired) => Err(RefusalReason::KeySeen),
        }
    }

    /// Returns the attempt with this tag if it is stored here.
    pub(crate) fn find(&self, tag: AttemptTag) -> Option<AttemptEntry> {
        match self.lock().attempts.get(&tag.attempt) {
            Some(AttemptRecord::Present(entry)) if entry.tag == tag => Some(entry.clone()),
            _ => None,
        }
    }

    /// Returns whether `key` was registered or sealed here.
    pub(crate) fn knows_key(&self, key: &WorkKey) -> bool {
        self.lock().keys.contains_key(key)
    }

    /// Prevents an attempt and its key from ever starting here. If one of them was seen before, returns its state.
    pub(crate) fn seal(
        &self,
        tag: AttemptTag,
        key: Option<WorkKey>,
        now: ClockMillis,
    ) -> SealState {
        let mut state = self.lock();
        match state.attempts.get(&tag.attempt) {
            Some(AttemptRecord::Present(entry)) => return SealState::Present(entry.tag),
            Some(AttemptRecord::Expired(_)) => return SealState::Expired,
            Some(AttemptRecord::Sealed(_)) | None => {}
        }
        if let Some(key) = key {
            if self.retention.is_too_old(&key, now) {
                return SealState::Expired;
            }
            match state.keys.get(&key) {
                Some(KeyRecord::Present(found)) => return SealState::Present(*found),
                Some(KeyRecord::Expired) => return SealState::Expired,
                Some(KeyRecord::Sealed) | None => {}
            }
            state.keys.insert(key, KeyRecord::Sealed);
        }
        state
            .attempts
            .insert(tag.attempt, AttemptRecord::Sealed(now));
        SealState::Sealed
    }

    /// Drops everything beyond its retention. Returns the orphans: attempts in progress that have no key and no reader.
    pub(crate) fn sweep(&self, now: ClockMillis) -> Vec<AttemptEntry> {
        let mut orphans = Vec::new();
        let mut kept_bytes = 0;
        let mut state = self.lock();
        let TableState { attempts, keys } = &mut *state;
        // The newest attempts are last. Iterating in reverse counts them first, so that the oldest keyed responses are
        // dropped.
        for record in attempts.values_mut().rev() {
            let AttemptRecord::Present(entry) = record else {
                continue;
            };
            let Some(idle) = entry.response.idle_span(now) else {
                continue;
            };
            if !entry.response.is_ended() {
                if entry.key.is_none() && idle > self.retention.orphan {
                    orphans.push(entry.clone());
                }
                continue;
            }
            let expired = match &entry.key {
                None => idle > self.retention.response,
                Some(key) => {
                    let length = entry.response.body_length();
                    kept_bytes += length;
                    let too_long = length > self.retention.response_bytes;
                    self.retention.is_too_old(key, now)
                        || kept_bytes > self.retention.total_bytes
                        || (too_long && idle > self.retention.response)
                }
            };
            if !expired {
                continue;
            }
            if let Some(key) = entry.key.take() {
                keys.insert(key, KeyRecord::Expired);
            }
            *record = AttemptRecord::Expired(now);
        }
        attempts.retain(|_, record| match record {
            AttemptRecord::Present(_) => true,
            AttemptRecord::Sealed(at) | AttemptRecord::Expired(at) => {
                now.since(*at) <= self.retention.key
            }
        });
        keys.retain(|key, record| {
            matches!(record, KeyRecord::Present(_)) || !self.retention.is_too_old(key, now)
        });
        orphans
    }

    /// Returns whether any response is in progress or being read, or may still be resumed by a router that lost its
    /// connection.
    pub(crate) fn is_awaited(&self, grace: SpanMillis, now: ClockMillis) -> bool {
        for record in self.lock().attempts.values() {
            let AttemptRecord::Present(entry) = record else {
                continue;
            };
            if entry.response.is_awaited(grace, now) {
                return true;
            }
        }
        false
    }

    /// Reverts a registration whose attempt was not admitted. The attempt becomes sealed, so that a repeated dispatch
    /// is refused. Its key is released and may be used by another attempt.
    pub(crate) fn withdraw(&self, entry: &AttemptEntry, now: ClockMillis) {
        let mut state = self.lock();
        state
            .attempts
            .insert(entry.tag.attempt, AttemptRecord::Sealed(now));
        if let Some(key) = &entry.key {
            state.keys.swap_remove(key);
        }
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
