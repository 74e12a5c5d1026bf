//! The control thread: owns the class table, the VM table and the load collector, publishes views and serves RPC.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crossbeam::channel;
use crossbeam::channel::Receiver;
use fescuetide_base::ClockMillis;
use fescuetide_base::RequestId;
use fescuetide_base::SpanMillis;
use fescuetide_classes::ClassSnapshot;
use fescuetide_members::VmTable;
use fescuetide_net::serve_control;
use fescuetide_records::RequestRecord;
use fescuetide_summary::LoadCollector;
use fescuetide_summary::UpstreamReport;
use fescuetide_wire::claim::ClaimReply;
use fescuetide_wire::claim::ClaimWire;
use fescuetide_wire::records::BurnWire;
use fescuetide_wire::records::RequestWire;
use fescuetide_wire::rpc::ExchangeReply;
use fescuetide_wire::rpc::ExchangeWire;
use fescuetide_wire::rpc::ReportWire;
use fescuetide_wire::rpc::RouterControl;
use fescuetide_wire::rpc::RouterStatus;
use fescuetide_wire::rpc::SumWire;
use std::cell::RefCell;
use std::rc::Rc;
use tarpc::context::Context;
use tokio::runtime::Runtime;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::MissedTickBehavior;

use crate::RouterShared;
use crate::claim_client::RemoteClaim;
use crate::claim_client::send_claims;
use crate::claim_job::ClaimJob;
use crate::class_log;
use crate::class_log::ClassLogEvent;
use crate::classes::ClassControl;
use crate::control_state::ControlState;
use crate::control_state::SharedState;
use crate::control_state::sums_to_wire;
use crate::exchange;
use crate::exchange::exchange_loop;
use crate::peers;
use crate::platform;
use crate::platform::PlatformEvent;
use crate::platform::apply_list;
use crate::records::RequestRecorder;

/// Interval at which events from the platform and class-log threads are handled.
const EVENT_POLL_INTERVAL_MS: u64 = 50;

/// Starts the control thread and the threads that it depends on: platform, class log and request records.
pub(crate) fn start(
    shared: &Arc<RouterShared>,
    listener: TcpListener,
    record_receiver: Receiver<RequestRecord>,
    claim_receiver: UnboundedReceiver<RemoteClaim>,
) -> anyhow::Result<()> {
    listener.set_nonblocking(true)?;
    let (event_sender, event_receiver) = channel::unbounded();
    let (class_sender, class_receiver) = channel::unbounded();
    let (command_sender, command_receiver) = channel::unbounded();
    let platform_shared = Arc::clone(shared);
    thread::Builder::new()
        .name("router-platform".to_owned())
        .spawn(move || platform::run(&platform_shared, &event_sender))?;
    let class_shared = Arc::clone(shared);
    thread::Builder::new()
        .name("router-class-log".to_owned())
        .spawn(move || class_log::run(&class_shared, &class_sender, &command_receiver))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let records = RequestRecorder::start(shared, record_receiver)?;
    let shared = Arc::clone(shared);
    thread::Builder::new()
        .name("router-control".to_owned())
        .spawn(move || {
            let settings = exchange::collector_settings(&shared);
            let collector = LoadCollector::new(settings);
            let state = ControlState {
                classes: ClassControl::new(&shared, command_sender),
                shared,
                vms: VmTable::default(),
                collector,
                records,
            };
            let events = EventReceivers {
                platform: event_receiver,
                classes: class_receiver,
            };
            let sender = send_claims(claim_receiver);
            let local = LocalSet::new();
            local.spawn_local(sender);
            run_control(&runtime, &local, state, listener, &events);
        })?;
    Ok(())
}

struct EventReceivers {
    platform: Receiver<PlatformEvent>,
    classes: Receiver<ClassLogEvent>,
}

fn run_control(
    runtime: &Runtime,
    local: &LocalSet,
    state: ControlState,
    listener: TcpListener,
    events: &EventReceivers,
) {
    let meter = state.shared.meter.clone();
    let state = Rc::new(RefCell::new(state));
    local.block_on(runtime, async {
        match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => {
                let server = ControlServer {
                    state: Rc::clone(&state),
                };
                tokio::task::spawn_local(serve_control(listener, meter, server.serve()));
            }
            Err(error) => tracing::error!(%error, "control RPC is not served"),
        }
        tokio::task::spawn_local(exchange_loop(Rc::clone(&state)));
        tokio::task::spawn_local(peers::peer_table_loop(Rc::clone(&state)));
        event_loop(&state, events).await;
    });
}

/// Handles events from the platform and class-log threads, and publishes a new view if a table has changed.
async fn event_loop(state: &SharedState, events: &EventReceivers) {
    let mut ticks = tokio::time::interval(Duration::from_millis(EVENT_POLL_INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = ClockMillis::now();
        let mut state = state.borrow_mut();
        let state = &mut *state;
        let mut changed = false;
        for event in events.platform.try_iter() {
            changed |= match event {
                PlatformEvent::VmList(reply) => apply_list(&mut state.vms, reply, now),
            };
        }
        for event in events.classes.try_iter() {
            changed |= state.classes.handle_event(&state.shared, event);
        }
        state.classes.write_snapshot(&state.shared, now);
        if changed {
            state.publish();
        }
        state.records.step(state.classes.table(), now);
        state.publish_means();
    }
}

#[derive(Clone)]
struct ControlServer {
    state: SharedState,
}

impl RouterControl for ControlServer {
    async fn report(self, _: Context, report: ReportWire) -> SumWire {
        let mut state = self.state.borrow_mut();
        let report = UpstreamReport::from(report);
        let pool = report.pool.clone();
        state.collector.note_report(report, ClockMillis::now());
        let sums = state.collector.total_sums();
        sums.get(&pool)
            .copied()
            .map(SumWire::from)
            .unwrap_or_default()
    }

    async fn exchange(self, _: Context, sums: ExchangeWire) -> ExchangeReply {
        exchange::handle_exchange(&mut self.state.borrow_mut(), sums)
    }

    async fn claim(self, _: Context, claim: ClaimWire, within: SpanMillis) -> ClaimReply {
        let (sender, receiver) = oneshot::channel();
        let job = ClaimJob {
            claim: claim.into(),
            due: ClockMillis::now() + within,
            reply: Box::new(move |reply| {
                // The receiver is gone if the requesting router has given up.
                let _ = sender.send(reply);
            }),
        };
        let shared = Arc::clone(&self.state.borrow().shared);
        let claim_entry = job.claim.clone();
        shared.registrar.submit(job);
        // The requesting router waits for `within`. A reply from the ledger must reach it before that.
        let reply_timeout = SpanMillis::new(within.as_millis() * 4 / 5);
        match tokio::time::timeout(reply_timeout.into(), receiver).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) | Err(_) => shared.registrar.answer_without_log(&claim_entry),
        }
    }

    async fn snapshot(self, _: Context, above: u64) -> Option<ClassSnapshot> {
        let state = self.state.borrow();
        if !state.classes.is_complete() || state.classes.next_offset().get() <= above {
            return None;
        }
        Some(state.classes.snapshot().clone())
    }

    async fn status(self, _: Context) -> RouterStatus {
        let state = self.state.borrow();
        let shared = &state.shared;
        RouterStatus {
            vm: shared.settings.vm.clone(),
            ready: shared.reports_ready(),
            draining: shared.is_draining(),
            class_offset: state.classes.next_offset().get(),
            vm_list_age_ms: state.vms.age(ClockMillis::now()).as_millis(),
            vm_count: state.vms.len() as u32,
            active_requests: shared.active.load(Ordering::Acquire),
            control_bytes: shared.meter.total().get(),
            sums: sums_to_wire(&state.collector.total_sums()),
        }
    }

    async fn trace(self, _: Context, request: RequestId) -> Option<RequestWire> {
        self.state.borrow().records.find(request)
    }

    async fn burn(self, _: Context) -> Vec<BurnWire> {
        self.state.borrow().records.burn(ClockMillis::now())
    }

    async fn drain(self, _: Context) {
        if self.state.borrow().shared.start_drain() {
            tracing::info!("drain was asked for; no new requests are taken");
        }
    }
}
