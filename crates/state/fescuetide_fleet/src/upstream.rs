//! Table of upstreams, that is, of model engines and plain services.

use std::net::SocketAddr;

use fescuetide_base::ClockMillis;
use fescuetide_base::PoolName;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_base::ZoneName;
use indexmap::IndexMap;

use crate::SoftwareVersion;

/// How long an upstream is kept after an outage of the log during which its entry expired. Starts when the reader
/// detects the end of the outage.
///
/// Live upstreams rewrite their entries within 2 s after the outage; one that rewrites its entry after the period is
/// added again. A missing entry may also belong to an upstream that has left, which must receive no new work from 2 s
/// after the removal of its entry on. The remaining 0.3 s are for detecting the end of the outage.
const EXPIRY_GRACE: SpanMillis = SpanMillis::new(1_700);

/// How long what is known counts more than what a log lists that has come back from an older copy. Upstreams write their entries
/// again about once a second, and the log removes those of upstreams that do not.
const RESTORE_GRACE: SpanMillis = SpanMillis::new(5_000);

/// How long an upstream that has left is remembered; longer than a copy is old.
const DEPARTURE_RETENTION: SpanMillis = SpanMillis::new(60_000);

/// Lifecycle state of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// Accepts new work.
    Ready,
    /// Drains: finishes its outstanding work, then shuts down.
    Leaving,
}

/// Entry that an upstream publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Name of the VM.
    pub name: VmName,
    /// Incarnation of the process, which distinguishes restarts under the same name.
    pub incarnation: ProcessIncarnation,
    /// Pool that the upstream belongs to.
    pub pool: PoolName,
    /// Address on which the upstream listens.
    pub address: SocketAddr,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Version of the software of the upstream.
    pub version: SoftwareVersion,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Lifecycle state of the upstream.
    pub state: UpstreamState,
}

/// A change of the entries of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamChange {
    /// An entry was written.
    Written(UpstreamEntry),
    /// An entry was removed.
    Removed(VmName),
    /// An entry was written that cannot be decoded or describes no usable upstream.
    Unreadable(VmName),
}

#[derive(Clone, Debug)]
struct KnownUpstream {
    entry: UpstreamEntry,
    /// When to drop the upstream if its entry, which expired in an outage, is not rewritten.
    drop_at: Option<ClockMillis>,
}

/// An upstream that has left.
#[derive(Clone, Copy, Debug)]
struct DepartedUpstream {
    incarnation: ProcessIncarnation,
    at: ClockMillis,
}

/// An entry of an older copy that contradicts what is known.
#[derive(Clone, Debug)]
struct DoubtfulEntry {
    entry: UpstreamEntry,
    /// When it counts, if it is not written again.
    counts_at: ClockMillis,
}

/// Table of known upstreams.
///
/// ```
/// use fescuetide_base::prelude::*;
/// use fescuetide_fleet::SoftwareVersion;
/// use fescuetide_fleet::UpstreamChange;
/// use fescuetide_fleet::UpstreamEntry;
/// use fescuetide_fleet::UpstreamState;
/// use fescuetide_fleet::UpstreamTable;
///
/// let mut table = UpstreamTable::default();
/// assert_eq!(table.iter().count(), 0);
/// let entry = UpstreamEntry {
///     name: "engine-1".parse().unwrap(),
///     incarnation: ProcessIncarnation::new(1),
///     pool: "engines".parse().unwrap(),
///     address: "127.0.0.1:8000".parse().unwrap(),
///     zone: "a".parse().unwrap(),
///     version: SoftwareVersion::default(),
///     slots: 4,
///     state: UpstreamState::Ready,
/// };
/// let now = ClockMillis::new(1_000);
/// table.apply(UpstreamChange::Written(entry.clone()), false, now);
/// // An entry that is missing after an outage of the log may have expired, so the upstream is kept at first.
/// table.apply(UpstreamChange::Removed(entry.name.clone()), true, now);
/// assert_eq!(table.iter().count(), 1);
/// table.apply(UpstreamChange::Removed(entry.name), false, now);
/// assert_eq!(table.iter().count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    upstreams: IndexMap<VmName, KnownUpstream>,
    departed: IndexMap<VmName, DepartedUpstream>,
    doubtful: IndexMap<VmName, DoubtfulEntry>,
}

impl UpstreamTable {
    /// Applies a change. `after_outage` means that the log was unavailable since the previous change, so entries of
    /// live upstreams may have expired.
    pub fn apply(&mut self, change: UpstreamChange, after_outage: bool, now: ClockMillis) {
        match change {
            UpstreamChange::Written(entry) => {
                self.doubtful.shift_remove(&entry.name);
                self.departed.shift_remove(&entry.name);
                let known = KnownUpstream {
                    entry,
                    drop_at: None,
                };
                self.upstreams.insert(known.entry.name.clone(), known);
            }
            UpstreamChange::Removed(name) => {
                self.doubtful.shift_remove(&name);
                self.remove(&name, after_outage, now);
            }
            UpstreamChange::Unreadable(name) => {
                self.upstreams.shift_remove(&name);
            }
        }
    }

    fn remove(&mut self, name: &VmName, after_outage: bool, now: ClockMillis) {
        let Some(known) = self.upstreams.get_mut(name) else {
            return;
        };
        if !after_outage || known.entry.state == UpstreamState::Leaving {
            self.drop_upstream(name, now);
            return;
        }
        known.drop_at.get_or_insert(now + EXPIRY_GRACE);
    }

    /// Replaces all entries with those of a full listing. Missing entries count as removed, except for entries that
    /// expired in an earlier outage and may still be rewritten.
    pub fn replace(&mut self, entries: Vec<UpstreamEntry>, after_outage: bool, now: ClockMillis) {
        let mut missing = Vec::new();
        for (name, known) in &self.upstreams {
            let is_listed = entries.iter().any(|entry| entry.name == *name);
            if !is_listed && known.drop_at.is_none() {
                missing.push(name.clone());
            }
        }
        for name in missing {
            self.remove(&name, after_outage, now);
        }
        for entry in entries {
            self.apply(UpstreamChange::Written(entry), after_outage, now);
        }
    }

    /// Replaces all entries with those that a log lists which has come back from an older copy. What is known stays for some
    /// seconds where the copy contradicts it: upstreams that it lacks, that it lists with an earlier state or incarnation,
    /// or that have left since. Returns how many these are.
    pub fn restore(&mut self, entries: Vec<UpstreamEntry>, now: ClockMillis) -> usize {
        let mut accepted = Vec::new();
        let mut doubtful = IndexMap::new();
        for entry in entries {
            if !self.contradicts(&entry) {
                accepted.push(entry);
                continue;
            }
            let counts_at = now + RESTORE_GRACE;
            let known = self.upstreams.get(&entry.name);
            accepted.extend(known.map(|known| known.entry.clone()));
            doubtful.insert(entry.name.clone(), DoubtfulEntry { entry, counts_at });
        }
        // The upstreams that an earlier copy lacked need as long again.
        self.note_recovery(now);
        self.replace(accepted, true, now);
        let mut kept = doubtful.len();
        for known in self.upstreams.values() {
            kept += usize::from(known.drop_at.is_some());
        }
        self.doubtful = doubtful;
        kept
    }

    /// Whether an entry of an older copy is older than what is known.
    fn contradicts(&self, entry: &UpstreamEntry) -> bool {
        if let Some(departed) = self.departed.get(&entry.name) {
            return entry.incarnation <= departed.incarnation;
        }
        let Some(known) = self.upstreams.get(&entry.name) else {
            return false;
        };
        let is_ready_again =
            known.entry.state == UpstreamState::Leaving && entry.state == UpstreamState::Ready;
        entry.incarnation < known.entry.incarnation
            || (entry.incarnation == known.entry.incarnation && is_ready_again)
    }

    fn drop_upstream(&mut self, name: &VmName, now: ClockMillis) {
        let Some(known) = self.upstreams.shift_remove(name) else {
            return;
        };
        self.departed
            .retain(|_, departed| now.since(departed.at) < DEPARTURE_RETENTION);
        let departed = DepartedUpstream {
            incarnation: known.entry.incarnation,
            at: now,
        };
        self.departed.insert(name.clone(), departed);
    }

    /// Records the end of an outage that was long enough for entries to expire.
    ///
    /// Extends the time for which upstreams are kept whose entries expired in an earlier outage, since they could not
    /// rewrite them during this one. Must not be called after shorter failures: a flapping log would otherwise keep
    /// dead upstreams indefinitely.
    pub fn note_recovery(&mut self, now: ClockMillis) {
        for known in self.upstreams.values_mut() {
            if known.drop_at.is_some() {
                known.drop_at = Some(now + EXPIRY_GRACE);
            }
        }
    }

    /// Drops upstreams whose entries were not rewritten in time after an outage, and accepts entries of an older copy that were
    /// neither written again nor removed in time. Returns whether any were dropped.
    pub fn expire(&mut self, now: ClockMillis) -> bool {
        let mut expired = Vec::new();
        for (name, known) in &self.upstreams {
            if known.drop_at.is_some_and(|at| now >= at) {
                expired.push(name.clone());
            }
        }
        for name in &expired {
            self.drop_upstream(name, now);
        }
        let mut accepted = Vec::new();
        self.doubtful.retain(|_, doubtful| {
            let is_due = now >= doubtful.counts_at;
            if is_due {
                accepted.push(doubtful.entry.clone());
            }
            !is_due
        });
        for entry in accepted {
            self.apply(UpstreamChange::Written(entry), false, now);
        }
        !expired.is_empty()
    }

    /// Returns whether the table differs from what the log lists, because an upstream is kept whose entry expired in an outage, or
    /// an entry of an older copy does not count yet.
    pub fn differs_from_log(&self) -> bool {
        let mut upstreams = self.upstreams.values();
        upstreams.any(|known| known.drop_at.is_some()) || !self.doubtful.is_empty()
    }

    /// Iterates over the entries of all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.upstreams.values().map(|known| &known.entry)
    }
}
