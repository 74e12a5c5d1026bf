//! State that is exchanged with other gateways.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_fleet::FleetConfig;
use fescuetide_fleet::FleetSnapshot;
use fescuetide_fleet::FleetView;
use fescuetide_fleet::PeerTable;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_limits::CrashFingerprint;

/// Requests that crash upstreams, each with the time for which it is still refused.
pub(crate) type RefusedList = Vec<(CrashFingerprint, SpanMillis)>;

#[derive(Debug, Default)]
struct PeerStateInner {
    fleet: FleetSnapshot,
    has_log_config: bool,
    has_log_upstreams: bool,
    refused: RefusedList,
    refused_at: ClockMillis,
    peers: PeerTable,
}

/// State for the exchange with peers, shared between the control threads.
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

    /// Records a change that a control thread publishes.
    pub(crate) fn record_view(&self, view: &FleetView, now: ClockMillis) {
        let mut state = self.lock();
        match view {
            FleetView::Config(config) => {
                state.has_log_config = true;
                state.store_config(config);
            }
            FleetView::Upstreams(entries) => {
                state.has_log_upstreams = true;
                state.store_upstreams(entries, now);
            }
            FleetView::Peer(snapshot) => {
                if let Some(config) = &snapshot.config {
                    state.store_config(config);
                }
                if !state.has_log_upstreams && snapshot.read_at > state.fleet.read_at {
                    state.store_upstreams(&snapshot.upstreams, snapshot.read_at);
                }
            }
            FleetView::LogAway(_) => {}
        }
    }

    /// Whether the log has not yet delivered both a configuration and the upstreams.
    pub(crate) fn wants_fleet(&self) -> bool {
        let state = self.lock();
        !(state.has_log_config && state.has_log_upstreams)
    }

    /// Whether a configuration is known, from the log or from a peer.
    pub(crate) fn has_config(&self) -> bool {
        self.lock().fleet.config.is_some()
    }

    pub(crate) fn fleet(&self) -> FleetSnapshot {
        self.lock().fleet.clone()
    }

    /// Records the requests that this gateway refuses.
    pub(crate) fn record_refused(&self, refused: RefusedList, now: ClockMillis) {
        let mut state = self.lock();
        state.refused = refused;
        state.refused_at = now;
    }

    /// The requests that this gateway refuses, with the time left for each.
    pub(crate) fn refused(&self, now: ClockMillis) -> RefusedList {
        let state = self.lock();
        let age = now.since(state.refused_at).as_millis();
        let mut list = Vec::with_capacity(state.refused.len());
        for (fingerprint, left) in &state.refused {
            let left = left.as_millis().saturating_sub(age);
            if left > 0 {
                list.push((*fingerprint, SpanMillis::new(left)));
            }
        }
        list
    }

    /// Records a peer that queried or replied, and the peers that it knows.
    pub(crate) fn record_peer(&self, peer: SocketAddr, known: &[SocketAddr], now: ClockMillis) {
        let mut state = self.lock();
        state.peers.note_heard(peer, now);
        for address in known {
            state.peers.note_known(*address, now);
        }
    }

    pub(crate) fn next_peer(&self, now: ClockMillis) -> Option<SocketAddr> {
        self.lock().peers.next_peer(now)
    }

    pub(crate) fn live_peers(&self, now: ClockMillis) -> Vec<SocketAddr> {
        self.lock().peers.list_heard(now)
    }

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
