//! Routes, which map requests to pools and define their guarantees.
//!
//! The role `gateway` takes retry semantics and latency targets from routes. The role `router` takes them from the
//! class of a request (`ClassTargets` in `fescuetide_classes`).

use fescuetide_base::PoolName;
use fescuetide_base::SpanMillis;
use indexmap::IndexMap;

/// Retry semantics and response type of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkKind {
    /// Idempotent, with a single response.
    Repeatable,
    /// Runs at most once, with a single response.
    Once,
    /// Event stream that another upstream can resume after the last delivered event.
    ResumableStream,
    /// Event stream that runs at most once.
    OnceStream,
}

impl WorkKind {
    /// Returns whether a request may be retried although it may have run.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Repeatable | Self::ResumableStream)
    }

    /// Returns whether the response is an event stream.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::OnceStream)
    }
}

/// Weighted pool of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolShare {
    /// Name of the pool.
    pub pool: PoolName,
    /// Weight relative to the other pools of the route.
    pub weight: u32,
}

/// A route of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteEntry {
    /// Name of the route.
    pub name: String,
    /// Path prefix of the requests. Begins and ends with a slash.
    pub prefix: String,
    /// Retry semantics and response type of the requests.
    pub kind: WorkKind,
    /// Timeout from the arrival of a request to the end of its response, also for streams.
    pub time_limit: SpanMillis,
    /// Latency target for the response or, for streams, for its first event.
    pub late_after: SpanMillis,
    /// Maximum pause between the events of a stream.
    pub pause_limit: Option<SpanMillis>,
    /// Priority. 0 is the highest.
    pub priority: u8,
    /// Maximum number of attempts of a request, including those that an upstream declines.
    pub attempt_limit: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Whether the prompts of different requests begin with the same prefixes, which upstreams cache.
    pub has_common_prefixes: bool,
    /// Pools that serve the route.
    pub pools: Vec<PoolShare>,
}

/// A pool of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolEntry {
    /// Maximum number of connections that an upstream accepts from all routers together.
    pub connection_limit: u32,
    /// Whether an upstream can import the KV cache of a prompt prefix from another one.
    pub can_transfer_cache: bool,
}

/// Routes by host, and pools by name.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Routes of each host, longest prefix first.
    hosts: IndexMap<String, Vec<RouteEntry>>,
    pools: IndexMap<PoolName, PoolEntry>,
}

impl RouteTable {
    /// Adds a route to a host.
    pub fn add_route(&mut self, host: &str, route: RouteEntry) {
        let routes = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        let index = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(index, route);
    }

    /// Adds a pool.
    pub fn add_pool(&mut self, name: PoolName, pool: PoolEntry) {
        self.pools.insert(name, pool);
    }

    /// Returns the route of a request: the route of its host with the longest prefix that matches its path.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteEntry> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&normalize_host(host))?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the pool with the given name.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolEntry> {
        self.pools.get(name)
    }

    /// Iterates over all routes with their hosts.
    pub fn routes(&self) -> impl Iterator<Item = (&str, &RouteEntry)> {
        self.hosts
            .iter()
            .flat_map(|(host, routes)| routes.iter().map(move |route| (host.as_str(), route)))
    }

    /// Iterates over all pools with their names.
    pub fn pools(&self) -> impl Iterator<Item = (&PoolName, &PoolEntry)> {
        self.pools.iter()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

/// Converts a host to lower case and strips its port.
fn normalize_host(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}
