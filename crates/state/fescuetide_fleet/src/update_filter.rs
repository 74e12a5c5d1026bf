//! Ordering of fleet updates from several sources.

use fescuetide_base::ClockMillis;

use crate::ConfigVersion;

/// Decides which updates from the log and from peers replace the current view.
///
/// A configuration is replaced only by a newer version. Upstreams received from a peer are used only until this router
/// has listed those in the log, and only if no other peer has read the log more recently.
///
/// ```
/// use fescuetide_base::ClockMillis;
/// use fescuetide_fleet::{ConfigVersion, UpdateFilter};
///
/// let mut filter = UpdateFilter::default();
/// assert!(filter.accepts_config(ConfigVersion::new(7)));
/// assert!(!filter.accepts_config(ConfigVersion::new(6)));
/// assert!(filter.accepts_peer_upstreams(ClockMillis::new(1_000)));
/// filter.note_listing();
/// assert!(!filter.accepts_peer_upstreams(ClockMillis::new(2_000)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpdateFilter {
    version: Option<ConfigVersion>,
    /// Time at which the upstreams in use were read from the log, if they came from a peer.
    peer_read_at: Option<ClockMillis>,
    /// Whether this router itself has listed the upstreams in the log.
    has_listed_log: bool,
}

impl UpdateFilter {
    /// Returns whether a configuration replaces the current one and, if so, stores its version as the current one.
    pub fn accepts_config(&mut self, version: ConfigVersion) -> bool {
        if self.version.is_some_and(|known| version <= known) {
            return false;
        }
        self.version = Some(version);
        true
    }

    /// Records that this router has listed the upstreams in the log.
    pub fn note_listing(&mut self) {
        self.has_listed_log = true;
    }

    /// Returns whether upstreams that a peer read from the log at `read_at` replace the current ones and, if so, stores
    /// the time.
    pub fn accepts_peer_upstreams(&mut self, read_at: ClockMillis) -> bool {
        if self.has_listed_log || self.peer_read_at.is_some_and(|known| read_at <= known) {
            return false;
        }
        self.peer_read_at = Some(read_at);
        true
    }

    /// Returns the version of the current configuration, or `None` if there is none yet.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.version
    }
}
