//! One version of the operators' configuration.

use std::fmt;
use std::str::FromStr;

use fescuetide_base::ByteCount;
use fescuetide_base::SpanMillis;
use fescuetide_base::WorkspaceName;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::RouteTable;

/// The version of a configuration. Versions grow, in uneven steps.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ConfigVersion(u64);

impl ConfigVersion {
    /// Creates a version from its number.
    pub const fn new(version: u64) -> Self {
        Self(version)
    }

    /// The version as a number.
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

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head of a request.
    pub head_bytes: ByteCount,
    /// Longest body of a request.
    pub body_bytes: ByteCount,
    /// Longest time that a head may take to arrive.
    pub head_time: SpanMillis,
    /// How long a connection may stay idle.
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

/// A workspace, the customer that a request belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceEntry {
    /// Its name, which upstreams are told.
    pub name: WorkspaceName,
    /// Its rank, which goes before the route's. 0 is the most urgent.
    pub rank: Option<u8>,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct FleetConfig {
    /// The version.
    pub version: ConfigVersion,
    /// Routes and pools.
    pub routes: RouteTable,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Whether requests need a key, unless their route is public.
    pub needs_keys: bool,
    /// All workspaces.
    pub workspaces: Vec<WorkspaceEntry>,
    /// The place in `workspaces` of each key's holder.
    pub keys: IndexMap<String, usize>,
}

impl FleetConfig {
    /// The workspace that holds a key.
    pub fn workspace_of(&self, key: &str) -> Option<&WorkspaceEntry> {
        self.workspaces.get(*self.keys.get(key)?)
    }
}
