//! Memory of what completed recently.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use indexmap::IndexSet;

use crate::CrashFingerprint;

/// Settings of a completion history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistorySettings {
    /// Completions are remembered for this time at least, and for twice this time at most.
    pub retention: SpanMillis,
    /// Maximum number of entries in each of the two halves.
    pub half_limit: usize,
}

impl Default for HistorySettings {
    fn default() -> Self {
        Self {
            retention: SpanMillis::new(10_000),
            half_limit: 1_024,
        }
    }
}

/// Remembers what completed recently, in two halves: the older one is dropped as a whole.
#[derive(Clone, Debug, Default)]
pub struct CompletionHistory {
    settings: HistorySettings,
    newer: IndexSet<CrashFingerprint>,
    older: IndexSet<CrashFingerprint>,
    newer_since: ClockMillis,
}

impl CompletionHistory {
    /// Creates an empty history.
    pub fn new(settings: HistorySettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records a completion.
    pub fn note(&mut self, fingerprint: CrashFingerprint, now: ClockMillis) {
        self.expire(now);
        if self.newer.len() >= self.settings.half_limit {
            self.start_half(now);
        }
        self.newer.insert(fingerprint);
    }

    /// Whether this completed recently.
    pub fn contains(&mut self, fingerprint: CrashFingerprint, now: ClockMillis) -> bool {
        self.expire(now);
        self.newer.contains(&fingerprint) || self.older.contains(&fingerprint)
    }

    fn expire(&mut self, now: ClockMillis) {
        let age = now.since(self.newer_since);
        if age < self.settings.retention {
            return;
        }
        let is_forgotten = age.as_millis() >= 2 * self.settings.retention.as_millis();
        self.start_half(now);
        if is_forgotten {
            self.older.clear();
        }
    }

    fn start_half(&mut self, now: ClockMillis) {
        std::mem::swap(&mut self.newer, &mut self.older);
        self.newer.clear();
        self.newer_since = now;
    }
}
