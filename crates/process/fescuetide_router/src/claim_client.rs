//! The way of a claim to its registrar.

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

/// Longest wait for a registrar: somewhat more than three calls of the log with their timeouts of 3 s.
const REGISTRAR_TIMEOUT_MS: u64 = 10_000;

/// How long a registrar that did not answer is passed over.
const AVOID_MS: u64 = 3_000;

/// Longest time that the control thread may be busy with other work.
const CONTROL_DELAY_MS: u64 = 1_000;

/// A claim for another router, sent by its control thread.
#[derive(Debug)]
pub(crate) struct RemoteClaim {
    vm: VmEntry,
    claim: ClaimWire,
    within: SpanMillis,
    reply: oneshot::Sender<Option<ClaimReply>>,
}

/// Brings claims to their registrars.
#[derive(Debug)]
pub(crate) struct ClaimClient {
    remote: UnboundedSender<RemoteClaim>,
    avoided: Mutex<IndexMap<VmName, ClockMillis>>,
}

impl ClaimClient {
    /// Creates the client and the queue that the control thread serves.
    pub(crate) fn channel() -> (Self, UnboundedReceiver<RemoteClaim>) {
        let (remote, receiver) = tokio::sync::mpsc::unbounded_channel();
        let client = Self {
            remote,
            avoided: Mutex::default(),
        };
        (client, receiver)
    }

    /// Has `claim` appended and waits for the answer until `due`. The preferred registrar is asked first; when it does
    /// not answer in half of the time that is left, the next one is, and at last this router itself.
    pub(crate) async fn claim(
        &self,
        shared: &RouterShared,
        claim: &ClaimEntry,
        due: ClockMillis,
    ) -> ClaimReply {
        let mut passed_over = false;
        for vm in list_registrars(shared, claim) {
            let now = ClockMillis::now();
            if now >= due {
                return unavailable(false);
            }
            if vm.name == shared.settings.vm {
                break;
            }
            if self.is_avoided(&vm.name, now) {
                passed_over = true;
                continue;
            }
            let half = due.since(now).as_millis().div_ceil(2);
            let within = SpanMillis::new(half.min(REGISTRAR_TIMEOUT_MS));
            if let Some(reply) = self.ask(&vm, claim, within).await {
                return doubt(reply, passed_over);
            }
            passed_over = true;
            shared.metrics.count("registrar.failed");
            self.avoid(vm.name, ClockMillis::now());
        }
        doubt(claim_here(shared, claim, due).await, passed_over)
    }

    async fn ask(
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
        // The control thread answers at the latest when `within` is over.
        let limit = SpanMillis::new(within.as_millis() + CONTROL_DELAY_MS);
        let answer = time::timeout(limit.into(), receiver).await;
        answer.ok()?.ok()?
    }

    fn is_avoided(&self, vm: &VmName, now: ClockMillis) -> bool {
        let avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
        avoided.get(vm).is_some_and(|until| now < *until)
    }

    fn avoid(&self, vm: VmName, now: ClockMillis) {
        let mut avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
        avoided.retain(|_, until| now < *until);
        avoided.insert(vm, now + SpanMillis::new(AVOID_MS));
    }
}

/// What a registrar says while the log is out counts less when a preferred one was passed over, which may have read
/// later claims.
fn doubt(reply: ClaimReply, passed_over: bool) -> ClaimReply {
    match reply {
        ClaimReply::Unavailable { .. } if passed_over => unavailable(false),
        other => other,
    }
}

/// The live routers of the region, best registrar first.
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

async fn claim_here(shared: &RouterShared, claim: &ClaimEntry, due: ClockMillis) -> ClaimReply {
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
        Ok(Err(_)) | Err(_) => shared.registrar.answer_now(claim),
    }
}

type LinkTable = Rc<RefCell<IndexMap<VmName, (VmEntry, RouterControlClient)>>>;

/// Sends claims to other routers. Runs on the control thread.
pub(crate) async fn send_claims(mut receiver: UnboundedReceiver<RemoteClaim>) {
    let links = LinkTable::default();
    while let Some(remote) = receiver.recv().await {
        let links = Rc::clone(&links);
        // Claims are part of serving requests and do not count as control traffic.
        let meter = ControlMeter::default();
        tokio::task::spawn_local(async move {
            let sent = send_claim(&links, meter, &remote);
            let answer = time::timeout(remote.within.into(), sent).await;
            let reply = answer.ok().flatten();
            if reply.is_none() {
                links.borrow_mut().swap_remove(&remote.vm.name);
            }
            // The caller waits until the sender is used or dropped.
            let _ = remote.reply.send(reply);
        });
    }
}

async fn send_claim(
    links: &LinkTable,
    meter: ControlMeter,
    remote: &RemoteClaim,
) -> Option<ClaimReply> {
    let vm = &remote.vm;
    let known = links.borrow().get(&vm.name).cloned();
    let client = match known {
        Some((entry, client)) if entry == *vm => client,
        Some(_) | None => {
            let transport = connect_control(vm.control, meter).await.ok()?;
            let client = RouterControlClient::new(client::Config::default(), transport).spawn();
            let entry = (vm.clone(), client.clone());
            links.borrow_mut().insert(vm.name.clone(), entry);
            client
        }
    };
    let context = rpc_context(remote.within);
    let reply = client.claim(context, remote.claim.clone(), remote.within);
    reply.await.ok()
}
