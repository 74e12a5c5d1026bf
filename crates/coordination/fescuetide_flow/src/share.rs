//! Estimate of this gateway's share of the fleet's traffic.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;

/// Upper limit of the share that is assumed until load reports arrive. With more than 8 gateways, an equal share is
/// assumed.
const INITIAL_SHARE: f64 = 1.0 / 8.0;

/// Bounds on the share, so that a few outliers neither disable retries nor claim the entire budget.
const MIN_SHARE: f64 = 1.0 / 512.0;
const MAX_SHARE: f64 = 1.0 / 3.0;

/// Interval between samples.
const SAMPLE_INTERVAL: SpanMillis = SpanMillis::new(500);

/// Minimum number of outstanding requests for a sample to be meaningful.
const MIN_SAMPLE_LOAD: u32 = 8;

/// Weight of the latest sample in the exponential moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Estimates the fraction of all requests that this gateway serves from the loads that upstreams report.
///
/// Each gateway uses its share of a common budget, so that the sum over all gateways stays within the budget without
/// any communication between them.
#[derive(Clone, Debug)]
pub(crate) struct TrafficShare {
    share: f64,
    sampled_at: ClockMillis,
    /// Whether any sample was large enough to be used.
    has_samples: bool,
}

impl Default for TrafficShare {
    fn default() -> Self {
        Self {
            share: INITIAL_SHARE,
            sampled_at: ClockMillis::default(),
            has_samples: false,
        }
    }
}

impl TrafficShare {
    /// Assumes an equal share among the gateways until load samples are available.
    ///
    /// Keeps retries bounded when upstreams fail just after many gateways have started and have no load reports yet.
    pub(crate) fn set_gateway_count(&mut self, gateways: usize) {
        if !self.has_samples {
            self.share = INITIAL_SHARE.min(1.0 / gateways.max(1) as f64);
        }
    }

    /// Whether a sample is due.
    pub(crate) fn is_due(&self, now: ClockMillis) -> bool {
        now.since(self.sampled_at) >= SAMPLE_INTERVAL
    }

    /// Adds a sample: the outstanding requests of this gateway and of all gateways.
    pub(crate) fn sample(&mut self, own: u32, all: u32, now: ClockMillis) {
        self.sampled_at = now;
        if all < MIN_SAMPLE_LOAD {
            return;
        }
        self.has_samples = true;
        let sample = (f64::from(own) / f64::from(all)).min(1.0);
        self.share += (sample - self.share) * SAMPLE_WEIGHT;
    }

    /// The estimated share, between 0 and 1.
    pub(crate) fn get(&self) -> f64 {
        self.share.clamp(MIN_SHARE, MAX_SHARE)
    }
}
