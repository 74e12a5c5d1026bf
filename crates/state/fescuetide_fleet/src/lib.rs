//! A router's view of its fleet: routes, workspaces and limits of the configuration, upstreams, and peers.
//!
//! Used by the role `gateway`, whose processes are the routers of this crate. The role `router` reads the VM list
//! instead (`fescuetide_members`).
//!
//! Configurations and the entries of upstreams are records in the log, that is, in the platform's log service. The log
//! is listed first, which returns the newest record of each key, and then read from there on. An upstream publishes an
//! entry about itself, which expires unless the upstream rewrites it in time, so entries of live upstreams may expire
//! while the log is unavailable.
//!
//! A configuration is replaced as a whole, and never by an older version. Upstreams are added and removed individually,
//! and each start of an upstream creates a new incarnation.

mod config;
mod outage;
mod peer;
mod route;
mod update;
mod update_filter;
mod upstream;

pub use config::CallerLimits;
pub use config::ConfigVersion;
pub use config::FleetConfig;
pub use config::WorkspaceEntry;
pub use outage::OutageDetector;
pub use outage::OutageEnd;
pub use peer::PeerTable;
pub use route::PoolEntry;
pub use route::PoolShare;
pub use route::RouteEntry;
pub use route::RouteTable;
pub use route::WorkKind;
pub use update::FleetSnapshot;
pub use update::FleetUpdate;
pub use update_filter::UpdateFilter;
pub use upstream::UpstreamChange;
pub use upstream::UpstreamEntry;
pub use upstream::UpstreamState;
pub use upstream::UpstreamTable;
