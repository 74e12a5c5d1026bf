//! Router settings.

use std::net::SocketAddr;
use std::str::FromStr;

use fescuetide_base::FindingList;
use fescuetide_base::PoolName;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::RegionName;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_base::ZoneName;
use fescuetide_claims::ClaimWindow;
use fescuetide_flow::CallSettings;
use fescuetide_flow::RoutingPolicy;
use fescuetide_limits::LoadBound;
use serde::Deserialize;

/// Settings of a router process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterSettings {
    /// Name of the VM.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Region of the VM. Requests never leave it.
    pub region: RegionName,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for control RPC.
    pub control_listen: SocketAddr,
    /// Pool of model engines that serves chat completions.
    pub engine_pool: PoolName,
    /// Base URL of the log service.
    pub log_url: String,
    /// Base URL of the VM list.
    pub vm_list_url: String,
    /// Maximum number of concurrent requests from callers, streaming or not.
    pub stream_limit: usize,
    /// Number of threads that serve requests.
    pub traffic_threads: usize,
    /// Maximum size of a request body, in bytes.
    pub body_limit_bytes: usize,
    /// Heartbeat interval of side processes, in ms. A connection that is silent for 3 intervals is replaced.
    pub heartbeat_ms: u64,
    /// Deadline of requests without a deadline header, in ms. It covers the whole response.
    pub default_deadline_ms: u64,
    /// Interval between reads of the VM list, in ms.
    pub vm_list_interval_ms: u64,
    /// Interval between reads of the class log, in ms. A higher offset at a peer triggers an additional read.
    pub log_interval_ms: u64,
    /// Number of class log records after the latest snapshot that triggers a new one.
    pub snapshot_records: u64,
    /// Age of the latest snapshot that triggers a new one, in ms. Must be well below the retention of the log.
    pub snapshot_interval_ms: u64,
    /// Maximum random delay before a snapshot is written, in ms.
    pub snapshot_jitter_ms: u64,
    /// Interval between exchanges with other collectors, in ms.
    pub exchange_interval_ms: u64,
    /// Load limit of an upstream, as a multiple of the mean load of its pool.
    pub load_multiple: f64,
    /// Interval between batches of request records, in ms.
    pub record_interval_ms: u64,
    /// Age up to which an idempotency key is remembered, in ms. Older keys are refused, since it cannot be told whether
    /// their requests ran. Must be below the retention of the log.
    pub claim_window_ms: u64,
    /// Maximum difference between any two clocks of callers and routers, in ms.
    pub claim_skew_ms: u64,
    /// Minimum interval between appends to a partition of the claim log, in ms. Claims that arrive in between form a
    /// batch.
    pub claim_gap_ms: u64,
    /// Initial number of engines that the chats of a workspace are spread over, its shard. The number is adjusted to
    /// the demand of the workspace once enough requests were seen.
    pub shard_size: usize,
    /// Maximum wait for the holder of a chat, the engine that has it cached, while the engine is at its load limit, in
    /// ms. After it, another engine is used.
    pub holder_wait_ms: u64,
    /// Routing policy. The default, `fescuetide`, is rendezvous hashing of chats over the shard of their workspace,
    /// within the load limit. Shards are nested: a larger shard of a workspace contains the smaller ones. The other
    /// values are meant for measurements only.
    pub policy: RoutingPolicy,
    /// Address of a StatsD server. Metrics are disabled if it is not set.
    pub statsd: Option<SocketAddr>,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            vm: default_name("router-1"),
            zone: default_name("zone-1"),
            region: default_name("region-1"),
            listen: SocketAddr::from(([127, 0, 0, 1], 7_100)),
            control_listen: SocketAddr::from(([127, 0, 0, 1], 7_101)),
            engine_pool: default_name("fescuetide-pool"),
            log_url: "http://127.0.0.1:7000".to_owned(),
            vm_list_url: "http://127.0.0.1:7001".to_owned(),
            stream_limit: 512,
            traffic_threads: 2,
            body_limit_bytes: 4 * 1024 * 1024,
            heartbeat_ms: 1_000,
            default_deadline_ms: 60_000,
            vm_list_interval_ms: 1_000,
            log_interval_ms: 3_000,
            snapshot_records: 256,
            snapshot_interval_ms: 600_000,
            snapshot_jitter_ms: 3_000,
            exchange_interval_ms: 500,
            load_multiple: 1.25,
            record_interval_ms: 5_000,
            claim_window_ms: 3_600_000,
            claim_skew_ms: 5_000,
            claim_gap_ms: 80,
            shard_size: 4,
            holder_wait_ms: 100,
            policy: RoutingPolicy::Fescuetide,
            statsd: None,
        }
    }
}

/// Upper bound of intervals, in ms.
const INTERVAL_LIMIT_MS: u64 = 60_000;

/// Upper bound of `log_interval_ms`, so that a change takes effect within 5 s.
const LOG_INTERVAL_LIMIT_MS: u64 = 4_000;

/// Upper bound of `holder_wait_ms`.
const HOLDER_WAIT_LIMIT_MS: u64 = 10_000;

/// One day in ms.
const DAY_MS: u64 = 86_400_000;

impl RouterSettings {
    /// Validates all values. Each finding is reported under the key of its setting.
    pub fn check(&self) -> FindingList {
        let mut list = FindingList::default();
        list.check_url("log_url", &self.log_url);
        list.check_url("vm_list_url", &self.vm_list_url);
        list.check_range("stream_limit", self.stream_limit, 1..=65_536);
        list.check_range("traffic_threads", self.traffic_threads, 1..=64);
        list.check_range("body_limit_bytes", self.body_limit_bytes, 1_024..=1 << 30);
        list.check_range("heartbeat_ms", self.heartbeat_ms, 50..=INTERVAL_LIMIT_MS);
        list.check_range("default_deadline_ms", self.default_deadline_ms, 1..=DAY_MS);
        list.check_range(
            "vm_list_interval_ms",
            self.vm_list_interval_ms,
            50..=INTERVAL_LIMIT_MS,
        );
        list.check_range(
            "log_interval_ms",
            self.log_interval_ms,
            50..=LOG_INTERVAL_LIMIT_MS,
        );
        list.check_range("load_multiple", self.load_multiple, 1.0..=100.0);
        list.check_range("snapshot_records", self.snapshot_records, 1..=1_000_000);
        list.check_range(
            "snapshot_interval_ms",
            self.snapshot_interval_ms,
            1_000..=DAY_MS,
        );
        list.check_range(
            "snapshot_jitter_ms",
            self.snapshot_jitter_ms,
            0..=INTERVAL_LIMIT_MS,
        );
        list.check_range(
            "exchange_interval_ms",
            self.exchange_interval_ms,
            50..=INTERVAL_LIMIT_MS,
        );
        list.check_range(
            "record_interval_ms",
            self.record_interval_ms,
            50..=INTERVAL_LIMIT_MS,
        );
        list.check_range("load_multiple", self.load_multiple, 1.0..=100.0);
        list.check_range(
            "holder_wait_ms",
            self.holder_wait_ms,
            0..=HOLDER_WAIT_LIMIT_MS,
        );
        list.check_range("shard_size", self.shard_size, 1..=65_536);
        if self.listen == self.control_listen {
            list.add("control_listen", "is the same address as listen");
        }
        list.check_range("claim_window_ms", self.claim_window_ms, 1_000..=DAY_MS);
        list.check_range("claim_skew_ms", self.claim_skew_ms, 0..=INTERVAL_LIMIT_MS);
        list.check_range("claim_gap_ms", self.claim_gap_ms, 1..=INTERVAL_LIMIT_MS);
        list
    }

    /// Returns the age up to which idempotency keys are remembered, and the clock skew allowed for.
    pub(crate) fn claim_window(&self) -> ClaimWindow {
        ClaimWindow {
            age: SpanMillis::new(self.claim_window_ms),
            skew: SpanMillis::new(self.claim_skew_ms),
        }
    }

    /// Returns the settings of `CallTables`, which the call flows of all requests share.
    pub(crate) fn call_settings(&self, incarnation: ProcessIncarnation) -> CallSettings {
        CallSettings {
            router: self.vm.clone(),
            incarnation,
            policy: self.policy,
            load_bound: LoadBound {
                multiple: self.load_multiple,
            },
            shard_size: self.shard_size,
            holder_wait: SpanMillis::new(self.holder_wait_ms),
        }
    }

    /// Returns the time without frames after which a connection in use is considered lost.
    pub(crate) fn silence_limit(&self) -> SpanMillis {
        SpanMillis::new(self.heartbeat_ms * 3)
    }
}

fn default_name<T: FromStr>(text: &str) -> T {
    match text.parse() {
        Ok(name) => name,
        Err(_) => unreachable!("default names are valid"),
    }
}
