//! Routes: which requests go to which pool, and what is promised about them.

use fescuetide_base::PoolName;
use fescuetide_base::SpanMillis;
use indexmap::IndexMap;

/// What may be repeated of a request, and what its response is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkKind {
    /// Idempotent, with one response.
    Repeatable,
    /// Runs at most once, with one response.
    Once,
    /// A stream of events that can go on at another upstream after its last event.
    ResumableStream,
    /// A stream of events that runs at most once.
    OnceStream,
}

impl WorkKind {
    /// Whether a request that may have run may be sent again.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Repeatable | Self::ResumableStream)
    }

    /// Whether the response is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::OnceStream)
    }
}

/// One pool of a route with its share of the route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolShare {
    /// The pool.
    pub pool: PoolName,
    /// The weight among the route's pools.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteEntry {
    /// Its name.
    pub name: String,
    /// The start of the paths that it takes; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: WorkKind,
    /// The longest time that a request is kept waiting.
    pub time_limit: SpanMillis,
    /// The latency target: the response, or its first event, is late after this.
    pub late_after: SpanMillis,
    /// For streams, the longest pause between events.
    pub pause_limit: Option<SpanMillis>,
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// Most upstreams that one request is sent to.
    pub attempt_limit: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether requests share parts of prompts that upstreams keep.
    pub shares_prompts: bool,
    /// The pools.
    pub pools: Vec<PoolShare>,
}

/// A pool of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolEntry {
    /// Most connections that one upstream takes from all routers.
    pub connection_limit: u32,
    /// Whether an upstream can copy parts of prompts from another one.
    pub copies_prompts: bool,
}

/// Routes by host, and pools by name.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// The routes of each host, those with the longest prefix first.
    hosts: IndexMap<String, Vec<RouteEntry>>,
    pools: IndexMap<PoolName, PoolEntry>,
}

impl RouteTable {
    /// Adds a route of a host.
    pub fn add_route(&mut self, host: &str, route: RouteEntry) {
        let routes = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        let place = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(place, route);
    }

    /// Adds a pool.
    pub fn add_pool(&mut self, name: PoolName, pool: PoolEntry) {
        self.pools.insert(name, pool);
    }

    /// The route of a request: of those of its host, the one with the longest prefix of its path.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteEntry> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&normalize_host(host))?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// A pool by its name.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolEntry> {
        self.pools.get(name)
    }

    /// All routes with their hosts.
    pub fn routes(&self) -> impl Iterator<Item = (&str, &RouteEntry)> {
        self.hosts
            .iter()
            .flat_map(|(host, routes)| routes.iter().map(move |route| (host.as_str(), route)))
    }

    /// All pools.
    pub fn pools(&self) -> impl Iterator<Item = (&PoolName, &PoolEntry)> {
        self.pools.iter()
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

/// A host in lower case without its port.
fn normalize_host(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}
