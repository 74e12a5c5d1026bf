//! The tree over which collectors sum up.

use fescuetide_base::StableHash;
use fescuetide_base::VmName;

/// Children of a collector. At 340 routers, three levels below the root reach all.
pub const TREE_FAN_IN: usize = 8;

/// A tree of fan-in 8 over the routers of a region, found by each router from its VM list alone.
///
/// Routers are ordered by the hash of their names; the one at place `i` reports to the one at `(i - 1) / 8`. A router
/// that does not answer is left out, so its children move up without waiting for the VM list. A parent always precedes
/// its children in the order, also between routers whose lists differ, so sums never run in a circle.
///
/// ```
/// use fescuetide_base::VmName;
/// use fescuetide_summary::SummaryTree;
///
/// let names: Vec<VmName> = ["a", "b", "c"].map(|name| name.parse().unwrap()).to_vec();
/// let tree = SummaryTree::new(names.clone());
/// let roots = names.iter().filter(|name| tree.parent(name, |_| false).is_none());
/// assert_eq!(roots.count(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SummaryTree {
    order: Vec<(u64, VmName)>,
}

impl SummaryTree {
    /// Orders the routers.
    pub fn new(routers: impl IntoIterator<Item = VmName>) -> Self {
        let hash = |name: &VmName| StableHash::hash_bytes(name.as_str().as_bytes());
        let routers = routers.into_iter();
        let mut order: Vec<(u64, VmName)> = routers.map(|name| (hash(&name), name)).collect();
        order.sort_unstable();
        order.dedup();
        Self { order }
    }

    /// The router that `me` reports to, leaving out those that are down. `None` for the root and for a router that is
    /// not in the tree.
    pub fn parent(&self, me: &VmName, is_down: impl Fn(&VmName) -> bool) -> Option<&VmName> {
        let place = self.order.iter().position(|(_, name)| name == me)?;
        let above: Vec<&VmName> = self.order[..place]
            .iter()
            .map(|(_, name)| name)
            .filter(|name| !is_down(name))
            .collect();
        let last = above.len().checked_sub(1)?;
        Some(above[last / TREE_FAN_IN])
    }
}
