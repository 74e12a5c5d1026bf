//! Exchange of load sums and crash evidence between collectors, along a tree of routers.
//!
//! A request that was running on an upstream that crashed is suspect, and is refused for some time after further crashes.
//! What is known about all suspects is exchanged, so that crashes add up that different routers have seen.
//!
//! Messages also carry the class offset of the sender, so that a router whose classes are behind reads the class log
//! immediately.

use std::sync::Arc;
use std::time::Duration;

use fescuetide_base::ClockMillis;
use fescuetide_base::PoolName;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_members::VmEntry;
use fescuetide_net::connect_control;
use fescuetide_net::rpc_context;
use fescuetide_summary::CollectorSettings;
use fescuetide_summary::PoolSum;
use fescuetide_summary::SummaryTree;
use fescuetide_wire::rpc::EvidenceWire;
use fescuetide_wire::rpc::ExchangeReply;
use fescuetide_wire::rpc::ExchangeWire;
use fescuetide_wire::rpc::RouterControlClient;
use fescuetide_wire::rpc::SumWire;
use indexmap::IndexMap;
use tarpc::client;
use tokio::time::MissedTickBehavior;

use crate::RouterShared;
use crate::control_state::ControlState;
use crate::control_state::SharedState;
use crate::control_state::sums_to_wire;

/// Time for which a router that did not answer is left out of the tree.
const PARENT_RETRY_DELAY: SpanMillis = SpanMillis::new(5_000);

/// Returns the collector settings. Sums of other collectors expire after two and a half exchange intervals.
pub(crate) fn collector_settings(shared: &RouterShared) -> CollectorSettings {
    CollectorSettings {
        sum_retention: SpanMillis::new(shared.settings.exchange_interval_ms * 5 / 2),
        ..CollectorSettings::default()
    }
}

/// Sends the sums of this collector and its subtree to its parent at every exchange interval.
pub(crate) async fn exchange_loop(state: SharedState) {
    let shared = Arc::clone(&state.borrow().shared);
    let interval = shared.settings.exchange_interval_ms;
    let mut ticks = tokio::time::interval(Duration::from_millis(interval));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut connection: Option<ParentConnection> = None;
    let mut down: IndexMap<VmName, ClockMillis> = IndexMap::new();
    loop {
        ticks.tick().await;
        let now = ClockMillis::now();
        state.borrow_mut().collector.expire(now);
        down.retain(|_, since| now.since(*since) < PARENT_RETRY_DELAY);
        // A parent that refuses connections is replaced immediately, an unresponsive one after the exchange interval.
        loop {
            let parent = find_parent(&state.borrow(), &down);
            let Some(parent) = parent else {
                break;
            };
            let message = build_exchange(&state.borrow());
            let name = parent.name.clone();
            let timeout = SpanMillis::new(interval);
            match send_sums(&shared, &mut connection, parent, message, timeout).await {
                Some(reply) => {
                    apply_reply(&mut state.borrow_mut(), reply);
                    break;
                }
                None => {
                    shared.metrics.count("exchange.failed");
                    down.insert(name, ClockMillis::now());
                }
            }
        }
    }
}

struct ParentConnection {
    entry: VmEntry,
    client: RouterControlClient,
}

/// Returns the parent of this collector in the tree, or `None` if it is the root.
fn find_parent(state: &ControlState, down: &IndexMap<VmName, ClockMillis>) -> Option<VmEntry> {
    let own_name = &state.shared.settings.vm;
    let peers = state.list_peers();
    let names = peers.iter().map(|entry| entry.name.clone());
    let tree = SummaryTree::new(names.chain([own_name.clone()]));
    let parent = tree.parent(own_name, |name| down.contains_key(name))?;
    peers.iter().find(|entry| entry.name == *parent).cloned()
}

/// Sends sums to the parent collector, reusing `connection` while it works.
async fn send_sums(
    shared: &RouterShared,
    connection: &mut Option<ParentConnection>,
    parent: VmEntry,
    message: ExchangeWire,
    timeout: SpanMillis,
) -> Option<ExchangeReply> {
    let kept = connection
        .take()
        .filter(|connection| connection.entry == parent);
    let current = match kept {
        Some(kept) => kept,
        None => {
            let transport = connect_control(parent.control_address, shared.meter.clone()).await;
            ParentConnection {
                entry: parent,
                client: RouterControlClient::new(client::Config::default(), transport.ok()?)
                    .spawn(),
            }
        }
    };
    let reply = current.client.exchange(rpc_context(timeout), message).await;
    let reply = reply.ok()?;
    *connection = Some(current);
    Some(reply)
}

fn apply_reply(state: &mut ControlState, reply: ExchangeReply) {
    let now = ClockMillis::now();
    state.collector.note_total(sums_from_wire(reply.total), now);
    merge_evidence(state, reply.suspects, now);
    state.classes.observe_peer_offset(reply.class_offset);
}

/// Handles an exchange from a child collector and returns the pool totals.
pub(crate) fn handle_exchange(state: &mut ControlState, sums: ExchangeWire) -> ExchangeReply {
    let now = ClockMillis::now();
    let received = sums_from_wire(sums.sums);
    state.collector.note_child(sums.collector, received, now);
    merge_evidence(state, sums.suspects, now);
    state.classes.observe_peer_offset(sums.class_offset);
    ExchangeReply {
        total: sums_to_wire(&state.collector.total_sums()),
        suspects: list_evidence(state),
        class_offset: state.classes.next_offset().get(),
    }
}

fn merge_evidence(state: &ControlState, suspects: Vec<EvidenceWire>, now: ClockMillis) {
    let mut tables = state.shared.lock_tables();
    for evidence in suspects {
        tables.suspects().merge(evidence.into(), now);
    }
}

fn sums_from_wire(list: Vec<(PoolName, SumWire)>) -> IndexMap<PoolName, PoolSum> {
    let sums = list.into_iter();
    sums.map(|(pool, sum)| (pool, PoolSum::from(sum))).collect()
}

fn build_exchange(state: &ControlState) -> ExchangeWire {
    ExchangeWire {
        collector: state.shared.settings.vm.clone(),
        sums: sums_to_wire(&state.collector.subtree_sums()),
        suspects: list_evidence(state),
        class_offset: state.classes.next_offset().get(),
    }
}

fn list_evidence(state: &ControlState) -> Vec<EvidenceWire> {
    let now = ClockMillis::now();
    let evidence = state.shared.lock_tables().suspects().list_evidence(now);
    evidence.into_iter().map(EvidenceWire::from).collect()
}
