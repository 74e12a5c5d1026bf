//! Detection of requests that crash upstreams.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::UpstreamLife;
use indexmap::IndexMap;

use crate::CrashCount;
use crate::CrashEvidence;
use crate::CrashFingerprint;
use crate::EndSet;

/// Settings of a suspect table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectSettings {
    /// Number of crashes after which a request is refused.
    pub crash_limit: u32,
    /// Crashes within this time are one event. Upstreams that go down together do so within moments, and a request that many
    /// callers send may move from one to the next meanwhile.
    pub event_time: SpanMillis,
    /// Time for which a request may still complete, and thereby clear itself, after as many upstreams as the limit ended under
    /// it at about the same time. After that it is refused.
    pub end_grace: SpanMillis,
    /// Time after the last crash for which an entry is kept: the request remains refused or a suspect for this long.
    pub retention: SpanMillis,
    /// Maximum number of entries. Requests that are not refused are evicted first, oldest first.
    pub entry_limit: usize,
    /// Maximum number of entries in one message to a peer. Each takes 28 bytes or less.
    pub exchange_limit: usize,
    /// Time after a request's last crash for which it is in every message to a peer. After that, only requests with
    /// several crashes are, since most that were running at a crash are harmless and do not come again.
    pub exchange_time: SpanMillis,
}

impl Default for SuspectSettings {
    fn default() -> Self {
        Self {
            crash_limit: 2,
            event_time: SpanMillis::new(0),
            end_grace: SpanMillis::new(1_000),
            retention: SpanMillis::new(600_000),
            entry_limit: 4_096,
            exchange_limit: 64,
            exchange_time: SpanMillis::new(10_000),
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SuspectEntry {
    crashes: CrashCount,
    cleared: CrashCount,
    pub(crate) until: ClockMillis,
    /// When `crashes` last grew.
    raised_at: ClockMillis,
    /// The crashes before the event that `crashes` last grew in.
    settled: CrashCount,
    pub(crate) ends: EndSet,
    /// When `ends` reached the limit, as far as this router knows.
    pub(crate) limit_at: Option<ClockMillis>,
}

impl SuspectEntry {
    /// Number of crashes, one after the other, that count.
    fn level(&self) -> u32 {
        self.crashes.get().saturating_sub(self.cleared.get())
    }

    /// Number of crashes that count, including those of upstreams that ended together.
    fn weight(&self) -> u32 {
        self.level().max(self.ends.len() as u32)
    }
}

/// Counts upstream crashes per request in order to find the request that causes them.
///
/// Every request in flight on a crashing upstream becomes a suspect. At most one suspect runs on an upstream at a time
/// (see [`LoadLimiter`](crate::LoadLimiter)), so the next crash implicates a single suspect. After 2 crashes, all
/// routers refuse the request for 10 minutes. Routers exchange what they know, so that crashes add up that different
/// routers have seen.
///
/// ```
/// use fescuetide_base::ClockMillis;
/// use fescuetide_limits::prelude::*;
///
/// let now = ClockMillis::new(0);
/// let mut table = SuspectTable::default();
/// let fingerprint = CrashFingerprint::of(&"atelier".parse().unwrap(), b"{}");
/// let known = table.crashes(fingerprint, now);
/// table.note_crash(fingerprint, known, now);
/// assert!(table.is_suspect(fingerprint, now));
/// assert_eq!(table.refusal(fingerprint, now), None);
/// let mut other = SuspectTable::default();
/// other.merge(table.list_evidence(now)[0], now);
/// let known = other.crashes(fingerprint, now);
/// other.note_crash(fingerprint, known, now);
/// assert!(other.refusal(fingerprint, now).is_some());
/// ```
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    pub(crate) settings: SuspectSettings,
    pub(crate) entries: IndexMap<CrashFingerprint, SuspectEntry>,
}

impl SuspectTable {
    /// Creates an empty table.
    pub fn new(settings: SuspectSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the crashes of a request that are known, including those that were cleared, but without those of an event
    /// that may still go on.
    pub fn crashes(&self, fingerprint: CrashFingerprint, now: ClockMillis) -> CrashCount {
        let entry = self.live(fingerprint, now).copied().unwrap_or_default();
        match now.since(entry.raised_at) < self.settings.event_time {
            true => entry.settled,
            false => entry.crashes,
        }
    }

    /// Records that an upstream crashed while it was running the request. `known` is what [`crashes`](Self::crashes)
    /// returned when the run started. Returns whether the count has changed.
    pub fn note_crash(
        &mut self,
        fingerprint: CrashFingerprint,
        known: CrashCount,
        now: ClockMillis,
    ) -> bool {
        // The entry may have expired while the request was running, and with it what was cleared.
        let entry = self.live(fingerprint, now).copied().unwrap_or_default();
        let known = known.min(entry.crashes);
        let evidence = CrashEvidence {
            fingerprint,
            crashes: known.next(),
            cleared: CrashCount::default(),
            ends: EndSet::default(),
            left: self.settings.retention,
        };
        self.merge(evidence, now)
    }

    /// Records that a life of an upstream ended while it was running the request. Returns whether this is new.
    pub fn note_end(
        &mut self,
        fingerprint: CrashFingerprint,
        life: UpstreamLife,
        now: ClockMillis,
    ) -> bool {
        let entry = self.live(fingerprint, now).copied().unwrap_or_default();
        let evidence = CrashEvidence {
            fingerprint,
            crashes: entry.crashes,
            cleared: entry.cleared,
            ends: EndSet::new(entry.ends.clears(), [life]),
            left: self.settings.retention,
        };
        self.merge(evidence, now)
    }

    /// Records that the request completed, so that its earlier crashes no longer count, unless it is refused for crashes one
    /// after the other. Returns how many crashes were cleared.
    pub fn note_completed(&mut self, fingerprint: CrashFingerprint) -> u32 {
        let limit = self.settings.crash_limit;
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return 0;
        };
        let weight = entry.weight();
        if entry.level() >= limit {
            return 0;
        }
        entry.cleared = entry.crashes;
        if !entry.ends.is_empty() {
            entry.ends.clear();
            entry.limit_at = None;
        }
        weight
    }

    /// Adds what another router knows. Returns whether any of it is new.
    pub fn merge(&mut self, evidence: CrashEvidence, now: ClockMillis) -> bool {
        let left = evidence.left.min(self.settings.retention);
        let is_valid = evidence.cleared <= evidence.crashes;
        if left == SpanMillis::default() || !is_valid {
            return false;
        }
        let known = self.live(evidence.fingerprint, now).copied();
        let entry = known.unwrap_or_default();
        let mut merged = SuspectEntry {
            cleared: entry.cleared.max(evidence.cleared),
            ..entry
        };
        // Without a new crash the expiry stays, so that routers cannot extend a refusal by exchanging it.
        let has_crashed = evidence.crashes > entry.crashes;
        if has_crashed {
            merged.crashes = evidence.crashes;
            merged.settled = self.crashes(evidence.fingerprint, now);
            merged.raised_at = now;
        }
        let has_ended = self.merge_ends(&mut merged, &evidence, now);
        if has_crashed || has_ended || known.is_none() {
            merged.until = entry.until.max(now + left);
        }
        let is_cleared =
            merged.cleared > entry.cleared || merged.ends.clears() > entry.ends.clears();
        if !has_crashed && !has_ended && !is_cleared {
            return false;
        }
        if known.is_none() {
            self.evict_if_full(now);
        }
        self.entries.insert(evidence.fingerprint, merged);
        true
    }

    /// Merges the ends of upstreams. Returns whether there are new ones.
    fn merge_ends(
        &self,
        entry: &mut SuspectEntry,
        evidence: &CrashEvidence,
        now: ClockMillis,
    ) -> bool {
        if evidence.ends.clears() > entry.ends.clears() {
            entry.limit_at = None;
        }
        let has_changed = entry.ends.merge(&evidence.ends);
        if entry.ends.len() < self.settings.crash_limit as usize {
            entry.limit_at = None;
        } else if entry.limit_at.is_none() {
            // Evidence is as old as the part of its retention that has passed.
            let expires_at = now + evidence.left;
            let found_at = expires_at
                .as_millis()
                .saturating_sub(self.settings.retention.as_millis());
            entry.limit_at = Some(now.min(ClockMillis::new(found_at)));
        }
        has_changed && !entry.ends.is_empty()
    }

    /// Returns whether the request was in flight during a recent crash and has not completed since.
    pub fn is_suspect(&self, fingerprint: CrashFingerprint, now: ClockMillis) -> bool {
        self.live(fingerprint, now)
            .is_some_and(|entry| entry.weight() > 0)
    }

    /// Returns the remaining time for which the request is refused, or `None` if it is not refused.
    pub fn refusal(&self, fingerprint: CrashFingerprint, now: ClockMillis) -> Option<SpanMillis> {
        let entry = self.live(fingerprint, now)?;
        (entry.level() >= self.settings.crash_limit).then(|| entry.until.since(now))
    }

    /// Returns what is known about a request.
    pub fn evidence(
        &self,
        fingerprint: CrashFingerprint,
        now: ClockMillis,
    ) -> Option<CrashEvidence> {
        let entry = self.live(fingerprint, now)?;
        Some(CrashEvidence {
            fingerprint,
            crashes: entry.crashes,
            cleared: entry.cleared,
            ends: entry.ends,
            left: entry.until.since(now),
        })
    }

    /// Returns the evidence to send to peers: that with the most crashes that count first, then the newest.
    pub fn list_evidence(&self, now: ClockMillis) -> Vec<CrashEvidence> {
        let mut suspects = Vec::new();
        let new_until = now + self.settings.retention;
        for (fingerprint, entry) in self.entries.iter().rev() {
            let is_recent = new_until.since(entry.until) <= self.settings.exchange_time;
            let weight = entry.weight();
            let is_listed = weight > 1 || (weight == 1 && is_recent);
            if is_listed && now < entry.until {
                suspects.push((weight, *fingerprint));
            }
        }
        suspects.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        suspects.truncate(self.settings.exchange_limit);
        let suspects = suspects.into_iter();
        suspects
            .filter_map(|(_, fingerprint)| self.evidence(fingerprint, now))
            .collect()
    }

    pub(crate) fn live(
        &self,
        fingerprint: CrashFingerprint,
        now: ClockMillis,
    ) -> Option<&SuspectEntry> {
        let entry = self.entries.get(&fingerprint)?;
        (now < entry.until).then_some(entry)
    }

    /// Frees an entry at the size limit: drops expired entries or, if there are none, evicts the oldest one that is not
    /// refused.
    fn evict_if_full(&mut self, now: ClockMillis) {
        if self.entries.len() < self.settings.entry_limit {
            return;
        }
        self.entries.retain(|_, entry| now < entry.until);
        if self.entries.len() < self.settings.entry_limit {
            return;
        }
        let limit = self.settings.crash_limit;
        let mut entries = self.entries.values();
        let position = entries.position(|entry| entry.weight() < limit);
        self.entries.shift_remove_index(position.unwrap_or(0));
    }
}
