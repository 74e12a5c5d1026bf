//! Messages between gateways, which exchange peer addresses, requests that crashed upstreams, and the fleet
//! configuration.
//!
//! A gateway is used instead of routers and side processes on a platform that has its own log and upstreams. It sends
//! the requests of callers to the upstreams directly, over HTTP. The peers of a gateway are the other gateways. The
//! fleet is the set of all upstreams, together with the configuration that all gateways share.

use std::net::SocketAddr;
use std::sync::Arc;

use fescuetide_base::ByteCount;
use fescuetide_base::ClockMillis;
use fescuetide_base::PoolName;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_base::WorkspaceName;
use fescuetide_base::ZoneName;
use fescuetide_fleet::CallerLimits;
use fescuetide_fleet::ConfigVersion;
use fescuetide_fleet::FleetConfig;
use fescuetide_fleet::FleetSnapshot;
use fescuetide_fleet::PeerNews;
use fescuetide_fleet::PoolEntry;
use fescuetide_fleet::PoolShare;
use fescuetide_fleet::RouteEntry;
use fescuetide_fleet::RouteTable;
use fescuetide_fleet::SoftwareVersion;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_fleet::UpstreamState;
use fescuetide_fleet::WorkKind;
use fescuetide_fleet::WorkspaceEntry;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;

use crate::rpc::EvidenceWire;

/// A request that a gateway sends to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerAsk {
    /// The address on which the sender accepts requests from peers.
    pub sender: SocketAddr,
    /// The addresses of peers that the sender recently exchanged messages with, or recently learned of.
    pub known: Vec<SocketAddr>,
    /// The requests that the sender suspects of crashing upstreams.
    pub suspects: Vec<EvidenceWire>,
    /// Whether the sender requests the configuration and the upstreams, because it has not read them from the log yet.
    pub wants_fleet: bool,
    /// For each address in `known`, the time since that peer was last known to live, in milliseconds. Empty if the sender is of
    /// an earlier version, whose messages end before this field.
    #[serde(deserialize_with = "last_field")]
    pub ages_ms: Vec<u32>,
}

/// The response of a peer to [`PeerAsk`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerReply {
    /// The addresses of peers that the responder recently exchanged messages with, or recently learned of.
    pub known: Vec<SocketAddr>,
    /// The requests that the responder suspects of crashing upstreams.
    pub suspects: Vec<EvidenceWire>,
    /// The configuration and the upstreams, if they were requested and the responder has them.
    pub fleet: Option<FleetWire>,
    /// As in [`PeerAsk::ages_ms`].
    #[serde(deserialize_with = "last_field")]
    pub ages_ms: Vec<u32>,
}

/// Reads a field that is missing at the end of messages of an earlier version.
fn last_field<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u32>, D::Error> {
    Ok(Vec::deserialize(deserializer).unwrap_or_default())
}

/// Splits news of peers into the addresses and the ages of a message.
pub fn split_news(news: &[PeerNews]) -> (Vec<SocketAddr>, Vec<u32>) {
    let mut known = Vec::with_capacity(news.len());
    let mut ages_ms = Vec::with_capacity(news.len());
    for PeerNews { address, age } in news {
        known.push(*address);
        let age = age.unwrap_or_default().as_millis();
        ages_ms.push(u32::try_from(age).unwrap_or(u32::MAX));
    }
    (known, ages_ms)
}

/// Joins the addresses and the ages of a message.
pub fn join_news(known: &[SocketAddr], ages_ms: &[u32]) -> Vec<PeerNews> {
    let mut news = Vec::with_capacity(known.len());
    for (index, address) in known.iter().enumerate() {
        let age = ages_ms.get(index);
        news.push(PeerNews {
            address: *address,
            age: age.map(|age| SpanMillis::new(u64::from(*age))),
        });
    }
    news
}

/// The configuration that all gateways share, and the list of upstreams.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetWire {
    /// The version of the configuration.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteWire>,
    /// The upstream pools.
    pub pools: Vec<PoolWire>,
    /// The limits for callers.
    pub limits: LimitsWire,
    /// Whether requests must have an API key, except on public routes.
    pub needs_keys: bool,
    /// The workspaces with their priority ranks. A rank overrides that of the route; `None` keeps it.
    pub workspaces: Vec<(WorkspaceName, Option<u8>)>,
    /// The API keys, each with the index of its workspace in `workspaces`.
    pub keys: Vec<(String, u32)>,
    /// The upstreams.
    pub upstreams: Vec<UpstreamWire>,
    /// The time since the upstreams were read from the log, in milliseconds.
    pub age_ms: u64,
}

/// A route from a host and path prefix to upstream pools.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RouteWire {
    /// The host that the route matches.
    pub host: String,
    /// The name of the route.
    pub name: String,
    /// The path prefix that the route matches. Begins and ends with a slash.
    pub prefix: String,
    /// How the requests of the route may be repeated.
    pub kind: WorkKindWire,
    /// The maximum time that a request is kept waiting, in milliseconds.
    pub time_limit_ms: u64,
    /// The latency target in milliseconds. The response, or its first event, is late after this time.
    pub late_after_ms: u64,
    /// The maximum pause between events of a stream in milliseconds.
    pub pause_limit_ms: Option<u64>,
    /// The priority rank of requests whose workspace has none. 0 is the highest priority.
    pub rank: u8,
    /// The maximum number of attempts at a request.
    pub attempt_limit: u32,
    /// Whether requests do not need an API key.
    pub is_public: bool,
    /// Whether requests often begin with the same prompt prefix, so that they are routed to upstreams that have it in
    /// their cache.
    pub shares_prompts: bool,
    /// The pools that the route sends requests to, with their weights.
    pub pools: Vec<(PoolName, u32)>,
}

/// How a request may be repeated. The wire type of [`WorkKind`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkKindWire {
    /// Idempotent, with a single response.
    Repeatable,
    /// Must not run more than once, with a single response.
    Once,
    /// An event stream that another upstream can resume after the last delivered event.
    ResumableStream,
    /// An event stream that must not run more than once, so another upstream cannot resume it.
    OnceStream,
}

/// An upstream pool.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PoolWire {
    /// The name of the pool.
    pub name: PoolName,
    /// The maximum number of connections that one upstream accepts from all gateways.
    pub connection_limit: u32,
    /// Whether an upstream can copy cached prompt prefixes from another upstream.
    pub copies_prompts: bool,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LimitsWire {
    /// The maximum size of a request head in bytes.
    pub head_bytes: u64,
    /// The maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// The timeout for receiving a request head in milliseconds.
    pub head_time_ms: u64,
    /// The idle timeout of connections in milliseconds.
    pub idle_time_ms: u64,
}

/// An upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpstreamWire {
    /// The name of the upstream's VM.
    pub name: VmName,
    /// The incarnation of the upstream.
    pub incarnation: ProcessIncarnation,
    /// The pool that the upstream belongs to.
    pub pool: PoolName,
    /// The address that the upstream listens on.
    pub address: SocketAddr,
    /// The availability zone of the upstream.
    pub zone: ZoneName,
    /// The version of the software of the upstream.
    pub version: String,
    /// The number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream is about to be removed and gets no new requests.
    pub is_leaving: bool,
}

impl FleetWire {
    /// Converts a gateway's snapshot to its wire form. Returns `None` if the snapshot has no configuration yet.
    pub fn from_snapshot(snapshot: &FleetSnapshot, now: ClockMillis) -> Option<Self> {
        let config = snapshot.config.as_ref()?;
        let mut routes = Vec::with_capacity(config.routes.route_count());
        for (host, route) in config.routes.routes() {
            routes.push(RouteWire::from_route(host, route));
        }
        let mut pools = Vec::new();
        for (name, pool) in config.routes.pools() {
            pools.push(PoolWire {
                name: name.clone(),
                connection_limit: pool.connection_limit,
                copies_prompts: pool.can_transfer_cache,
            });
        }
        let mut workspaces = Vec::with_capacity(config.workspaces.len());
        for workspace in &config.workspaces {
            workspaces.push((workspace.name.clone(), workspace.priority));
        }
        let mut keys = Vec::with_capacity(config.keys.len());
        for (key, index) in &config.keys {
            keys.push((key.clone(), u32::try_from(*index).ok()?));
        }
        let upstreams = snapshot.upstreams.iter().map(UpstreamWire::from).collect();
        Some(Self {
            version: config.version.get(),
            routes,
            pools,
            limits: config.limits.into(),
            needs_keys: config.needs_keys,
            workspaces,
            keys,
            upstreams,
            age_ms: now.since(snapshot.read_at).as_millis(),
        })
    }

    /// Converts the wire form back to a snapshot. `now` is the time at which the message was received.
    pub fn into_snapshot(self, now: ClockMillis) -> FleetSnapshot {
        let mut routes = RouteTable::default();
        for route in self.routes {
            let (host, entry) = route.into();
            routes.add_route(&host, entry);
        }
        for pool in self.pools {
            let entry = PoolEntry {
                connection_limit: pool.connection_limit,
                can_transfer_cache: pool.copies_prompts,
            };
            routes.add_pool(pool.name, entry);
        }
        let mut workspaces = Vec::with_capacity(self.workspaces.len());
        for (name, priority) in self.workspaces {
            workspaces.push(WorkspaceEntry { name, priority });
        }
        let keys = self
            .keys
            .into_iter()
            .map(|(key, index)| (key, index as usize))
            .collect();
        let config = FleetConfig {
            version: ConfigVersion::new(self.version),
            routes,
            limits: self.limits.into(),
            needs_keys: self.needs_keys,
            workspaces,
            keys,
        };
        let upstreams = self.upstreams.into_iter().map(Into::into).collect();
        let read_at = now.as_millis().saturating_sub(self.age_ms);
        FleetSnapshot {
            config: Some(Arc::new(config)),
            upstreams: Arc::new(upstreams),
            read_at: ClockMillis::new(read_at),
        }
    }
}

impl RouteWire {
    fn from_route(host: &str, route: &RouteEntry) -> Self {
        let mut pools = Vec::with_capacity(route.pools.len());
        for share in &route.pools {
            pools.push((share.pool.clone(), share.weight));
        }
        Self {
            host: host.to_owned(),
            name: route.name.clone(),
            prefix: route.prefix.clone(),
            kind: route.kind.into(),
            time_limit_ms: route.time_limit.as_millis(),
            late_after_ms: route.late_after.as_millis(),
            pause_limit_ms: route.pause_limit.map(SpanMillis::as_millis),
            rank: route.priority,
            attempt_limit: route.attempt_limit,
            is_public: route.is_public,
            shares_prompts: route.has_common_prefixes,
            pools,
        }
    }
}

impl From<RouteWire> for (String, RouteEntry) {
    fn from(wire: RouteWire) -> Self {
        let mut pools = Vec::with_capacity(wire.pools.len());
        for (pool, weight) in wire.pools {
            pools.push(PoolShare { pool, weight });
        }
        let entry = RouteEntry {
            name: wire.name,
            prefix: wire.prefix,
            kind: wire.kind.into(),
            time_limit: SpanMillis::new(wire.time_limit_ms),
            late_after: SpanMillis::new(wire.late_after_ms),
            pause_limit: wire.pause_limit_ms.map(SpanMillis::new),
            priority: wire.rank,
            attempt_limit: wire.attempt_limit,
            is_public: wire.is_public,
            has_common_prefixes: wire.shares_prompts,
            pools,
        };
        (wire.host, entry)
    }
}

impl From<WorkKind> for WorkKindWire {
    fn from(kind: WorkKind) -> Self {
        match kind {
            WorkKind::Repeatable => Self::Repeatable,
            WorkKind::Once => Self::Once,
            WorkKind::ResumableStream => Self::ResumableStream,
            WorkKind::OnceStream => Self::OnceStream,
        }
    }
}

impl From<WorkKindWire> for WorkKind {
    fn from(wire: WorkKindWire) -> Self {
        match wire {
            WorkKindWire::Repeatable => Self::Repeatable,
            WorkKindWire::Once => Self::Once,
            WorkKindWire::ResumableStream => Self::ResumableStream,
            WorkKindWire::OnceStream => Self::OnceStream,
        }
    }
}

impl From<CallerLimits> for LimitsWire {
    fn from(limits: CallerLimits) -> Self {
        Self {
            head_bytes: limits.head_bytes.get(),
            body_bytes: limits.body_bytes.get(),
            head_time_ms: limits.head_time.as_millis(),
            idle_time_ms: limits.idle_time.as_millis(),
        }
    }
}

impl From<LimitsWire> for CallerLimits {
    fn from(wire: LimitsWire) -> Self {
        Self {
            head_bytes: ByteCount::new(wire.head_bytes),
            body_bytes: ByteCount::new(wire.body_bytes),
            head_time: SpanMillis::new(wire.head_time_ms),
            idle_time: SpanMillis::new(wire.idle_time_ms),
        }
    }
}

impl From<&UpstreamEntry> for UpstreamWire {
    fn from(entry: &UpstreamEntry) -> Self {
        Self {
            name: entry.name.clone(),
            incarnation: entry.incarnation,
            pool: entry.pool.clone(),
            address: entry.address,
            zone: entry.zone.clone(),
            version: entry.version.to_string(),
            slots: entry.slots,
            is_leaving: entry.state == UpstreamState::Leaving,
        }
    }
}

impl From<UpstreamWire> for UpstreamEntry {
    fn from(wire: UpstreamWire) -> Self {
        Self {
            name: wire.name,
            incarnation: wire.incarnation,
            pool: wire.pool,
            address: wire.address,
            zone: wire.zone,
            version: SoftwareVersion::from(wire.version),
            slots: wire.slots,
            state: match wire.is_leaving {
                true => UpstreamState::Leaving,
                false => UpstreamState::Ready,
            },
        }
    }
}
