//! Demand for shared prompt prefixes.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use indexmap::IndexMap;

use crate::decaying_count::DecayingCount;

/// Time in which the weight of an arrival falls to 1/e.
const DECAY_TIME: SpanMillis = SpanMillis::new(5_000);

/// Weight of earlier arrivals below which the demand is not estimated, since they may be chance.
const MIN_WEIGHT: f64 = 2.0;

/// Maximum number of prefixes. The one that was requested least recently is dropped first.
const PREFIX_LIMIT: usize = 4_096;

/// Estimates which share of the requests for a pool has a prefix. A gateway sees a sample of the fleet's requests, so its
/// estimate holds for all gateways.
#[derive(Clone, Debug)]
pub(crate) struct DemandTable {
    total: DecayingCount,
    prefixes: IndexMap<u64, DecayingCount>,
}

impl Default for DemandTable {
    fn default() -> Self {
        Self {
            total: DecayingCount::new(DECAY_TIME),
            prefixes: IndexMap::new(),
        }
    }
}

impl DemandTable {
    /// Records a request and returns the share of the earlier ones that had the same prefix, 0 if they were too few to tell.
    pub(crate) fn note_arrival(&mut self, prefix: u64, now: ClockMillis) -> f64 {
        let mut count = match self.prefixes.shift_remove(&prefix) {
            Some(count) => count,
            None => DecayingCount::new(DECAY_TIME),
        };
        let (earlier, total) = (count.get(now), self.total.get(now));
        if self.prefixes.len() >= PREFIX_LIMIT {
            self.prefixes.shift_remove_index(0);
        }
        count.add(now);
        self.total.add(now);
        self.prefixes.insert(prefix, count);
        match earlier < MIN_WEIGHT {
            true => 0.0,
            false => earlier / total.max(earlier),
        }
    }
}
