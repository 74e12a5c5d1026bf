//! A gateway's view of its fleet: routes, workspaces and limits of the configuration, upstreams, and peers.
//!
//! Used only by the role `gateway`. The role `router` reads the VM list instead (`fescuetide_members`).
//!
//! Configurations and the entries of upstreams are records in the log, that is, in the platform's log service. Each
//! record has a key. A listing returns the newest record of each key and an offset, from which reads continue. An
//! upstream publishes an entry about itself, which expires unless the upstream rewrites it in time, so entries of live
//! upstreams may expire while the log is unavailable.
//!
//! A configuration is replaced as a whole, and never by an older version. Upstreams are added and removed individually,
//! and each start of an upstream creates a new incarnation.

mod config;
mod config_view;
mod era;
mod listing;
mod outage;
mod peer;
mod registry;
mod route;
mod start_filter;
mod update;
mod update_filter;
mod upstream;
mod version;

pub use config::CallerLimits;
pub use config::ConfigVersion;
pub use config::FleetConfig;
pub use config::WorkspaceEntry;
pub use config_view::ConfigNews;
pub use config_view::ConfigVerdict;
pub use config_view::ConfigView;
pub use era::EraDefect;
pub use era::EraTracker;
pub use era::EraVerdict;
pub use listing::ListingNews;
pub use listing::ListingView;
pub use listing::hash_listing;
pub use outage::OutageDetector;
pub use outage::OutageEnd;
pub use peer::PeerNews;
pub use peer::PeerTable;
pub use registry::GatewayEntry;
pub use registry::RegistrySchedule;
pub use registry::RegistryStep;
pub use registry::order_candidates;
pub use route::PoolEntry;
pub use route::PoolShare;
pub use route::RouteEntry;
pub use route::RouteTable;
pub use route::WorkKind;
pub use start_filter::StartFilter;
pub use update::FleetSnapshot;
pub use update::FleetUpdate;
pub use update_filter::UpdateFilter;
pub use upstream::UpstreamChange;
pub use upstream::UpstreamEntry;
pub use upstream::UpstreamState;
pub use upstream::UpstreamTable;
pub use version::SoftwareVersion;
pub use version::VersionKey;
