//! Updates of the fleet state, sent by the threads that read the log and query peers to the thread that serves
//! requests.

use std::sync::Arc;

use fescuetide_base::ClockMillis;

use crate::FleetConfig;
use crate::UpstreamEntry;

/// State of the fleet as known to a router at one point in time. Peers send it to each other.
#[derive(Clone, Debug, Default)]
pub struct FleetSnapshot {
    /// Current configuration, or `None` if none has been received yet.
    pub config: Option<Arc<FleetConfig>>,
    /// Known upstreams.
    pub upstreams: Arc<Vec<UpstreamEntry>>,
    /// When the upstreams were read from the log.
    pub read_at: ClockMillis,
}

/// An update of the fleet state from one source.
#[derive(Clone, Debug)]
pub enum FleetUpdate {
    /// A configuration read from the log.
    Config(Arc<FleetConfig>),
    /// All upstreams listed in the log.
    Upstreams(Arc<Vec<UpstreamEntry>>),
    /// The fleet state of a peer.
    Peer(FleetSnapshot),
    /// Whether the log is unavailable.
    LogUnavailable(bool),
}
