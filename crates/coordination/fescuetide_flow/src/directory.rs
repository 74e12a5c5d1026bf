//! Directory of the upstreams that probably have shared prompt prefixes cached.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use indexmap::IndexMap;

/// Maximum number of shared prefixes. The least recently used one is evicted first.
const PART_LIMIT: usize = 16_384;

/// Maximum number of upstreams for each prefix.
const HOLDER_LIMIT: usize = 6;

/// How long after its last use a prefix is assumed to be cached. Engines evict the least recently used prefixes.
const KEEP_SPAN: SpanMillis = SpanMillis::new(30_000);

#[derive(Clone, Debug)]
struct PartHolder {
    vm: VmName,
    used_at: ClockMillis,
}

/// Maps shared prefixes to upstreams, based on this router's own requests.
///
/// Entries are hints: an upstream that has evicted a prefix recomputes it.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixDirectory {
    parts: IndexMap<u64, Vec<PartHolder>>,
}

impl PrefixDirectory {
    /// Records that a request with this prefix was sent to an upstream.
    pub(crate) fn note_use(&mut self, part: u64, vm: &VmName, now: ClockMillis) {
        if self.parts.len() >= PART_LIMIT && !self.parts.contains_key(&part) {
            self.drop_oldest();
        }
        let holders = self.parts.entry(part).or_default();
        holders.retain(|holder| holder.vm != *vm && now.since(holder.used_at) < KEEP_SPAN);
        holders.push(PartHolder {
            vm: vm.clone(),
            used_at: now,
        });
        if holders.len() > HOLDER_LIMIT {
            holders.remove(0);
        }
    }

    /// Records that an upstream did not get to process the prefix.
    pub(crate) fn note_failure(&mut self, part: u64, vm: &VmName) {
        if let Some(holders) = self.parts.get_mut(&part) {
            holders.retain(|holder| holder.vm != *vm);
        }
    }

    /// Removes an upstream that left or restarted.
    pub(crate) fn forget(&mut self, vm: &VmName) {
        for holders in self.parts.values_mut() {
            holders.retain(|holder| holder.vm != *vm);
        }
        self.parts.retain(|_, holders| !holders.is_empty());
    }

    /// The upstreams that probably have a prefix cached, most recently used first.
    pub(crate) fn holders(&self, part: u64, now: ClockMillis) -> Vec<&VmName> {
        let holders = self.parts.get(&part).into_iter().flatten().rev();
        holders
            .filter(|holder| now.since(holder.used_at) < KEEP_SPAN)
            .map(|holder| &holder.vm)
            .collect()
    }

    fn drop_oldest(&mut self) {
        let used_at = |holders: &[PartHolder]| holders.last().map(|holder| holder.used_at);
        let oldest = self
            .parts
            .iter()
            .min_by_key(|(_, holders)| used_at(holders))
            .map(|(part, _)| *part);
        if let Some(part) = oldest {
            self.parts.swap_remove(&part);
        }
    }
}
