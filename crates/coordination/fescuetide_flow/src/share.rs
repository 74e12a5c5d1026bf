//! Estimate of this gateway's share of the fleet's traffic.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;

/// Share that is assumed until load reports arrive, and the limit of the share until the number of gateways is known. With
/// more than 8 gateways, an equal share is assumed.
const INITIAL_SHARE: f64 = 1.0 / 8.0;

/// Lower limit of the share, so that a few outliers do not disable retries.
const MIN_SHARE: f64 = 1.0 / 512.0;

/// Interval between samples.
const SAMPLE_INTERVAL: SpanMillis = SpanMillis::new(500);

/// Minimum number of outstanding requests for a sample to be meaningful.
const MIN_SAMPLE_LOAD: u32 = 8;

/// Weight of the latest sample in the exponential moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Estimates the fraction of all requests that this gateway serves from the loads that upstreams report.
///
/// Each gateway uses its share of a common budget. The share never exceeds an equal part: load reports lag, and estimates
/// that rest on them can add up to more than the whole.
#[derive(Clone, Debug)]
pub(crate) struct TrafficShare {
    share: f64,
    /// An equal part of the whole.
    limit: f64,
    sampled_at: ClockMillis,
    /// Whether any sample was large enough to be used.
    has_samples: bool,
}

impl Default for TrafficShare {
    fn default() -> Self {
        Self {
            share: INITIAL_SHARE,
            limit: INITIAL_SHARE,
            sampled_at: ClockMillis::default(),
            has_samples: false,
        }
    }
}

impl TrafficShare {
    /// Sets the number of gateways. Until load samples are available, the share is at most an equal one.
    pub(crate) fn set_gateway_count(&mut self, gateways: usize) {
        self.limit = 1.0 / gateways.max(1) as f64;
        if !self.has_samples {
            self.share = INITIAL_SHARE.min(self.limit);
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
        self.share.max(MIN_SHARE).min(self.limit)
    }
}
