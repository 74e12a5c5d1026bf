//! Aggregation tree of the collectors.

use fescuetide_base::StableHash;
use fescuetide_base::VmName;

/// Maximum number of children of a collector. A tree with three levels below the root holds up to 585 routers, which is
/// more than the 340 of the largest planned fleet.
pub const TREE_FAN_IN: usize = 8;

/// Aggregation tree with fan-in 8 over the routers of a region, which each router derives from its VM list alone.
///
/// Routers are sorted by the hash of their names, and the one at index `i` reports to the one at `(i - 1) / 8`. A
/// router that does not respond is skipped, so its children find a new parent without waiting for the VM list to
/// change. A parent always precedes its children in this order, even if routers have different lists, so there are no
/// cycles.
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
    /// Creates the tree over `routers`.
    pub fn new(routers: impl IntoIterator<Item = VmName>) -> Self {
        let hash = |name: &VmName| StableHash::hash_bytes(name.as_str().as_bytes());
        let routers = routers.into_iter();
        let mut order: Vec<(u64, VmName)> = routers.map(|name| (hash(&name), name)).collect();
        order.sort_unstable();
        order.dedup();
        Self { order }
    }

    /// Returns the router that `me` reports to, skipping those that are down. Returns `None` for the root and for a
    /// router that is not in the tree.
    pub fn parent(&self, me: &VmName, is_down: impl Fn(&VmName) -> bool) -> Option<&VmName> {
        let index = self.order.iter().position(|(_, name)| name == me)?;
        let above: Vec<&VmName> = self.order[..index]
            .iter()
            .map(|(_, name)| name)
            .filter(|name| !is_down(name))
            .collect();
        let last = above.len().checked_sub(1)?;
        Some(above[last / TREE_FAN_IN])
    }
}
