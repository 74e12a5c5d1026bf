//! State that is shared with other gateways.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_fleet::FleetConfig;
use fescuetide_fleet::FleetSnapshot;
use fescuetide_fleet::FleetUpdate;
use fescuetide_fleet::PeerNews;
use fescuetide_fleet::PeerTable;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_limits::CrashEvidence;

#[derive(Debug, Default)]
struct PeerStateInner {
    fleet: FleetSnapshot,
    has_log_config: bool,
    has_log_upstreams: bool,
    is_log_unavailable: bool,
    evidence: Vec<CrashEvidence>,
    evidence_at: ClockMillis,
    peers: PeerTable,
    /// The live peers that the event loop was told last.
    published_peers: Option<Vec<SocketAddr>>,
}

/// What this gateway reports to peers and has learned from them. Shared between the control threads.
#[derive(Debug, Default)]
pub(crate) struct PeerState {
    state: Mutex<PeerStateInner>,
}

impl PeerState {
    pub(crate) fn new(peers: PeerTable) -> Self {
        Self {
            state: Mutex::new(PeerStateInner {
                peers,
                ..PeerStateInner::default()
            }),
        }
    }

    /// Records an update that a control thread publishes.
    pub(crate) fn record_update(&self, update: &FleetUpdate, now: ClockMillis) {
        let mut state = self.lock();
        match update {
            FleetUpdate::Config(config) => {
                state.has_log_config = true;
                state.store_config(config);
            }
            FleetUpdate::Upstreams(entries) => {
                state.has_log_upstreams = true;
                state.store_upstreams(entries, now);
            }
            FleetUpdate::Peer(snapshot) => {
                if let Some(config) = &snapshot.config {
                    state.store_config(config);
                }
                if !state.has_log_upstreams && snapshot.read_at > state.fleet.read_at {
                    state.store_upstreams(&snapshot.upstreams, snapshot.read_at);
                }
            }
            FleetUpdate::LogUnavailable(is_unavailable) => {
                state.is_log_unavailable = *is_unavailable;
            }
        }
    }

    /// Whether the fleet is still requested from peers: a configuration or the list of upstreams has not yet been read
    /// from the log.
    pub(crate) fn wants_fleet(&self) -> bool {
        let state = self.lock();
        !(state.has_log_config && state.has_log_upstreams)
    }

    /// Whether the last calls to the log failed.
    pub(crate) fn is_log_unavailable(&self) -> bool {
        self.lock().is_log_unavailable
    }

    /// Whether a configuration is known, from the log or from a peer.
    pub(crate) fn has_config(&self) -> bool {
        self.lock().fleet.config.is_some()
    }

    pub(crate) fn fleet(&self) -> FleetSnapshot {
        self.lock().fleet.clone()
    }

    /// Records what is known about requests that crash upstreams.
    pub(crate) fn record_evidence(&self, evidence: Vec<CrashEvidence>, now: ClockMillis) {
        let mut state = self.lock();
        state.evidence = evidence;
        state.evidence_at = now;
    }

    /// What is known about requests that crash upstreams, without what has expired.
    pub(crate) fn evidence(&self, now: ClockMillis) -> Vec<CrashEvidence> {
        let state = self.lock();
        let age = now.since(state.evidence_at).as_millis();
        let mut list = Vec::with_capacity(state.evidence.len());
        for evidence in &state.evidence {
            let left = evidence.left.as_millis().saturating_sub(age);
            if left > 0 {
                list.push(CrashEvidence {
                    left: SpanMillis::new(left),
                    ..*evidence
                });
            }
        }
        list
    }

    /// Records a peer that sent a query or a reply, and the peers that it reports.
    pub(crate) fn record_peer(&self, peer: SocketAddr, known: &[PeerNews], now: ClockMillis) {
        let mut state = self.lock();
        state.peers.record_contact(peer, now);
        for news in known {
            state.peers.merge(*news, now);
        }
    }

    /// Records a sign of life of a peer that is known.
    pub(crate) fn refresh_peer(&self, peer: SocketAddr, now: ClockMillis) {
        self.lock().peers.refresh(peer, now);
    }

    /// What to tell other gateways about peers.
    pub(crate) fn peer_news(&self, now: ClockMillis) -> Vec<PeerNews> {
        self.lock().peers.news(now)
    }

    /// Whether another gateway is known to live, by more than the settings.
    pub(crate) fn has_contact(&self, now: ClockMillis) -> bool {
        self.lock().peers.has_contact(now)
    }

    /// The live peers, if they are others than when this was last called.
    pub(crate) fn take_changed_peers(&self, now: ClockMillis) -> Option<Vec<SocketAddr>> {
        let mut state = self.lock();
        let peers = state.peers.list_recent(now);
        if state.published_peers.as_ref() == Some(&peers) {
            return None;
        }
        state.published_peers = Some(peers.clone());
        Some(peers)
    }

    pub(crate) fn next_peer(&self, now: ClockMillis) -> Option<SocketAddr> {
        self.lock().peers.next_peer(now)
    }

    /// The peers that count as live.
    pub(crate) fn live_peers(&self, now: ClockMillis) -> Vec<SocketAddr> {
        self.lock().peers.list_recent(now)
    }

    /// All known peers, including those that only other peers reported.
    pub(crate) fn all_peers(&self) -> Vec<SocketAddr> {
        self.lock().peers.iter().collect()
    }

    fn lock(&self) -> MutexGuard<'_, PeerStateInner> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PeerStateInner {
    fn store_config(&mut self, config: &Arc<FleetConfig>) {
        let known = self.fleet.config.as_ref().map(|known| known.version);
        if known.is_none_or(|known| config.version > known) {
            self.fleet.config = Some(Arc::clone(config));
        }
    }

    fn store_upstreams(&mut self, entries: &Arc<Vec<UpstreamEntry>>, read_at: ClockMillis) {
        self.fleet.upstreams = Arc::clone(entries);
        self.fleet.read_at = read_at;
    }
}
