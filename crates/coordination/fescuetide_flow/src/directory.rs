//! Which upstreams are believed to keep the shared parts of prompts.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use indexmap::IndexMap;

/// Shared parts remembered at most; those that were not used for longest are dropped first.
const PART_LIMIT: usize = 16_384;

/// Upstreams remembered for one part.
const HOLDER_LIMIT: usize = 6;

/// How long after its last use a part is believed to be kept. Engines drop the parts that were used least recently.
const KEEP_SPAN: SpanMillis = SpanMillis::new(30_000);

#[derive(Clone, Debug)]
struct PartHolder {
    vm: VmName,
    used_at: ClockMillis,
}

/// What this router learned from its own requests.
///
/// It is a hint: an upstream that has dropped a part only reads it again.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixDirectory {
    parts: IndexMap<u64, Vec<PartHolder>>,
}

impl PrefixDirectory {
    /// Notes that a request with this part was sent to an upstream.
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

    /// Notes that an upstream did not come to read the part.
    pub(crate) fn note_failure(&mut self, part: u64, vm: &VmName) {
        if let Some(holders) = self.parts.get_mut(&part) {
            holders.retain(|holder| holder.vm != *vm);
        }
    }

    /// Forgets an upstream, since it left or began a new life.
    pub(crate) fn forget(&mut self, vm: &VmName) {
        for holders in self.parts.values_mut() {
            holders.retain(|holder| holder.vm != *vm);
        }
        self.parts.retain(|_, holders| !holders.is_empty());
    }

    /// The upstreams that keep a part, the one used last first.
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
