//! The software versions of the upstreams of a pool, now and lately.
//!
//! A stream can only be continued at the version that began it, so a gateway must know at which versions streams can have
//! begun that callers take up. A version is recorded in the log before streams begin there, and only after all gateways
//! that can read the log have listed it. So a gateway that starts finds out from the log what served before, and one that
//! has a recent list of upstreams knows each version that is in use.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_fleet::VersionKey;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::origins::ORIGIN_RETENTION;

/// Maximum number of versions in a pool that are remembered without an upstream that is listed, so that other gateways cannot fill
/// the memory.
const VERSION_LIMIT: usize = 1_024;

/// Time after which a version that is not recorded yet is to be recorded again, and the record of one that is obsolete is to be
/// removed again.
pub(crate) const RECORD_RETRY: SpanMillis = SpanMillis::new(1_000);

#[derive(Clone, Copy, Debug)]
struct VersionState {
    /// Since when an upstream of the version is listed, `None` if none is.
    listed_since: Option<ClockMillis>,
    /// When an upstream of it was last known to serve, if none is listed.
    seen_at: ClockMillis,
    /// Whether the log has a record of it that was written since it last came back from an older copy.
    is_recorded: bool,
    /// Whether the log has any record of it, which is to be removed in the end.
    has_record: bool,
    /// Whether this gateway has listed it or heard of a stream there. Otherwise it knows of it from a record only.
    is_witnessed: bool,
    /// When it was last requested to be recorded.
    requested_at: Option<ClockMillis>,
    /// When its record was last requested to be removed.
    removal_requested_at: Option<ClockMillis>,
}

impl VersionState {
    fn new(now: ClockMillis) -> Self {
        Self {
            listed_since: None,
            seen_at: now,
            is_recorded: false,
            has_record: false,
            is_witnessed: false,
            requested_at: None,
            removal_requested_at: None,
        }
    }

    /// Whether streams may be taken up that began at the version.
    fn is_recent(&self, now: ClockMillis) -> bool {
        self.listed_since.is_some() || now.since(self.seen_at) < ORIGIN_RETENTION
    }

    /// Whether the log has a record of it that nobody needs any more.
    fn is_obsolete(&self, now: ClockMillis) -> bool {
        self.has_record && !self.is_recent(now)
    }
}

/// The versions of a pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct VersionTable {
    versions: IndexMap<VersionKey, VersionState>,
}

impl VersionTable {
    /// Replaces the versions that have an upstream in the list.
    pub(crate) fn note_listing(&mut self, listed: &IndexSet<VersionKey>, now: ClockMillis) {
        for (version, state) in &mut self.versions {
            if state.listed_since.is_some() && !listed.contains(version) {
                state.listed_since = None;
                state.seen_at = now;
            }
        }
        for version in listed {
            let state = self.versions.entry(*version);
            let state = state.or_insert_with(|| VersionState::new(now));
            state.listed_since.get_or_insert(now);
            state.is_witnessed = true;
        }
    }

    /// Records that a version serves or did so until now, although it may not be listed.
    pub(crate) fn note_seen(&mut self, version: VersionKey, now: ClockMillis) {
        if let Some(state) = self.find_or_insert(version, now) {
            state.seen_at = now;
            state.is_witnessed = true;
        }
    }

    /// The state of a version, `None` if it is not known and there are too many.
    fn find_or_insert(
        &mut self,
        version: VersionKey,
        now: ClockMillis,
    ) -> Option<&mut VersionState> {
        if !self.versions.contains_key(&version) {
            self.versions
                .retain(|_, state| state.has_record || state.is_recent(now));
            if self.versions.len() >= VERSION_LIMIT {
                return None;
            }
        }
        let state = self.versions.entry(version);
        Some(state.or_insert_with(|| VersionState::new(now)))
    }

    /// Records that the log has a record of a version.
    pub(crate) fn note_recorded(&mut self, version: VersionKey, now: ClockMillis) {
        if let Some(state) = self.find_or_insert(version, now) {
            state.is_recorded = true;
            state.has_record = true;
        }
    }

    /// Records that the log has a record of a version from before it came back from an older copy.
    pub(crate) fn note_stale_record(&mut self, version: VersionKey, now: ClockMillis) {
        if let Some(state) = self.find_or_insert(version, now) {
            state.has_record = true;
        }
    }

    /// Records that the log has no record of a version any more: a gateway found it obsolete. If the version serves again, it is to
    /// be recorded again.
    pub(crate) fn note_removed(&mut self, version: VersionKey, now: ClockMillis) {
        let Some(state) = self.versions.get_mut(&version) else {
            return;
        };
        state.is_recorded = false;
        state.has_record = false;
        state.requested_at = None;
        let is_needed =
            state.listed_since.is_some() || (state.is_witnessed && state.is_recent(now));
        if !is_needed {
            self.versions.swap_remove(&version);
        }
    }

    /// Removes the versions that were known from records only, which the log does not have any more, and those whose record was to
    /// be removed. `recorded` are all versions that it has records of.
    pub(crate) fn note_reading(&mut self, recorded: &IndexSet<VersionKey>, now: ClockMillis) {
        let mut removed = Vec::new();
        for (version, state) in &self.versions {
            if state.has_record && state.listed_since.is_none() && !recorded.contains(version) {
                removed.push(*version);
            }
        }
        for version in removed {
            self.note_removed(version, now);
        }
    }

    /// Records that the log may have lost its records.
    pub(crate) fn forget_records(&mut self) {
        for state in self.versions.values_mut() {
            state.is_recorded = false;
            state.requested_at = None;
        }
    }

    /// Whether the log has a record of a version that nobody needs any more.
    pub(crate) fn is_obsolete(&self, version: VersionKey, now: ClockMillis) -> bool {
        let state = self.versions.get(&version);
        state.is_some_and(|state| state.is_obsolete(now))
    }

    /// Whether the log has a record of a version.
    pub(crate) fn is_recorded(&self, version: VersionKey) -> bool {
        let state = self.versions.get(&version);
        state.is_some_and(|state| state.is_recorded)
    }

    /// Whether some listed version is not recorded yet.
    pub(crate) fn has_unrecorded(&self) -> bool {
        let mut states = self.versions.values();
        states.any(|state| state.listed_since.is_some() && !state.is_recorded)
    }

    /// The only version that serves or did lately, `None` if there are several or none.
    pub(crate) fn only_known(&self, now: ClockMillis) -> Option<VersionKey> {
        let versions = self.versions.iter();
        let recent = versions.filter(|(_, state)| state.is_recent(now));
        only(recent.map(|(version, _)| *version))
    }

    /// The only version at which streams can have begun, if the records in the log are known: the only recorded one, or the only
    /// one if none is recorded.
    pub(crate) fn only_possible(&self, now: ClockMillis) -> Option<VersionKey> {
        let is_possible = |state: &VersionState| state.is_recorded && state.is_recent(now);
        if !self.versions.values().any(is_possible) {
            return self.only_known(now);
        }
        let versions = self.versions.iter();
        let recorded = versions.filter(|(_, state)| is_possible(state));
        only(recorded.map(|(version, _)| *version))
    }

    /// The versions that are to be recorded now: all gateways that can read the log have listed them after `settling_time`. In a pool
    /// without records, streams begin at all versions at once.
    pub(crate) fn take_unrecorded(
        &mut self,
        settling_time: SpanMillis,
        now: ClockMillis,
    ) -> Vec<VersionKey> {
        let has_records = self.versions.values().any(|state| state.is_recorded);
        let settling_time = match has_records {
            true => settling_time,
            false => SpanMillis::default(),
        };
        let mut due = Vec::new();
        for (version, state) in &mut self.versions {
            let is_settled = state
                .listed_since
                .is_some_and(|since| now.since(since) >= settling_time);
            let is_requested = state
                .requested_at
                .is_some_and(|at| now.since(at) < RECORD_RETRY);
            if state.is_recorded || !is_settled || is_requested {
                continue;
            }
            state.requested_at = Some(now);
            due.push(*version);
        }
        due
    }

    /// Removes the versions at which no stream can have begun that may still be taken up. Those that the log has records of stay until
    /// it has lost them; returns those whose records are to be removed now.
    pub(crate) fn take_obsolete(&mut self, now: ClockMillis) -> Vec<VersionKey> {
        self.versions
            .retain(|_, state| state.has_record || state.is_recent(now));
        let mut due = Vec::new();
        for (version, state) in &mut self.versions {
            let is_requested = state
                .removal_requested_at
                .is_some_and(|at| now.since(at) < RECORD_RETRY);
            if !state.is_obsolete(now) || is_requested {
                continue;
            }
            state.removal_requested_at = Some(now);
            due.push(*version);
        }
        due
    }
}

fn only(mut versions: impl Iterator<Item = VersionKey>) -> Option<VersionKey> {
    let first = versions.next()?;
    versions.next().is_none().then_some(first)
}
