//! Routing of claims to their registrars.
//!
//! A claim is a log record that binds an idempotency key to the one side process that may run its request, the target.
//! The registrar of a key is the router that appends the claims of the key's partition. A claim names the router that
//! made it. It may supersede an earlier claim on the key; the target of the key is then the target of the new claim.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Mutex;
use std::sync::PoisonError;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_claims::ClaimEntry;
use fescuetide_claims::ClaimPartition;
use fescuetide_claims::rank_registrars;
use fescuetide_members::VmEntry;
use fescuetide_net::ControlMeter;
use fescuetide_net::connect_control;
use fescuetide_net::rpc_context;
use fescuetide_wire::claim::ClaimReply;
use fescuetide_wire::claim::ClaimWire;
use fescuetide_wire::rpc::RouterControlClient;
use indexmap::IndexMap;
use tarpc::client;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time;

use crate::RouterShared;
use crate::claim_job::ClaimJob;
use crate::claim_job::unavailable;

/// Maximum wait for a registrar. A claim normally takes three log calls, each with a timeout of 3 s. A claim whose
/// append is repeated takes more calls and may exceed the wait.
const REGISTRAR_TIMEOUT_MS: u64 = 10_000;

/// Time for which a registrar that did not answer is skipped.
const REGISTRAR_BACKOFF_MS: u64 = 3_000;

/// Maximum delay caused by other work on the control thread.
const CONTROL_DELAY_MS: u64 = 1_000;

/// A claim for another router's registrar, sent by the control thread.
#[derive(Debug)]
pub(crate) struct RemoteClaim {
    vm: VmEntry,
    claim: ClaimWire,
    within: SpanMillis,
    reply: oneshot::Sender<Option<ClaimReply>>,
}

/// Sends claims to their registrars.
#[derive(Debug)]
pub(crate) struct ClaimClient {
    remote: UnboundedSender<RemoteClaim>,
    backoffs: Mutex<IndexMap<VmName, ClockMillis>>,
}

impl ClaimClient {
    /// Creates the client and the queue that the control thread serves.
    pub(crate) fn channel() -> (Self, UnboundedReceiver<RemoteClaim>) {
        let (remote, receiver) = tokio::sync::mpsc::unbounded_channel();
        let client = Self {
            remote,
            backoffs: Mutex::default(),
        };
        (client, receiver)
    }

    /// Registers `claim` and waits for the reply until `due`. Registrars are tried in order of preference, each for at
    /// most half of the remaining time, up to this router. Its own registrar then replies, and those ranked after it
    /// are not tried.
    pub(crate) async fn claim(
        &self,
        shared: &RouterShared,
        claim: &ClaimEntry,
        due: ClockMillis,
    ) -> ClaimReply {
        let mut skipped_preferred = false;
        for vm in list_registrars(shared, claim) {
            let now = ClockMillis::now();
            if now >= due {
                return unavailable(false);
            }
            if vm.name == shared.settings.vm {
                break;
            }
            if self.is_in_backoff(&vm.name, now) {
                skipped_preferred = true;
                continue;
            }
            let half = due.since(now).as_millis().div_ceil(2);
            let within = SpanMillis::new(half.min(REGISTRAR_TIMEOUT_MS));
            if let Some(reply) = self.query_registrar(&vm, claim, within).await {
                return downgrade_unavailable(reply, skipped_preferred);
            }
            skipped_preferred = true;
            shared.metrics.count("registrar.failed");
            self.start_backoff(vm.name, ClockMillis::now());
        }
        downgrade_unavailable(claim_locally(shared, claim, due).await, skipped_preferred)
    }

    async fn query_registrar(
        &self,
        vm: &VmEntry,
        claim: &ClaimEntry,
        within: SpanMillis,
    ) -> Option<ClaimReply> {
        let (reply, receiver) = oneshot::channel();
        let remote = RemoteClaim {
            vm: vm.clone(),
            claim: ClaimWire::from(claim.clone()),
            within,
            reply,
        };
        self.remote.send(remote).ok()?;
        // The control thread replies once `within` has elapsed at the latest.
        let limit = SpanMillis::new(within.as_millis() + CONTROL_DELAY_MS);
        let answer = time::timeout(limit.into(), receiver).await;
        answer.ok()?.ok()?
    }

    fn is_in_backoff(&self, vm: &VmName, now: ClockMillis) -> bool {
        let backoffs = self.backoffs.lock().unwrap_or_else(PoisonError::into_inner);
        backoffs.get(vm).is_some_and(|until| now < *until)
    }

    fn start_backoff(&self, vm: VmName, now: ClockMillis) {
        let mut backoffs = self.backoffs.lock().unwrap_or_else(PoisonError::into_inner);
        backoffs.retain(|_, until| now < *until);
        backoffs.insert(vm, now + SpanMillis::new(REGISTRAR_BACKOFF_MS));
    }
}

/// Sets `is_free` to `false` in an `Unavailable` reply if a preferred registrar was skipped: that registrar may have
/// appended a claim that the replying one has not read, so the key must not be reported as free.
fn downgrade_unavailable(reply: ClaimReply, skipped_preferred: bool) -> ClaimReply {
    match reply {
        ClaimReply::Unavailable { .. } if skipped_preferred => unavailable(false),
        other => other,
    }
}

/// Returns the live routers of the region, ordered by registrar preference.
fn list_registrars(shared: &RouterShared, claim: &ClaimEntry) -> Vec<VmEntry> {
    let view = shared.view.load();
    let mut names = Vec::new();
    for entry in view.vms.live_routers() {
        if entry.region == shared.settings.region {
            names.push(entry.name.clone());
        }
    }
    rank_registrars(ClaimPartition::of(&claim.key), &mut names);
    let mut list = Vec::with_capacity(names.len());
    for name in &names {
        list.extend(view.vms.get(name).cloned());
    }
    list
}

async fn claim_locally(shared: &RouterShared, claim: &ClaimEntry, due: ClockMillis) -> ClaimReply {
    let (sender, receiver) = oneshot::channel();
    shared.registrar.submit(ClaimJob {
        claim: claim.clone(),
        due,
        reply: Box::new(move |reply| {
            // The caller may have given up.
            let _ = sender.send(reply);
        }),
    });
    let left = due.since(ClockMillis::now());
    match time::timeout(left.into(), receiver).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(_)) | Err(_) => shared.registrar.answer_without_log(claim),
    }
}

type ConnectionTable = Rc<RefCell<IndexMap<VmName, (VmEntry, RouterControlClient)>>>;

/// Sends queued claims to other routers. Runs on the control thread.
pub(crate) async fn send_claims(mut receiver: UnboundedReceiver<RemoteClaim>) {
    let connections = ConnectionTable::default();
    while let Some(remote) = receiver.recv().await {
        let connections = Rc::clone(&connections);
        // Claims are part of serving requests and do not count as control traffic.
        let meter = ControlMeter::default();
        tokio::task::spawn_local(async move {
            let sent = send_claim(&connections, meter, &remote);
            let answer = time::timeout(remote.within.into(), sent).await;
            let reply = answer.ok().flatten();
            if reply.is_none() {
                connections.borrow_mut().swap_remove(&remote.vm.name);
            }
            // The caller waits until a reply is sent or the sender is dropped. Sending fails only if it has given up.
            let _ = remote.reply.send(reply);
        });
    }
}

async fn send_claim(
    connections: &ConnectionTable,
    meter: ControlMeter,
    remote: &RemoteClaim,
) -> Option<ClaimReply> {
    let vm = &remote.vm;
    let known = connections.borrow().get(&vm.name).cloned();
    let client = match known {
        Some((entry, client)) if entry == *vm => client,
        Some(_) | None => {
            let transport = connect_control(vm.control, meter).await.ok()?;
            let client = RouterControlClient::new(client::Config::default(), transport).spawn();
            let entry = (vm.clone(), client.clone());
            connections.borrow_mut().insert(vm.name.clone(), entry);
            client
        }
    };
    let context = rpc_context(remote.within);
    let reply = client.claim(context, remote.claim.clone(), remote.within);
    reply.await.ok()
}
