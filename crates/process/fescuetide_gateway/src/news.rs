//! What control threads tell the traffic thread, and what it tells them.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use fescuetide_fleet::FleetConfig;
use fescuetide_fleet::FleetSnapshot;
use fescuetide_fleet::FleetView;
use fescuetide_fleet::UpstreamEntry;
use indexmap::IndexMap;

use crate::dialect::EdgeDialect;
use crate::peer_shelf::RefusedList;
use crate::traffic::TrafficLoop;

/// What control threads tell the loop.
#[derive(Clone, Debug)]
pub(crate) enum LoopNews {
    /// A change of the fleet.
    Fleet(FleetView),
    /// Requests that other gateways refuse, since they crash upstreams.
    Refused(RefusedList),
    /// How many gateways there are, this one included.
    GatewayCount(usize),
}

impl<D: EdgeDialect> TrafficLoop<D> {
    /// Takes over what the control threads sent.
    pub(crate) fn take_news(&mut self) {
        while let Ok(news) = self.news.try_recv() {
            match news {
                LoopNews::Fleet(FleetView::Config(config)) => self.take_config(config),
                LoopNews::Fleet(FleetView::Upstreams(entries)) => {
                    self.ledger.note_listing();
                    self.set_upstreams(&entries);
                }
                LoopNews::Fleet(FleetView::Peer(snapshot)) => self.take_snapshot(snapshot),
                LoopNews::Fleet(FleetView::LogAway(is_away)) => self.is_log_away = is_away,
                LoopNews::Refused(refused) => self.core.learn_refused(refused, self.now),
                LoopNews::GatewayCount(count) => self.core.set_router_count(count),
            }
            self.perform();
        }
    }

    fn take_config(&mut self, config: Arc<FleetConfig>) {
        if !self.ledger.takes_config(config.version) {
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

    fn take_snapshot(&mut self, snapshot: FleetSnapshot) {
        if let Some(config) = snapshot.config {
            self.take_config(config);
        }
        let is_empty = snapshot.upstreams.is_empty();
        if !is_empty && self.ledger.takes_peer_upstreams(snapshot.read_at) {
            self.set_upstreams(&snapshot.upstreams);
        }
    }

    /// Tells peers which requests crash upstreams, when there are new ones.
    pub(crate) fn tell_refused(&mut self) {
        let Some(list) = self.core.take_new_refusals(self.now) else {
            return;
        };
        let Some(sender) = &self.refused else {
            return;
        };
        if sender.send(list).is_err() {
            tracing::error!("peers cannot be told which requests crash upstreams");
        }
    }

    fn set_upstreams(&mut self, entries: &[UpstreamEntry]) {
        self.core.set_upstreams(entries, self.now);
        let mut table = IndexMap::with_capacity(entries.len());
        for entry in entries {
            table.insert(entry.name.clone(), entry.clone());
        }
        let before = self.upstreams.replace(table).unwrap_or_default();
        for (name, old) in before {
            let table = self.upstreams.as_ref().and_then(|table| table.get(&name));
            let is_same = table.is_some_and(|entry| {
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
