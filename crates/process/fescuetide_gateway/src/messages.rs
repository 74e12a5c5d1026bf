//! Messages between the control threads and the traffic thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use fescuetide_fleet::FleetConfig;
use fescuetide_fleet::FleetSnapshot;
use fescuetide_fleet::FleetUpdate;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_flow::GatewayList;
use fescuetide_flow::OriginLogEvent;
use fescuetide_limits::CrashEvidence;
use indexmap::IndexMap;

use crate::codec::HttpCodec;
use crate::traffic::TrafficLoop;

/// A message from a control thread to the event loop.
#[derive(Clone, Debug)]
pub(crate) enum LoopMessage {
    /// A change of the fleet or of the availability of the log.
    Fleet(FleetUpdate),
    /// What a peer knows about requests that crash upstreams.
    PeerEvidence(Vec<CrashEvidence>),
    /// The log has come back from an older copy, so crash reports may be lost. Those that it still has follow.
    CrashReportsLost,
    /// The peers that could be found were asked for their evidence, whether or not they answered.
    PeersAsked,
    /// What is new in the crash reports in the log; empty if they cannot be read.
    CrashReports(Vec<CrashEvidence>),
    /// The addresses of the other gateways.
    Peers(Vec<SocketAddr>),
    /// What the log has about the origins of streams, or what was written there.
    OriginLog(OriginLogEvent),
}

impl<C: HttpCodec> TrafficLoop<C> {
    /// Handles all pending messages from control threads.
    pub(crate) fn handle_messages(&mut self) {
        while let Ok(message) = self.messages.try_recv() {
            match message {
                LoopMessage::Fleet(FleetUpdate::Config(config)) => {
                    self.tell_config(config.version);
                    self.apply_config(config);
                }
                LoopMessage::Fleet(FleetUpdate::Upstreams(entries)) => {
                    // Lists of upstreams from peers are ignored from now on.
                    self.update_filter.note_listing();
                    let entries = self.start_filter.note_listing(&entries, self.now);
                    self.log_held_upstreams();
                    self.set_upstreams(&entries);
                }
                LoopMessage::Fleet(FleetUpdate::Peer(snapshot)) => self.apply_snapshot(snapshot),
                LoopMessage::Fleet(FleetUpdate::LogUnavailable(is_unavailable)) => {
                    self.is_log_unavailable = is_unavailable
                }
                LoopMessage::PeerEvidence(evidence) => {
                    self.scheduler.merge_crash_evidence(evidence, self.now)
                }
                LoopMessage::CrashReportsLost => {
                    self.report_backlog.forget_logged();
                    self.scheduler.note_log_restored(self.now);
                }
                LoopMessage::PeersAsked => self.were_peers_asked = true,
                LoopMessage::CrashReports(evidence) => {
                    self.has_crash_reports = true;
                    for report in &evidence {
                        self.report_backlog.note_logged(report);
                    }
                    self.scheduler.merge_crash_evidence(evidence, self.now);
                }
                LoopMessage::Peers(peers) => self.set_peers(peers),
                LoopMessage::OriginLog(event) => self.handle_origin_log(event),
            }
            self.run_actions();
        }
    }

    fn set_peers(&mut self, peers: Vec<SocketAddr>) {
        let gateways = peers.len() + 1;
        if let Some(exchange) = &mut self.datagrams {
            exchange.set_peers(peers);
            let gateways = GatewayList::new(exchange.own(), exchange.peers());
            self.config_view.lock().set_watcher(gateways.is_first());
            self.origin_exchange.set_gateways(gateways);
            let (own, others) = exchange.gateway_ids();
            self.scheduler.set_gateways(own, others);
        }
        if gateways == self.gateway_count {
            return;
        }
        self.gateway_count = gateways;
        self.scheduler.set_gateway_count(gateways);
        let burst = self.scheduler.own_budget().burst;
        tracing::info!(gateways, burst, "number of gateways changed");
    }

    fn apply_config(&mut self, config: Arc<FleetConfig>) {
        if !self.update_filter.accepts_config(config.version) {
            return;
        }
        let version = config.version.get();
        let counter = &self.counters.config_version;
        counter.store(version, Ordering::Relaxed);
        tracing::info!(
            version,
            routes = config.routes.route_count(),
            keys = config.keys.len(),
            "configuration in force"
        );
        self.config = Some(config);
    }

    fn apply_snapshot(&mut self, snapshot: FleetSnapshot) {
        // The peer has also sent its crash evidence.
        self.has_crash_reports = true;
        if let Some(config) = snapshot.config {
            self.apply_config(config);
        }
        if let Some(entries) = self.start_filter.note_peer(&snapshot.upstreams, self.now) {
            self.log_held_upstreams();
            self.set_upstreams(&entries);
        }
        let is_empty = snapshot.upstreams.is_empty();
        if !is_empty && self.update_filter.accepts_peer_upstreams(snapshot.read_at) {
            self.set_upstreams(&snapshot.upstreams);
        }
    }

    fn log_held_upstreams(&self) {
        let upstreams = self.start_filter.held_count();
        if upstreams > 0 {
            tracing::info!(
                upstreams,
                "held back upstreams that a peer does not know as ready"
            );
        }
    }

    /// Uses upstreams that were held back after the start, once the time for that is over.
    pub(crate) fn release_held_upstreams(&mut self) {
        if let Some(entries) = self.start_filter.finish(self.now) {
            self.set_upstreams(&entries);
        }
    }

    fn set_upstreams(&mut self, entries: &[UpstreamEntry]) {
        self.scheduler.set_upstreams(entries, self.now);
        let mut table = IndexMap::with_capacity(entries.len());
        for entry in entries {
            table.insert(entry.name.clone(), entry.clone());
        }
        let before = self.upstreams.replace(table).unwrap_or_default();
        for (name, old) in before {
            let current = self.upstreams.as_ref().and_then(|table| table.get(&name));
            let is_same = current.is_some_and(|entry| {
                entry.incarnation == old.incarnation && entry.address == old.address
            });
            if is_same {
                continue;
            }
            for token in self.idle.remove_all(&name) {
                self.remove(token);
            }
        }
    }
}
