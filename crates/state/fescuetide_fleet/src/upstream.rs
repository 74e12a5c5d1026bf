//! Upstreams: model engines and plain services.

use std::net::SocketAddr;

use fescuetide_base::ClockMillis;
use fescuetide_base::PoolName;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_base::ZoneName;
use indexmap::IndexMap;

/// How long an upstream whose entry lapsed during an outage of the platform is kept after the outage. Entries of live
/// upstreams are back within 2 s; a leaving upstream must get no new work 2 s after its entry went.
const LAPSE_HOLD: SpanMillis = SpanMillis::new(1_700);

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Leaving,
}

/// An upstream as its own entry describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// The name of its VM.
    pub name: VmName,
    /// Its start, which tells two lives under one name apart.
    pub incarnation: ProcessIncarnation,
    /// Its pool.
    pub pool: PoolName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: UpstreamState,
}

/// A change of the upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamChange {
    /// An entry was written.
    Written(UpstreamEntry),
    /// An entry was removed.
    Removed(VmName),
    /// An entry was written that names no upstream to use.
    Unreadable(VmName),
}

#[derive(Clone, Debug)]
struct KnownUpstream {
    entry: UpstreamEntry,
    /// Set while the entry is missing because of an outage.
    gone_at: Option<ClockMillis>,
}

/// All upstreams.
///
/// ```
/// use fescuetide_fleet::UpstreamTable;
///
/// let table = UpstreamTable::default();
/// assert_eq!(table.iter().count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    upstreams: IndexMap<VmName, KnownUpstream>,
}

impl UpstreamTable {
    /// Applies a change. `after_outage` says that the platform was away since the change before, in which time entries
    /// of live upstreams may have lapsed.
    pub fn apply(&mut self, change: UpstreamChange, after_outage: bool, now: ClockMillis) {
        match change {
            UpstreamChange::Written(entry) => {
                let known = KnownUpstream {
                    entry,
                    gone_at: None,
                };
                self.upstreams.insert(known.entry.name.clone(), known);
            }
            UpstreamChange::Removed(name) => self.remove(&name, after_outage, now),
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
            self.upstreams.shift_remove(name);
            return;
        }
        known.gone_at.get_or_insert(now + LAPSE_HOLD);
    }

    /// Replaces all entries by those of a full listing. Entries that it lacks were removed; those that lapsed in an outage
    /// before may still come back.
    pub fn replace(&mut self, entries: Vec<UpstreamEntry>, after_outage: bool, now: ClockMillis) {
        let mut missing = Vec::new();
        for (name, known) in &self.upstreams {
            let is_listed = entries.iter().any(|entry| entry.name == *name);
            if !is_listed && known.gone_at.is_none() {
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

    /// Notes the end of an outage that was long enough for entries to lapse. Upstreams whose entries lapsed in an earlier
    /// one had no time to write them again. Short failures of a log that flaps must not keep upstreams that are gone.
    pub fn note_return(&mut self, now: ClockMillis) {
        for known in self.upstreams.values_mut() {
            if known.gone_at.is_some() {
                known.gone_at = Some(now + LAPSE_HOLD);
            }
        }
    }

    /// Drops upstreams whose entries did not come back after an outage. Returns whether there were any.
    pub fn expire(&mut self, now: ClockMillis) -> bool {
        let before = self.upstreams.len();
        self.upstreams
            .retain(|_, known| known.gone_at.is_none_or(|at| now < at));
        self.upstreams.len() < before
    }

    /// Whether an upstream is kept only because its entry lapsed during an outage.
    pub fn has_lapsed(&self) -> bool {
        self.upstreams.values().any(|known| known.gone_at.is_some())
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.upstreams.values().map(|known| &known.entry)
    }
}
