//! What the control threads publish to the traffic thread.

use std::sync::Arc;

use fescuetide_base::ClockMillis;

use crate::FleetConfig;
use crate::UpstreamEntry;

/// What a router knew at one moment.
#[derive(Clone, Debug, Default)]
pub struct FleetSnapshot {
    /// The configuration, `None` before the first.
    pub config: Option<Arc<FleetConfig>>,
    /// The upstreams.
    pub upstreams: Arc<Vec<UpstreamEntry>>,
    /// When the upstreams were read from the log.
    pub read_at: ClockMillis,
}

/// A change of what the router knows.
#[derive(Clone, Debug)]
pub enum FleetView {
    /// A configuration of the log.
    Config(Arc<FleetConfig>),
    /// All upstreams that the log lists.
    Upstreams(Arc<Vec<UpstreamEntry>>),
    /// What a peer knows.
    Peer(FleetSnapshot),
    /// Whether the platform's log gives no answers.
    LogAway(bool),
}
