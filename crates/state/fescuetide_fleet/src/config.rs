//! Versioned configuration published by the operators.

use std::fmt;
use std::str::FromStr;

use fescuetide_base::ByteCount;
use fescuetide_base::SpanMillis;
use fescuetide_base::WorkspaceName;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::RouteTable;

/// Version of a configuration. Versions increase monotonically but are not consecutive.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ConfigVersion(u64);

impl ConfigVersion {
    /// Creates a version from its number.
    pub const fn new(version: u64) -> Self {
        Self(version)
    }

    /// Returns the version number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for ConfigVersion {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Limits on connections and requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub head_bytes: ByteCount,
    /// Maximum size of a request body.
    pub body_bytes: ByteCount,
    /// Timeout for receiving a request head.
    pub head_time: SpanMillis,
    /// Timeout of an idle connection.
    pub idle_time: SpanMillis,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: ByteCount::new(16 * 1_024),
            body_bytes: ByteCount::new(4 * 1_024 * 1_024),
            head_time: SpanMillis::new(5_000),
            idle_time: SpanMillis::new(15_000),
        }
    }
}

/// A workspace, that is, a tenant to which requests belong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceEntry {
    /// Name of the workspace, which is passed on to upstreams.
    pub name: WorkspaceName,
    /// Priority, which overrides that of the route. 0 is the highest priority.
    pub priority: Option<u8>,
}

/// A version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct FleetConfig {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Routes and pools.
    pub routes: RouteTable,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Whether requests need an API key, unless their route is public.
    pub needs_keys: bool,
    /// All workspaces.
    pub workspaces: Vec<WorkspaceEntry>,
    /// Maps API keys to indices into `workspaces`.
    pub keys: IndexMap<String, usize>,
}

impl FleetConfig {
    /// Returns the workspace that an API key belongs to.
    pub fn workspace_of(&self, key: &str) -> Option<&WorkspaceEntry> {
        self.workspaces.get(*self.keys.get(key)?)
    }
}
