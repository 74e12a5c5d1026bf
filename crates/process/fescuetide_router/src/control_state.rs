//! State owned by the control thread.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use fescuetide_base::PoolName;
use fescuetide_members::VmEntry;
use fescuetide_members::VmTable;
use fescuetide_summary::LoadCollector;
use fescuetide_summary::PoolSum;
use fescuetide_wire::rpc::SumWire;
use indexmap::IndexMap;

use crate::RouterShared;
use crate::classes::ClassControl;
use crate::records::RequestRecorder;
use crate::view::RouterView;

/// Control state, accessed only by the control thread.
pub(crate) struct ControlState {
    pub(crate) shared: Arc<RouterShared>,
    pub(crate) classes: ClassControl,
    pub(crate) vms: VmTable,
    pub(crate) collector: LoadCollector,
    pub(crate) records: RequestRecorder,
}

pub(crate) type SharedState = Rc<RefCell<ControlState>>;

impl ControlState {
    pub(crate) fn publish_means(&self) {
        let mut means = IndexMap::new();
        for (pool, sum) in self.collector.total_sums() {
            means.insert(pool, sum.mean());
        }
        self.shared.means.store(Arc::new(means));
    }

    /// Publishes a view of the current tables and prepares the partitions that this router is preferred for.
    pub(crate) fn publish(&mut self) {
        let Some(classes) = self.classes.publish(&self.shared) else {
            return;
        };
        let view = RouterView::new(classes, self.vms.clone(), &self.shared.settings.region);
        self.shared.view.store(Arc::new(view));
        let settings = &self.shared.settings;
        let mut routers = Vec::new();
        for entry in self.vms.live_routers() {
            if entry.region == settings.region {
                routers.push(entry.name.clone());
            }
        }
        self.shared.registrar.prepare(&settings.vm, &routers);
    }

    /// Returns the other live routers of the region.
    pub(crate) fn list_peers(&self) -> Vec<VmEntry> {
        let settings = &self.shared.settings;
        let mut peers = Vec::new();
        for entry in self.vms.live_routers() {
            if entry.name == settings.vm || entry.region != settings.region {
                continue;
            }
            peers.push(entry.clone());
        }
        peers
    }
}

pub(crate) fn sums_to_wire(sums: &IndexMap<PoolName, PoolSum>) -> Vec<(PoolName, SumWire)> {
    let mut list = Vec::with_capacity(sums.len());
    for (pool, sum) in sums {
        list.push((pool.clone(), SumWire::from(*sum)));
    }
    list
}
