//! The read-only view that the control thread publishes for traffic threads.

use fescuetide_base::PoolName;
use fescuetide_base::RegionName;
use fescuetide_classes::ClassTable;
use fescuetide_members::RoleKind;
use fescuetide_members::VmTable;
use fescuetide_routing::RouteTable;
use indexmap::IndexMap;

/// Immutable input of routing decisions. A new view replaces the previous one as a whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouterView {
    pub(crate) classes: ClassTable,
    pub(crate) vms: VmTable,
    pub(crate) routes: IndexMap<PoolName, RouteTable>,
}

impl RouterView {
    /// Creates a view and builds the route tables of all pools in the region.
    pub(crate) fn new(classes: ClassTable, vms: VmTable, region: &RegionName) -> Self {
        let mut routes: IndexMap<PoolName, RouteTable> = IndexMap::new();
        for entry in vms.iter() {
            if entry.role == RoleKind::Router || routes.contains_key(&entry.pool) {
                continue;
            }
            let table = RouteTable::new(&vms, &entry.pool, region);
            routes.insert(entry.pool.clone(), table);
        }
        Self {
            classes,
            vms,
            routes,
        }
    }

    /// Returns whether both the classes and the VM list have been read.
    pub(crate) fn is_complete(&self) -> bool {
        !self.vms.is_empty() && self.classes.next_offset().get() > 0
    }
}
