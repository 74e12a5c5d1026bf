//! This router's share of the fleet's traffic.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;

/// The share that is assumed before loads tell more and no peer is known.
const FIRST_SHARE: f64 = 1.0 / 8.0;

/// Bounds on the share, so that a few odd samples neither stop retries nor take all of them.
const LEAST_SHARE: f64 = 1.0 / 512.0;
const MOST_SHARE: f64 = 1.0 / 3.0;

/// How often a sample is taken.
const SAMPLE_SPAN: SpanMillis = SpanMillis::new(500);

/// Requests at upstreams below which a sample says too little.
const LEAST_LOAD: u32 = 8;

/// The weight of the newest sample in the mean.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Estimates which part of all requests this router serves, from the loads that upstreams report.
///
/// Routers that share a budget each use their part of it, so that the sum over all of them keeps to it without a message
/// between them.
#[derive(Clone, Debug)]
pub(crate) struct TrafficShare {
    share: f64,
    sampled_at: ClockMillis,
    /// Whether loads have told something.
    has_samples: bool,
}

impl Default for TrafficShare {
    fn default() -> Self {
        Self {
            share: FIRST_SHARE,
            sampled_at: ClockMillis::default(),
            has_samples: false,
        }
    }
}

impl TrafficShare {
    /// Assumes an equal share of so many routers until loads tell more.
    ///
    /// Answers failures just after many routers have started, when each knows nothing of the others' work.
    pub(crate) fn assume_equal(&mut self, routers: usize) {
        if !self.has_samples {
            self.share = FIRST_SHARE.min(1.0 / routers.max(1) as f64);
        }
    }

    /// Whether a sample is due.
    pub(crate) fn is_due(&self, now: ClockMillis) -> bool {
        now.since(self.sampled_at) >= SAMPLE_SPAN
    }

    /// Takes a sample: this router's requests at upstreams and those of all routers.
    pub(crate) fn sample(&mut self, own: u32, all: u32, now: ClockMillis) {
        self.sampled_at = now;
        if all < LEAST_LOAD {
            return;
        }
        self.has_samples = true;
        let sample = (f64::from(own) / f64::from(all)).min(1.0);
        self.share += (sample - self.share) * SAMPLE_WEIGHT;
    }

    /// The share, from 0 to 1.
    pub(crate) fn get(&self) -> f64 {
        self.share.clamp(LEAST_SHARE, MOST_SHARE)
    }
}
