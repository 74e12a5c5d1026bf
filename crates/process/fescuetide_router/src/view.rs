//! The read-only view that the control thread publishes for traffic threads.

use fescuetide_base::PoolName;
use fescuetide_base::RegionName;
use fescuetide_classes::ClassTable;
use fescuetide_members::RoleKind;
use fescuetide_members::VmTable;
use fescuetide_routing::RankingTable;
use indexmap::IndexMap;

/// Immutable input of routing decisions. A new view replaces the previous one as a whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouterView {
    pub(crate) classes: ClassTable,
    pub(crate) vms: VmTable,
    pub(crate) rankings: IndexMap<PoolName, RankingTable>,
}

impl RouterView {
    /// Creates a view and ranks the upstreams of each pool in the region.
    pub(crate) fn new(classes: ClassTable, vms: VmTable, region: &RegionName) -> Self {
        let mut rankings: IndexMap<PoolName, RankingTable> = IndexMap::new();
        for entry in vms.iter() {
            if entry.role == RoleKind::Router || rankings.contains_key(&entry.pool) {
                continue;
            }
            let table = RankingTable::new(&vms, &entry.pool, region);
            rankings.insert(entry.pool.clone(), table);
        }
        Self {
            classes,
            vms,
            rankings,
        }
    }

    /// Returns whether both the classes and the VM list have been read.
    pub(crate) fn is_complete(&self) -> bool {
        !self.vms.is_empty() && self.classes.next_offset().get() > 0
    }
}
