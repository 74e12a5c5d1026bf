//! Takes the class table from peers while the log cannot provide it.

use std::time::Duration;

use fescuetide_base::SpanMillis;
use fescuetide_classes::ClassSnapshot;
use fescuetide_members::VmEntry;
use fescuetide_net::connect_control;
use fescuetide_net::rpc_deadline;
use fescuetide_wire::rpc::RouterControlClient;
use tarpc::client;
use tokio::time::MissedTickBehavior;

use crate::control_state::SharedState;

/// How often peers are asked.
const ASK_INTERVAL_MS: u64 = 1_000;

/// Longest time of a call.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Most peers asked in one round. Each round starts at another peer.
const ROUND_LIMIT: usize = 3;

/// Asks peers at the interval while the class table is wanted from them.
pub(crate) async fn peer_table_loop(state: SharedState) {
    let mut ticks = tokio::time::interval(Duration::from_millis(ASK_INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut start = 0;
    loop {
        ticks.tick().await;
        if !state.borrow().classes.wants_peer_table() {
            continue;
        }
        let peers = state.borrow().list_peers();
        if peers.is_empty() {
            continue;
        }
        let mut newest: Option<ClassSnapshot> = None;
        for step in 0..peers.len().min(ROUND_LIMIT) {
            let peer = &peers[(start + step) % peers.len()];
            let above = match &newest {
                Some(newest) => newest.next_offset.get(),
                None => state.borrow().classes.next_offset().get(),
            };
            if let Some(snapshot) = ask_peer(&state, peer, above).await {
                newest = Some(snapshot);
            }
        }
        start = (start + ROUND_LIMIT) % peers.len();
        let Some(snapshot) = newest else {
            continue;
        };
        let mut state = state.borrow_mut();
        let state = &mut *state;
        if state.classes.restore_from_peer(&state.shared, snapshot) {
            state.publish();
        }
    }
}

/// A peer's table, when it answers and its offset is above `above`.
async fn ask_peer(state: &SharedState, peer: &VmEntry, above: u64) -> Option<ClassSnapshot> {
    let meter = state.borrow().shared.meter.clone();
    let transport = connect_control(peer.control, meter).await.ok()?;
    let link = RouterControlClient::new(client::Config::default(), transport).spawn();
    let context = rpc_deadline(SpanMillis::new(CALL_TIMEOUT_MS));
    let snapshot = link.snapshot(context, above).await.ok()??;
    (snapshot.next_offset.get() > above).then_some(snapshot)
}
