//! Copies the class table from peers while the log cannot provide it.

use std::time::Duration;

use fescuetide_base::SpanMillis;
use fescuetide_classes::ClassSnapshot;
use fescuetide_members::VmEntry;
use fescuetide_net::connect_control;
use fescuetide_net::rpc_context;
use fescuetide_wire::rpc::RouterControlClient;
use tarpc::client;
use tokio::time::MissedTickBehavior;

use crate::control_state::SharedState;

/// Interval between rounds of queries.
const QUERY_INTERVAL_MS: u64 = 1_000;

/// Timeout of a query to one peer.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Maximum number of peers queried per round. Each round continues after the last peer of the previous one.
const ROUND_LIMIT: usize = 3;

/// Queries peers at the interval while the class table is needed from them, and adopts the newest one found.
pub(crate) async fn peer_table_loop(state: SharedState) {
    let mut ticks = tokio::time::interval(Duration::from_millis(QUERY_INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut start = 0;
    loop {
        ticks.tick().await;
        if !state.borrow().classes.needs_peer_table() {
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
            if let Some(snapshot) = query_peer(&state, peer, above).await {
                newest = Some(snapshot);
            }
        }
        start = (start + ROUND_LIMIT) % peers.len();
        let Some(snapshot) = newest else {
            continue;
        };
        let mut state = state.borrow_mut();
        let state = &mut *state;
        if state.classes.adopt_peer_snapshot(&state.shared, snapshot) {
            state.publish();
        }
    }
}

/// Returns the class table of `peer` if its offset is above `above`. Returns `None` also if the call fails.
async fn query_peer(state: &SharedState, peer: &VmEntry, above: u64) -> Option<ClassSnapshot> {
    let meter = state.borrow().shared.meter.clone();
    let transport = connect_control(peer.control, meter).await.ok()?;
    let connection = RouterControlClient::new(client::Config::default(), transport).spawn();
    let context = rpc_context(SpanMillis::new(CALL_TIMEOUT_MS));
    let snapshot = connection.snapshot(context, above).await.ok()??;
    (snapshot.next_offset.get() > above).then_some(snapshot)
}
