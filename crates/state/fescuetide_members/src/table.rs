//! Table of VMs.

use fescuetide_base::ClockMillis;
use fescuetide_base::PoolName;
use fescuetide_base::RegionName;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use indexmap::IndexMap;

use crate::RoleKind;
use crate::VmEntry;
use crate::VmPhase;

/// VMs of the most recently read VM list.
#[derive(Clone, Debug, Default)]
pub struct VmTable {
    entries: IndexMap<VmName, VmEntry>,
    version: u64,
    updated_at: ClockMillis,
}

impl VmTable {
    /// Creates the table from a list read at `now`.
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

    /// Records that the list was read again at `now` and is unchanged.
    pub fn confirm(&mut self, now: ClockMillis) {
        self.updated_at = now;
    }

    /// Returns the version that the platform assigned to the list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the time since the list was last read.
    pub fn age(&self, now: ClockMillis) -> SpanMillis {
        now.since(self.updated_at)
    }

    /// Returns the VM with the given name.
    pub fn get(&self, name: &VmName) -> Option<&VmEntry> {
        self.entries.get(name)
    }

    /// Iterates over all VMs in list order.
    pub fn iter(&self) -> impl Iterator<Item = &VmEntry> {
        self.entries.values()
    }

    /// Returns the number of VMs.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no VMs.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over the live upstreams of `pool` within `region`.
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

    /// Iterates over the live routers of all regions.
    pub fn live_routers(&self) -> impl Iterator<Item = &VmEntry> {
        self.iter()
            .filter(|entry| entry.role == RoleKind::Router && entry.phase == VmPhase::Live)
    }
}
