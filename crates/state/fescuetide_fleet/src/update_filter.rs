//! Ordering of fleet updates from several sources.

use fescuetide_base::ClockMillis;

use crate::ConfigVersion;

/// Decides which updates from the platform's log and from peers replace the current view.
///
/// A configuration is replaced only by a newer version. Upstreams received from a peer are used only until the log has
/// been listed, and only if no other peer has read the log more recently.
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
    /// When the peer whose upstreams are in use read the log.
    peer_read_at: Option<ClockMillis>,
    is_listed: bool,
}

impl UpdateFilter {
    /// Records a configuration. Returns whether it replaces the current one.
    pub fn accepts_config(&mut self, version: ConfigVersion) -> bool {
        if self.version.is_some_and(|known| version <= known) {
            return false;
        }
        self.version = Some(version);
        true
    }

    /// Records that the upstreams have been listed from the log.
    pub fn note_listing(&mut self) {
        self.is_listed = true;
    }

    /// Records upstreams that a peer read from the log at `read_at`. Returns whether they replace the current ones.
    pub fn accepts_peer_upstreams(&mut self, read_at: ClockMillis) -> bool {
        if self.is_listed || self.peer_read_at.is_some_and(|known| read_at <= known) {
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
