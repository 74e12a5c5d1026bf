//! Detection of requests that crash upstreams.

use std::fmt;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::StableHash;
use fescuetide_base::WorkspaceName;
use indexmap::IndexMap;

/// 128-bit hash that identifies a request by its workspace and body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashFingerprint([u8; 16]);

impl CrashFingerprint {
    /// Computes the fingerprint of a request from its workspace and body.
    pub fn of(workspace: &WorkspaceName, body: &[u8]) -> Self {
        Self::of_parts(&[workspace.as_str().as_bytes(), body])
    }

    /// Computes the fingerprint of a request from all the parts that distinguish it.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut bytes = [0; 16];
        for (half, bytes_of_half) in bytes.chunks_exact_mut(8).enumerate() {
            let mut hash = StableHash::new().field(&[half as u8]);
            for part in parts {
                hash = hash.field(part);
            }
            bytes_of_half.copy_from_slice(&hash.finish().to_le_bytes());
        }
        Self(bytes)
    }

    /// Creates a fingerprint from its bytes.
    pub const fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the fingerprint.
    pub const fn to_bytes(self) -> [u8; 16] {
        self.0
    }
}

impl fmt::Display for CrashFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

/// Settings of a suspect table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectSettings {
    /// Number of crashes after which a request is refused.
    pub crash_limit: u32,
    /// Time after the last crash for which an entry is kept: the request remains refused or a suspect for this long.
    pub retention: SpanMillis,
    /// Maximum number of entries. Suspects that are not refused are evicted first, oldest first.
    pub entry_limit: usize,
    /// Maximum number of refused fingerprints in one message to a peer. Each takes 20 bytes with its remaining time.
    pub exchange_limit: usize,
}

impl Default for SuspectSettings {
    fn default() -> Self {
        Self {
            crash_limit: 2,
            retention: SpanMillis::new(600_000),
            entry_limit: 4_096,
            exchange_limit: 64,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct SuspectEntry {
    crashes: u32,
    is_refused: bool,
    until: ClockMillis,
}

/// Counts upstream crashes per request in order to find the request that causes them.
///
/// Every request in flight on a crashing upstream becomes a suspect. At most one suspect runs on an upstream at a time
/// (see [`LoadLimiter`](crate::LoadLimiter)), so the next crash implicates a single suspect. After 2 crashes, all
/// routers refuse the request for 10 minutes.
///
/// ```
/// use fescuetide_base::ClockMillis;
/// use fescuetide_limits::prelude::*;
///
/// let mut table = SuspectTable::default();
/// let fingerprint = CrashFingerprint::of(&"atelier".parse().unwrap(), b"{}");
/// table.note_crash(fingerprint, ClockMillis::new(0));
/// assert!(table.is_suspect(fingerprint, ClockMillis::new(0)));
/// assert_eq!(table.refusal(fingerprint, ClockMillis::new(0)), None);
/// table.note_crash(fingerprint, ClockMillis::new(0));
/// assert!(table.refusal(fingerprint, ClockMillis::new(0)).is_some());
/// ```
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    settings: SuspectSettings,
    entries: IndexMap<CrashFingerprint, SuspectEntry>,
}

impl SuspectTable {
    /// Creates an empty table.
    pub fn new(settings: SuspectSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records that an upstream crashed while it was running the request.
    pub fn note_crash(&mut self, fingerprint: CrashFingerprint, now: ClockMillis) {
        self.evict_if_full(now);
        let entry = self.entries.entry(fingerprint).or_insert(SuspectEntry {
            crashes: 0,
            is_refused: false,
            until: now,
        });
        if now >= entry.until {
            entry.crashes = 0;
            entry.is_refused = false;
        }
        entry.crashes += 1;
        entry.is_refused |= entry.crashes >= self.settings.crash_limit;
        entry.until = now + self.settings.retention;
    }

    /// Records that the request completed, which clears the suspicion unless the request is refused.
    pub fn note_completed(&mut self, fingerprint: CrashFingerprint) {
        if self
            .entries
            .get(&fingerprint)
            .is_some_and(|entry| !entry.is_refused)
        {
            self.entries.shift_remove(&fingerprint);
        }
    }

    /// Adds a fingerprint that another router refuses for the remaining time `left`.
    pub fn learn(&mut self, fingerprint: CrashFingerprint, left: SpanMillis, now: ClockMillis) {
        // Keep the expiry that is already known, so that routers cannot extend a refusal by gossiping it back and
        // forth.
        if self.refusal(fingerprint, now).is_some() {
            return;
        }
        self.evict_if_full(now);
        let entry = SuspectEntry {
            crashes: self.settings.crash_limit,
            is_refused: true,
            until: now + SpanMillis::new(left.as_millis().min(self.settings.retention.as_millis())),
        };
        self.entries.insert(fingerprint, entry);
    }

    /// Returns whether the request was in flight during a recent crash.
    pub fn is_suspect(&self, fingerprint: CrashFingerprint, now: ClockMillis) -> bool {
        self.entries
            .get(&fingerprint)
            .is_some_and(|entry| now < entry.until)
    }

    /// Returns the remaining time for which the request is refused, or `None` if it is not refused.
    pub fn refusal(&self, fingerprint: CrashFingerprint, now: ClockMillis) -> Option<SpanMillis> {
        let entry = self.entries.get(&fingerprint)?;
        (entry.is_refused && now < entry.until).then(|| entry.until.since(now))
    }

    /// Returns the refused fingerprints to send to peers with their remaining times, newest first.
    pub fn list_refused(&self, now: ClockMillis) -> Vec<(CrashFingerprint, SpanMillis)> {
        let fingerprints = self.entries.keys().rev();
        fingerprints
            .filter_map(|fingerprint| Some((*fingerprint, self.refusal(*fingerprint, now)?)))
            .take(self.settings.exchange_limit)
            .collect()
    }

    /// Frees an entry at the size limit: drops expired entries or, if there are none, evicts the oldest suspect.
    fn evict_if_full(&mut self, now: ClockMillis) {
        if self.entries.len() < self.settings.entry_limit {
            return;
        }
        self.entries.retain(|_, entry| now < entry.until);
        if self.entries.len() < self.settings.entry_limit {
            return;
        }
        let position = self.entries.values().position(|entry| !entry.is_refused);
        self.entries.shift_remove_index(position.unwrap_or(0));
    }
}
