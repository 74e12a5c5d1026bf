//! The table of VMs.

use fescuetide_base::ClockMillis;
use fescuetide_base::PoolName;
use fescuetide_base::RegionName;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use indexmap::IndexMap;

use crate::RoleKind;
use crate::VmEntry;
use crate::VmPhase;

/// The VMs of the last VM list that was read.
#[derive(Clone, Debug, Default)]
pub struct VmTable {
    entries: IndexMap<VmName, VmEntry>,
    version: u64,
    updated_at: ClockMillis,
}

impl VmTable {
    /// Builds the table from a list read at `now`.
    pub fn new(version: u64, list: Vec<VmEntry>, now: ClockMillis) -> Self {
        let mut entries = IndexMap::with_capacity(list.len());
        for entry in list {
            entries.insert(entry.name.clone(), entry);
        }
        Self {
            entries,
            version,
            updated_at: now,
        }
    }

    /// Records that the list was read again at `now` and had not changed.
    pub fn confirm(&mut self, now: ClockMillis) {
        self.updated_at = now;
    }

    /// The version that the platform gave the list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The time since the list was last read.
    pub fn age(&self, now: ClockMillis) -> SpanMillis {
        now.since(self.updated_at)
    }

    /// The VM under `name`.
    pub fn get(&self, name: &VmName) -> Option<&VmEntry> {
        self.entries.get(name)
    }

    /// All VMs in the order of the list.
    pub fn iter(&self) -> impl Iterator<Item = &VmEntry> {
        self.entries.values()
    }

    /// How many VMs there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no VM is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The live upstreams of `pool` within `region`.
    pub fn live_upstreams<'a>(
        &'a self,
        pool: &'a PoolName,
        region: &'a RegionName,
    ) -> impl Iterator<Item = &'a VmEntry> {
        self.iter().filter(move |entry| {
            entry.role != RoleKind::Router
                && entry.phase == VmPhase::Live
                && entry.pool == *pool
                && entry.region == *region
        })
    }

    /// The live routers, in all regions.
    pub fn live_routers(&self) -> impl Iterator<Item = &VmEntry> {
        self.iter()
            .filter(|entry| entry.role == RoleKind::Router && entry.phase == VmPhase::Live)
    }
}
