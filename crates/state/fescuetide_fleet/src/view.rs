//! What the control threads publish to the traffic thread.

use std::sync::Arc;

use crate::FleetConfig;
use crate::UpstreamEntry;

/// A change of what the router knows.
#[derive(Clone, Debug)]
pub enum FleetView {
    /// A configuration.
    Config(Arc<FleetConfig>),
    /// All upstreams.
    Upstreams(Vec<UpstreamEntry>),
    /// Whether the platform's log gives no answers.
    LogAway(bool),
}
