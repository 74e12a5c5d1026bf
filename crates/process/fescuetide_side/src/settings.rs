//! Side process settings.

use std::net::SocketAddr;

use fescuetide_base::FindingList;
use fescuetide_base::PoolName;
use fescuetide_base::RegionName;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_base::ZoneName;
use fescuetide_routing::TransferEstimate;
use serde::Deserialize;

/// Kind of upstream that a side process serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Settings of a side process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SideSettings {
    /// Name of the VM.
    pub vm: VmName,
    /// Pool that the upstream belongs to.
    pub pool: PoolName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Region of the VM.
    pub region: RegionName,
    /// Kind of upstream.
    pub kind: UpstreamKind,
    /// Listen address for routers and other side processes.
    pub data_listen: SocketAddr,
    /// Listen address for control RPC.
    pub control_listen: SocketAddr,
    /// Base URL of the upstream.
    pub upstream_url: String,
    /// Base URL of the VM list.
    pub vm_list_url: String,
    /// Load limit of the upstream, as a multiple of the mean load of its pool.
    pub load_multiple: f64,
    /// Maximum number of requests that run on the upstream concurrently. Further requests wait in the queue.
    pub slots: usize,
    /// Prefill rate of the engine, in prompt tokens per second. Used to choose between computing and transferring a
    /// prefix.
    pub prefill_tokens_per_s: u64,
    /// Transfer rate of KV cache between engines, in prompt tokens per second.
    pub transfer_tokens_per_s: u64,
    /// Interval between heartbeats while a response has no new data, in ms.
    pub heartbeat_ms: u64,
    /// Interval between load reports, in ms.
    pub report_interval_ms: u64,
    /// Interval between reads of the VM list, in ms.
    pub vm_list_interval_ms: u64,
    /// Time after which a response without a reader is cancelled, in ms. Responses with an idempotency key always run
    /// to completion.
    pub orphan_timeout_ms: u64,
    /// Time for which the response of an ended attempt, its answer, is stored, in ms, so that a router can resume it.
    pub answer_retention_ms: u64,
    /// Age up to which an idempotency key is remembered, in ms. Older keys are refused. Must be at least
    /// `claim_window_ms` of the routers.
    pub key_retention_ms: u64,
    /// Maximum size of a response that is stored for resends of its idempotency key, in bytes.
    pub key_answer_limit_bytes: usize,
    /// Maximum total size of the responses stored for resends, in bytes. The oldest are dropped first.
    pub key_total_limit_bytes: usize,
    /// Time without data from the upstream after which an attempt fails, in ms.
    pub upstream_silence_ms: u64,
    /// Address of a StatsD server. Metrics are disabled if it is not set.
    pub statsd: Option<SocketAddr>,
}

impl Default for SideSettings {
    fn default() -> Self {
        Self {
            vm: default_name("side-1"),
            pool: default_name("pool"),
            zone: default_name("zone-1"),
            region: default_name("region-1"),
            kind: UpstreamKind::Engine,
            data_listen: SocketAddr::from(([127, 0, 0, 1], 7_200)),
            control_listen: SocketAddr::from(([127, 0, 0, 1], 7_201)),
            upstream_url: "http://127.0.0.1:7300".to_owned(),
            vm_list_url: "http://127.0.0.1:7001".to_owned(),
            load_multiple: 1.25,
            slots: 16,
            prefill_tokens_per_s: 20_000,
            transfer_tokens_per_s: 100_000,
            heartbeat_ms: 1_000,
            report_interval_ms: 500,
            vm_list_interval_ms: 1_000,
            orphan_timeout_ms: 15_000,
            answer_retention_ms: 30_000,
            key_retention_ms: 3_600_000,
            key_answer_limit_bytes: 64 * 1024,
            key_total_limit_bytes: 64 * 1024 * 1024,
            upstream_silence_ms: 30_000,
            statsd: None,
        }
    }
}

/// Upper bound of intervals, in ms.
const INTERVAL_LIMIT_MS: u64 = 60_000;

/// Upper bound of the size limits of stored responses, in bytes.
const BYTES_LIMIT: usize = 1 << 30;

/// Upper bound of rates, in tokens per second.
const RATE_LIMIT: u64 = 1_000_000_000;

/// One day in ms.
const DAY_MS: u64 = 86_400_000;

impl SideSettings {
    /// Validates all values. Each finding is reported under the key of its setting.
    pub fn check(&self) -> FindingList {
        let mut list = FindingList::default();
        list.check_url("upstream_url", &self.upstream_url);
        list.check_url("vm_list_url", &self.vm_list_url);
        list.check_range("load_multiple", self.load_multiple, 1.0..=100.0);
        list.check_range("slots", self.slots, 1..=65_536);
        list.check_range(
            "prefill_tokens_per_s",
            self.prefill_tokens_per_s,
            1..=RATE_LIMIT,
        );
        list.check_range(
            "transfer_tokens_per_s",
            self.transfer_tokens_per_s,
            1..=RATE_LIMIT,
        );
        list.check_range("heartbeat_ms", self.heartbeat_ms, 50..=INTERVAL_LIMIT_MS);
        list.check_range(
            "report_interval_ms",
            self.report_interval_ms,
            50..=INTERVAL_LIMIT_MS,
        );
        list.check_range(
            "vm_list_interval_ms",
            self.vm_list_interval_ms,
            50..=INTERVAL_LIMIT_MS,
        );
        list.check_range("orphan_timeout_ms", self.orphan_timeout_ms, 1..=DAY_MS);
        list.check_range("answer_retention_ms", self.answer_retention_ms, 1..=DAY_MS);
        list.check_range("key_retention_ms", self.key_retention_ms, 1..=DAY_MS);
        list.check_range(
            "key_answer_limit_bytes",
            self.key_answer_limit_bytes,
            0..=BYTES_LIMIT,
        );
        list.check_range(
            "key_total_limit_bytes",
            self.key_total_limit_bytes,
            0..=BYTES_LIMIT,
        );
        list.check_range("upstream_silence_ms", self.upstream_silence_ms, 1..=DAY_MS);
        if self.data_listen == self.control_listen {
            list.add("control_listen", "is the same address as data_listen");
        }
        list
    }

    pub(crate) fn transfer_estimate(&self) -> TransferEstimate {
        TransferEstimate {
            prefill_tokens_per_s: self.prefill_tokens_per_s,
            transfer_tokens_per_s: self.transfer_tokens_per_s,
            ..TransferEstimate::default()
        }
    }

    pub(crate) fn heartbeat(&self) -> SpanMillis {
        SpanMillis::new(self.heartbeat_ms)
    }
}

fn default_name<T: std::str::FromStr>(text: &str) -> T {
    match text.parse() {
        Ok(name) => name,
        Err(_) => unreachable!("default names are valid"),
    }
}
