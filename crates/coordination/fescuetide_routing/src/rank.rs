//! Rendezvous ranking within a nested shard.

use fescuetide_base::ChatName;
use fescuetide_base::ModelName;
use fescuetide_base::StableHash;
use fescuetide_base::VmName;
use fescuetide_base::WorkspaceName;

/// What a request is ranked by.
#[derive(Clone, Copy, Debug)]
pub struct RankKey<'a> {
    /// The workspace, whose chats share long prompt prefixes.
    pub workspace: &'a WorkspaceName,
    /// The model, `None` for plain services.
    pub model: Option<&'a ModelName>,
    /// The chat, `None` for requests outside of any chat.
    pub chat: Option<&'a ChatName>,
}

impl RankKey<'_> {
    fn workspace_hash(&self) -> u64 {
        let model = self.model.map_or("", ModelName::as_str);
        StableHash::new()
            .field(self.workspace.as_str().as_bytes())
            .field(model.as_bytes())
            .finish()
    }

    fn chat_hash(&self) -> u64 {
        let chat = self.chat.map_or("", ChatName::as_str);
        StableHash::new()
            .field(self.workspace.as_str().as_bytes())
            .field(chat.as_bytes())
            .finish()
    }
}

/// How many upstreams a workspace's chats are spread over, a power of two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardSize(usize);

impl ShardSize {
    /// Rounds `wanted` up to a power of two.
    pub fn at_least(wanted: usize) -> Self {
        Self(wanted.max(1).next_power_of_two())
    }

    /// The number of upstreams.
    pub const fn get(self) -> usize {
        self.0
    }
}

/// The rendezvous weight of an upstream for a key. The highest weight ranks first.
pub fn score_upstream(key_hash: u64, vm_hash: u64) -> u64 {
    // Finalizer of SplitMix64 (Steele, Lea, Flood, "Fast Splittable Pseudorandom Number Generators", 2014).
    let mut mixed = key_hash ^ vm_hash;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Ranks upstreams for a request; the result holds indices into `vms`, best first.
///
/// `vms` gives each upstream's stable hash, see [`hash_vm`](crate::RouteTable). The first `shard` places in workspace
/// order are reordered by chat; the rest follow in workspace order.
pub fn rank_upstreams(key: &RankKey<'_>, vms: &[u64], shard: ShardSize) -> Vec<u32> {
    let workspace = key.workspace_hash();
    let mut order: Vec<(u64, u32)> = Vec::with_capacity(vms.len());
    for (index, vm) in vms.iter().enumerate() {
        order.push((score_upstream(workspace, *vm), index as u32));
    }
    order.sort_unstable_by(|one, other| other.cmp(one));
    let size = shard.get().min(order.len());
    let chat = key.chat_hash();
    let head = &mut order[..size];
    for place in head.iter_mut() {
        place.0 = score_upstream(chat, vms[place.1 as usize]);
    }
    head.sort_unstable_by(|one, other| other.cmp(one));
    order.into_iter().map(|(_, index)| index).collect()
}

/// The stable hash of a VM's name.
pub(crate) fn hash_vm(name: &VmName) -> u64 {
    StableHash::of_bytes(name.as_str().as_bytes())
}
