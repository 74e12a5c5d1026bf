//! Demand for shared prompt prefixes.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use indexmap::IndexMap;

/// Time in which the weight of an arrival falls to 1/e.
const DECAY_TIME: SpanMillis = SpanMillis::new(5_000);

/// Weight of earlier arrivals below which the demand is not estimated, since they may be chance.
const MIN_WEIGHT: f64 = 2.0;

/// Maximum number of prefixes. The one that was requested least recently is dropped first.
const PREFIX_LIMIT: usize = 4_096;

/// An exponentially decaying number of arrivals.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCount {
    weight: f64,
    at: ClockMillis,
}

impl DecayingCount {
    fn get(&self, now: ClockMillis) -> f64 {
        let age = now.since(self.at).as_millis() as f64;
        self.weight * (-age / DECAY_TIME.as_millis() as f64).exp()
    }

    fn add(&mut self, now: ClockMillis) {
        self.weight = self.get(now) + 1.0;
        self.at = now;
    }
}

/// Estimates which share of the requests for a pool has a prefix. A gateway sees a sample of the fleet's requests, so its
/// estimate holds for all gateways.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandTable {
    total: DecayingCount,
    prefixes: IndexMap<u64, DecayingCount>,
}

impl DemandTable {
    /// Records a request and returns the share of the earlier ones that had the same prefix, 0 if they were too few to tell.
    pub(crate) fn note_arrival(&mut self, prefix: u64, now: ClockMillis) -> f64 {
        let mut count = self.prefixes.shift_remove(&prefix).unwrap_or_default();
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
