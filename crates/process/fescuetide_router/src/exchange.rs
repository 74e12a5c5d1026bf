//! The exchange of load sums and refused requests with other collectors.

use std::sync::Arc;
use std::time::Duration;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_members::VmEntry;
use fescuetide_net::connect_control;
use fescuetide_net::rpc_deadline;
use fescuetide_wire::rpc::ExchangeWire;
use fescuetide_wire::rpc::RefusedWire;
use fescuetide_wire::rpc::RouterControlClient;
use indexmap::IndexMap;
use tarpc::client;
use tokio::time::MissedTickBehavior;

use crate::control::ControlState;
use crate::control::SharedState;
use crate::control::list_sums;

/// Longest time of an exchange with another collector.
const EXCHANGE_TIMEOUT_MS: u64 = 1_000;

/// Sends this collector's sums to all other routers of its region at the interval.
pub(crate) async fn exchange_loop(state: SharedState) {
    let shared = Arc::clone(&state.borrow().shared);
    let interval = Duration::from_millis(shared.settings.exchange_interval_ms);
    let mut ticks = tokio::time::interval(interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut links: IndexMap<VmName, PeerLink> = IndexMap::new();
    loop {
        ticks.tick().await;
        let (peers, message) = {
            let mut state = state.borrow_mut();
            state.collector.expire(ClockMillis::now());
            (list_peers(&state), own_message(&state))
        };
        links.retain(|_, link| peers.contains(&link.entry));
        if message.sums.is_empty() && message.refused.is_empty() {
            continue;
        }
        for peer in peers {
            let link = match links.get(&peer.name) {
                Some(link) => link,
                None => {
                    let Ok(transport) = connect_control(peer.control, shared.meter.clone()).await
                    else {
                        continue;
                    };
                    let client =
                        RouterControlClient::new(client::Config::default(), transport).spawn();
                    let link = PeerLink {
                        entry: peer.clone(),
                        client,
                    };
                    links.entry(peer.name.clone()).or_insert(link)
                }
            };
            let context = rpc_deadline(SpanMillis::new(EXCHANGE_TIMEOUT_MS));
            match link.client.exchange(context, message.clone()).await {
                Ok(offset) => state.borrow_mut().classes.note_peer_offset(offset),
                Err(_) => {
                    shared.metrics.count("exchange.failed");
                    links.swap_remove(&peer.name);
                }
            }
        }
    }
}

struct PeerLink {
    entry: VmEntry,
    client: RouterControlClient,
}

/// The other live routers of the region.
pub(crate) fn list_peers(state: &ControlState) -> Vec<VmEntry> {
    let settings = &state.shared.settings;
    let mut peers = Vec::new();
    for entry in state.vms.live_routers() {
        if entry.name == settings.vm || entry.region != settings.region {
            continue;
        }
        peers.push(entry.clone());
    }
    peers
}

fn own_message(state: &ControlState) -> ExchangeWire {
    ExchangeWire {
        collector: state.shared.settings.vm.clone(),
        sums: list_sums(&state.collector.own_sums()),
        refused: list_refused(state),
        class_offset: state.classes.next_offset().get(),
    }
}

fn list_refused(state: &ControlState) -> Vec<RefusedWire> {
    let refused = state
        .shared
        .lock_suspects()
        .list_refused(ClockMillis::now());
    refused.into_iter().map(RefusedWire::from).collect()
}
