//! Directory of the upstreams that probably have shared prompt prefixes cached.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use indexmap::IndexMap;

/// Maximum number of shared prefixes. The least recently used one is evicted first.
const PREFIX_LIMIT: usize = 16_384;

/// Maximum number of upstreams for each prefix.
const HOLDERS_PER_PREFIX: usize = 6;

/// How long after its last use a prefix is assumed to be cached. Engines evict the least recently used prefixes.
const PREFIX_TTL: SpanMillis = SpanMillis::new(30_000);

#[derive(Clone, Debug)]
struct PrefixHolder {
    vm: VmName,
    used_at: ClockMillis,
}

/// Maps shared prefixes to upstreams, based on this gateway's own requests.
///
/// Entries are hints: an upstream that has evicted a prefix recomputes it.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixDirectory {
    prefixes: IndexMap<u64, Vec<PrefixHolder>>,
}

impl PrefixDirectory {
    /// Records that a request with this prefix was sent to an upstream.
    pub(crate) fn note_use(&mut self, prefix: u64, vm: &VmName, now: ClockMillis) {
        if self.prefixes.len() >= PREFIX_LIMIT && !self.prefixes.contains_key(&prefix) {
            self.evict_least_recent();
        }
        let holders = self.prefixes.entry(prefix).or_default();
        holders.retain(|holder| holder.vm != *vm && now.since(holder.used_at) < PREFIX_TTL);
        holders.push(PrefixHolder {
            vm: vm.clone(),
            used_at: now,
        });
        if holders.len() > HOLDERS_PER_PREFIX {
            holders.remove(0);
        }
    }

    /// Drops the hint that an upstream has the prefix cached, after an attempt there ended without success.
    pub(crate) fn note_failure(&mut self, prefix: u64, vm: &VmName) {
        if let Some(holders) = self.prefixes.get_mut(&prefix) {
            holders.retain(|holder| holder.vm != *vm);
        }
    }

    /// Removes an upstream that left or restarted.
    pub(crate) fn remove(&mut self, vm: &VmName) {
        for holders in self.prefixes.values_mut() {
            holders.retain(|holder| holder.vm != *vm);
        }
        self.prefixes.retain(|_, holders| !holders.is_empty());
    }

    /// The upstreams that probably have a prefix cached, most recently used first.
    pub(crate) fn holders(&self, prefix: u64, now: ClockMillis) -> Vec<&VmName> {
        let holders = self.prefixes.get(&prefix).into_iter().flatten().rev();
        holders
            .filter(|holder| now.since(holder.used_at) < PREFIX_TTL)
            .map(|holder| &holder.vm)
            .collect()
    }

    fn evict_least_recent(&mut self) {
        let used_at = |holders: &[PrefixHolder]| holders.last().map(|holder| holder.used_at);
        let oldest = self
            .prefixes
            .iter()
            .min_by_key(|(_, holders)| used_at(holders))
            .map(|(prefix, _)| *prefix);
        if let Some(prefix) = oldest {
            self.prefixes.swap_remove(&prefix);
        }
    }
}
