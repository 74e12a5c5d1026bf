//! Settings of a router.

use std::net::SocketAddr;
use std::str::FromStr;

use fescuetide_base::PoolName;
use fescuetide_base::RegionName;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_base::ZoneName;
use serde::Deserialize;

/// Settings of a router.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterSettings {
    /// The VM's name.
    pub vm: VmName,
    /// The availability zone.
    pub zone: ZoneName,
    /// The region. Requests never leave it.
    pub region: RegionName,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where control RPC is served.
    pub control_listen: SocketAddr,
    /// The pool of model engines.
    pub engine_pool: PoolName,
    /// The log service's base URL.
    pub log_url: String,
    /// The VM list's base URL.
    pub vm_list_url: String,
    /// Connections from callers served at once. Each open one holds a thread.
    pub stream_limit: usize,
    /// The largest request body in bytes.
    pub body_limit_bytes: usize,
    /// Heartbeat interval of side processes, in ms. A connection silent for 3 of these is replaced.
    pub heartbeat_ms: u64,
    /// Time for a whole response when the caller gives no deadline, in ms.
    pub default_deadline_ms: u64,
    /// Interval between reads of the VM list, in ms.
    pub vm_list_interval_ms: u64,
    /// Interval between reads of the class log, in ms.
    pub log_interval_ms: u64,
    /// Interval between exchanges with other collectors, in ms.
    pub exchange_interval_ms: u64,
    /// Multiple of the pool's mean load that an upstream may carry.
    pub load_multiple: f64,
    /// Interval between batches of request records, in ms.
    pub record_interval_ms: u64,
    /// How many engines a workspace's chats are spread over at first.
    pub shard_size: usize,
    /// Address of a StatsD server; no metrics are sent without it.
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
            body_limit_bytes: 4 * 1024 * 1024,
            heartbeat_ms: 1_000,
            default_deadline_ms: 60_000,
            vm_list_interval_ms: 1_000,
            log_interval_ms: 1_000,
            exchange_interval_ms: 500,
            load_multiple: 1.25,
            record_interval_ms: 5_000,
            shard_size: 4,
            statsd: None,
        }
    }
}

impl RouterSettings {
    /// The longest silence on a connection in use.
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
