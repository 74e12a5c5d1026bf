//! Settings of a side process.

use std::net::SocketAddr;

use fescuetide_base::FindingList;
use fescuetide_base::PoolName;
use fescuetide_base::RegionName;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_base::ZoneName;
use fescuetide_routing::TransferEstimate;
use serde::Deserialize;

/// What kind of upstream the process stands beside.
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
    /// The VM's name.
    pub vm: VmName,
    /// The pool that the upstream belongs to.
    pub pool: PoolName,
    /// The availability zone.
    pub zone: ZoneName,
    /// The region.
    pub region: RegionName,
    /// The kind of upstream.
    pub kind: UpstreamKind,
    /// Where routers connect.
    pub data_listen: SocketAddr,
    /// Where control RPC is served.
    pub control_listen: SocketAddr,
    /// The upstream's base URL.
    pub upstream_url: String,
    /// The VM list's base URL.
    pub vm_list_url: String,
    /// Multiple of the pool's mean load that the upstream may carry.
    pub load_multiple: f64,
    /// Requests that the upstream runs at once. What exceeds them waits in the queue.
    pub slots: usize,
    /// Prompt tokens that the engine computes in a second, for the choice between computing and moving a prefix.
    pub prefill_tokens_per_s: u64,
    /// Prompt tokens whose KV cache is moved between engines in a second.
    pub transfer_tokens_per_s: u64,
    /// Interval between heartbeats of a response without news, in ms.
    pub heartbeat_ms: u64,
    /// Interval between load reports, in ms.
    pub report_interval_ms: u64,
    /// Interval between reads of the VM list, in ms.
    pub vm_list_interval_ms: u64,
    /// How long a response without reader goes on before it is cancelled, in ms. Responses with an idempotency key
    /// always run to their end.
    pub orphan_timeout_ms: u64,
    /// How long an ended response is kept, in ms.
    pub answer_retention_ms: u64,
    /// How long an idempotency key is known, in ms from its creation. Older keys are refused. Must be at least the
    /// routers' `claim_window_ms`.
    pub key_retention_ms: u64,
    /// The largest response that is kept for resends of an idempotency key, in bytes.
    pub key_answer_limit_bytes: usize,
    /// All responses that are kept for resends, in bytes. The oldest are dropped first.
    pub key_total_limit_bytes: usize,
    /// Longest silence of the upstream before an attempt counts as failed, in ms.
    pub upstream_silence_ms: u64,
    /// Address of a StatsD server; no metrics are sent without it.
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

/// Longest interval of any kind, in ms.
const INTERVAL_LIMIT_MS: u64 = 60_000;

/// Largest limit of kept responses, in bytes.
const BYTES_LIMIT: usize = 1 << 30;

/// Highest rate in tokens a second.
const RATE_LIMIT: u64 = 1_000_000_000;

/// One day in ms.
const DAY_MS: u64 = 86_400_000;

impl SideSettings {
    /// Checks all values. The findings' places are keys.
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
