//! Computes the metrics of a run.

use std::time::Duration;

use fescuetide_wire::api::CallOutcome;
use hdrhistogram::Histogram;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::check::GuaranteeViolation;
use crate::check::RunEvidence;
use crate::check::find_violations;
use crate::reuse::ReuseReport;
use crate::reuse::compute_reuse;
use crate::runner::RunRecord;
use crate::sampler::LoadSample;
use crate::trace::TraceCall;

/// Samples in this time after the start are skipped: at loads near 0, a single request is many times the mean.
pub const WARM_UP_MS: u64 = 3_000;

/// Latency quantiles in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LatencyQuantiles {
    /// 50th percentile.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
}

impl LatencyQuantiles {
    fn new<'a>(spans: impl Iterator<Item = &'a Duration>) -> anyhow::Result<Self> {
        let mut histogram: Histogram<u64> = Histogram::new(3)?;
        for span in spans {
            histogram.saturating_record(span.as_millis() as u64);
        }
        Ok(Self {
            p50: histogram.value_at_quantile(0.50),
            p95: histogram.value_at_quantile(0.95),
            p99: histogram.value_at_quantile(0.99),
        })
    }
}

/// Load skew of a run: maximum engine load ÷ mean load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SkewMetrics {
    /// Number of samples.
    pub samples: u64,
    /// Maximum skew.
    pub max: f64,
    /// Load cap ÷ mean load in the sample with the maximum skew.
    pub cap_at_max: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Samples with an engine above the cap `max(1, ceil(1.25 × mean))`.
    pub over_cap: u64,
    /// Samples in which an engine above the cap also gained load, so it admitted work above the cap.
    pub over_cap_rising: u64,
    /// Mean load over all samples.
    pub mean_load: f64,
}

/// All metrics of a run.
#[derive(Clone, Debug)]
pub struct RunMetrics {
    /// The policy or fault set.
    pub label: String,
    /// Requests sent.
    pub requests: u64,
    /// Requests by outcome, in the order of [`CallOutcome`].
    pub outcomes: [u64; 4],
    /// Requests whose connection failed before an outcome was reported.
    pub broken: u64,
    /// Time to the first token.
    pub first_token: LatencyQuantiles,
    /// Inter-token latency.
    pub inter_token: LatencyQuantiles,
    /// Cache reuse.
    pub reuse: ReuseReport,
    /// Skew.
    pub skew: SkewMetrics,
    /// Control bytes per router and second.
    pub control_bytes_per_s: Option<f64>,
    /// Violated guarantees.
    pub violations: Vec<GuaranteeViolation>,
}

impl RunMetrics {
    /// Computes the metrics.
    ///
    /// # Errors
    ///
    /// Fails when a histogram cannot be made.
    pub fn new(calls: &[TraceCall], run: &RunRecord) -> anyhow::Result<Self> {
        let mut outcomes = [0; 4];
        let mut broken = 0;
        for record in &run.records {
            match record.outcome {
                Some(outcome) => outcomes[outcome as usize] += 1,
                None => broken += 1,
            }
        }
        let records = &run.records;
        let evidence = RunEvidence {
            calls,
            records,
            journal: &run.journal,
            actions: &run.actions,
            offsets: &run.offsets,
            tables: &run.tables,
        };
        Ok(Self {
            label: run.label.clone(),
            requests: records.len() as u64,
            outcomes,
            broken,
            first_token: LatencyQuantiles::new(
                records
                    .iter()
                    .filter_map(|record| record.first_token.as_ref()),
            )?,
            inter_token: LatencyQuantiles::new(
                records
                    .iter()
                    .flat_map(|record| &record.inter_token_latencies),
            )?,
            reuse: compute_reuse(calls, &run.journal, &run.actions, run.started_ms),
            skew: measure_skew(run),
            control_bytes_per_s: run.control_bytes_per_s,
            violations: find_violations(&evidence),
        })
    }

    /// The number of requests with this outcome.
    pub fn count(&self, outcome: CallOutcome) -> u64 {
        self.outcomes[outcome as usize]
    }

    /// Converts the metrics to a JSON object. `label` is the key under which the label of the run is stored.
    pub fn to_json(&self, label: &str, measures_routing: bool) -> Value {
        let mut fields = Map::new();
        fields.insert(label.to_owned(), json!(self.label));
        if measures_routing {
            fields.insert(
                "reuse".to_owned(),
                json!(round_to_thousandths(self.reuse.total.ratio())),
            );
            fields.insert(
                "skew_max".to_owned(),
                json!(round_to_thousandths(self.skew.max)),
            );
            fields.insert(
                "skew_p99".to_owned(),
                json!(round_to_thousandths(self.skew.p99)),
            );
            fields.insert("over_cap".to_owned(), json!(self.skew.over_cap));
            fields.insert(
                "over_cap_rising".to_owned(),
                json!(self.skew.over_cap_rising),
            );
            fields.insert("samples".to_owned(), json!(self.skew.samples));
        }
        if let Some(bytes) = self.control_bytes_per_s {
            fields.insert(
                "control_bytes_per_s".to_owned(),
                json!(bytes.round() as u64),
            );
        }
        for (name, value) in [
            ("ttft_p95_ms", self.first_token.p95),
            ("ttft_p99_ms", self.first_token.p99),
            ("completed", self.count(CallOutcome::Completed)),
            ("not_run", self.count(CallOutcome::NotRun)),
            ("failed", self.count(CallOutcome::Failed)),
            ("unknown", self.count(CallOutcome::Unknown)),
            ("broken", self.broken),
            ("violations", self.violations.len() as u64),
        ] {
            fields.insert(name.to_owned(), json!(value));
        }
        Value::Object(fields)
    }
}

fn round_to_thousandths(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

fn measure_skew(run: &RunRecord) -> SkewMetrics {
    let from = run.started_ms + WARM_UP_MS.min(run.span_ms / 4);
    let to = run.started_ms + run.span_ms;
    let mut metrics = SkewMetrics::default();
    let mut ratios = Vec::new();
    let mut before: Option<&LoadSample> = None;
    for sample in &run.samples {
        let earlier = before.replace(sample);
        let mean = sample.mean();
        if !(from..to).contains(&sample.at_ms) || mean == 0.0 {
            continue;
        }
        let ratio = f64::from(sample.max_load()) / mean;
        if ratio > metrics.max {
            metrics.max = ratio;
            metrics.cap_at_max = f64::from(sample.cap()) / mean;
        }
        metrics.over_cap += u64::from(sample.max_load() > sample.cap());
        metrics.over_cap_rising +=
            u64::from(earlier.is_some_and(|earlier| sample.rises_above_cap(earlier)));
        metrics.mean_load += mean;
        ratios.push(ratio);
    }
    metrics.samples = ratios.len() as u64;
    metrics.mean_load /= ratios.len().max(1) as f64;
    ratios.sort_by(f64::total_cmp);
    let rank = (ratios.len() * 99).div_ceil(100).saturating_sub(1);
    metrics.p99 = ratios.get(rank).copied().unwrap_or_default();
    metrics
}
