//! Which news about the fleet count, whoever told them.

use fescuetide_base::ClockMillis;

use crate::ConfigVersion;

/// Orders news from the platform's log and from peers.
///
/// A configuration only gives way to a newer one. The upstreams that a peer told count until the log lists them, and only
/// as long as no peer that read the log later tells others.
///
/// ```
/// use fescuetide_base::ClockMillis;
/// use fescuetide_fleet::{ConfigVersion, ViewLedger};
///
/// let mut ledger = ViewLedger::default();
/// assert!(ledger.takes_config(ConfigVersion::new(7)));
/// assert!(!ledger.takes_config(ConfigVersion::new(6)));
/// assert!(ledger.takes_peer_upstreams(ClockMillis::new(1_000)));
/// ledger.note_listing();
/// assert!(!ledger.takes_peer_upstreams(ClockMillis::new(2_000)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViewLedger {
    version: Option<ConfigVersion>,
    /// When the peer whose upstreams count read the log.
    peer_read_at: Option<ClockMillis>,
    is_listed: bool,
}

impl ViewLedger {
    /// Takes a configuration in. Returns whether it replaces the one in force.
    pub fn takes_config(&mut self, version: ConfigVersion) -> bool {
        if self.version.is_some_and(|known| version <= known) {
            return false;
        }
        self.version = Some(version);
        true
    }

    /// Notes that the log has listed the upstreams.
    pub fn note_listing(&mut self) {
        self.is_listed = true;
    }

    /// Takes the upstreams in that a peer read at `read_at`. Returns whether they replace those in use.
    pub fn takes_peer_upstreams(&mut self, read_at: ClockMillis) -> bool {
        if self.is_listed || self.peer_read_at.is_some_and(|known| read_at <= known) {
            return false;
        }
        self.peer_read_at = Some(read_at);
        true
    }

    /// The version in force, `None` before the first.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.version
    }
}
