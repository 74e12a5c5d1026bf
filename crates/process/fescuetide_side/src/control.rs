//! The control thread: load reports, VM list updates and control RPC.

use std::cmp::Reverse;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel;
use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::StableHash;
use fescuetide_members::VmEntry;
use fescuetide_members::VmPhase;
use fescuetide_members::VmTable;
use fescuetide_net::ControlMeter;
use fescuetide_net::VmListClient;
use fescuetide_net::VmListReply;
use fescuetide_net::connect_control;
use fescuetide_net::rpc_context;
use fescuetide_net::serve_control;
use fescuetide_wire::rpc::ReportWire;
use fescuetide_wire::rpc::RouterControlClient;
use fescuetide_wire::rpc::SideControl;
use fescuetide_wire::rpc::SideStatus;
use tarpc::client;
use tarpc::context::Context;
use tokio::runtime::Runtime;
use tokio::task::LocalSet;
use tokio::time::MissedTickBehavior;

use crate::SideShared;
use crate::server::cancel_attempt;

/// Timeout of a read of the VM list.
const VM_LIST_TIMEOUT_MS: u64 = 3_000;

/// Timeout of a load report.
const REPORT_TIMEOUT_MS: u64 = 1_000;

/// Starts the control thread and the platform thread.
pub(crate) fn start(shared: Arc<SideShared>, listener: TcpListener) -> anyhow::Result<()> {
    let meter = ControlMeter::default();
    let (sender, receiver) = channel::unbounded();
    let platform_shared = Arc::clone(&shared);
    let platform_meter = meter.clone();
    thread::Builder::new()
        .name("side-platform".to_owned())
        .spawn(move || poll_vm_list(&platform_shared, platform_meter, &sender))?;
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    shared
        .control_runtime
        .get_or_init(|| runtime.handle().clone());
    thread::Builder::new()
        .name("side-control".to_owned())
        .spawn(move || run_control(&runtime, &shared, listener, &meter, &receiver))?;
    Ok(())
}

/// Reads the VM list at its interval and sends each changed list to the control thread.
fn poll_vm_list(shared: &SideShared, meter: ControlMeter, sender: &Sender<VmTable>) {
    let settings = &shared.settings;
    let client = VmListClient::new(
        settings.vm_list_url.clone(),
        settings.vm.clone(),
        SpanMillis::new(VM_LIST_TIMEOUT_MS),
        meter,
    );
    let mut known = 0;
    loop {
        match client.read(known) {
            Ok(VmListReply::Unchanged) => {}
            Ok(VmListReply::Changed { version, list }) => {
                known = version;
                let table = VmTable::new(version, list, ClockMillis::now());
                if sender.send(table).is_err() {
                    return;
                }
            }
            Err(error) => {
                shared.metrics.count("vm_list.failed");
                tracing::debug!(%error, "reading the VM list failed");
            }
        }
        thread::sleep(Duration::from_millis(settings.vm_list_interval_ms));
    }
}

fn run_control(
    runtime: &Runtime,
    shared: &Arc<SideShared>,
    listener: TcpListener,
    meter: &ControlMeter,
    receiver: &Receiver<VmTable>,
) {
    let local = LocalSet::new();
    local.block_on(runtime, async {
        match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => {
                let server = ControlServer {
                    shared: Arc::clone(shared),
                };
                tokio::task::spawn_local(serve_control(listener, meter.clone(), server.serve()));
            }
            Err(error) => tracing::error!(%error, "control RPC is not served"),
        }
        report_loop(shared, meter, receiver).await;
    });
}

async fn report_loop(shared: &Arc<SideShared>, meter: &ControlMeter, receiver: &Receiver<VmTable>) {
    let settings = &shared.settings;
    let mut table = VmTable::default();
    let mut connection: Option<CollectorConnection> = None;
    let mut ticks = tokio::time::interval(Duration::from_millis(settings.report_interval_ms));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        while let Ok(update) = receiver.try_recv() {
            table = update;
            apply_listed_phase(shared, &table);
        }
        let now = ClockMillis::now();
        for orphan in shared.attempts.sweep(now) {
            shared.metrics.count("attempt.orphaned");
            let shared = Arc::clone(shared);
            // Cancelling makes a blocking call to the upstream.
            thread::spawn(move || cancel_attempt(&shared, &orphan));
        }
        shared.metrics.gauge_load(shared.gate.load());
        connection = report_load(shared, meter, &table, connection).await;
    }
}

fn apply_listed_phase(shared: &SideShared, table: &VmTable) {
    let Some(entry) = table.get(&shared.settings.vm) else {
        return;
    };
    let leaving = entry.phase == VmPhase::Leaving;
    if shared.gate.set_listed_leaving(leaving) {
        tracing::info!(vm = %entry.name, leaving, "VM list changed the leaving state of this VM");
    }
}

struct CollectorConnection {
    entry: VmEntry,
    client: RouterControlClient,
}

/// Reports the load to the collector and updates the mean load of the pool from the reply. Returns the connection if it
/// is still usable.
async fn report_load(
    shared: &SideShared,
    meter: &ControlMeter,
    table: &VmTable,
    connection: Option<CollectorConnection>,
) -> Option<CollectorConnection> {
    let ranked = rank_collectors(shared, table);
    let connection = match connection {
        Some(connection) if ranked.contains(&&connection.entry) => connection,
        _ => connect_first(&ranked, meter).await?,
    };
    let report = ReportWire {
        vm: shared.settings.vm.clone(),
        pool: shared.settings.pool.clone(),
        load: shared.gate.load().get(),
    };
    let context = rpc_context(SpanMillis::new(REPORT_TIMEOUT_MS));
    match connection.client.report(context, report).await {
        Ok(sum) => {
            let sum = fescuetide_summary::PoolSum::from(sum);
            shared.gate.set_mean(sum.mean(), ClockMillis::now());
            Some(connection)
        }
        Err(error) => {
            shared.metrics.count("report.failed");
            tracing::debug!(collector = %connection.entry.name, %error, "load report failed");
            None
        }
    }
}

async fn connect_first(ranked: &[&VmEntry], meter: &ControlMeter) -> Option<CollectorConnection> {
    for entry in ranked {
        let Ok(transport) = connect_control(entry.control, meter.clone()).await else {
            continue;
        };
        let client = RouterControlClient::new(client::Config::default(), transport).spawn();
        return Some(CollectorConnection {
            entry: (*entry).clone(),
            client,
        });
    }
    None
}

/// Returns the routers of the region in rendezvous order for this VM, those of its own availability zone first. The
/// first one that accepts a connection is the collector. Ranking by VM spreads the reports over all routers, while
/// ranking by zone would send those of a zone to one router. In a deployment of 6,300 engines and 340 routers, that is
/// about 19 reports per router and interval instead of over a thousand at one router.
fn rank_collectors<'a>(shared: &SideShared, table: &'a VmTable) -> Vec<&'a VmEntry> {
    let settings = &shared.settings;
    let mut ranked: Vec<((bool, u64), &VmEntry)> = Vec::new();
    for entry in table.live_routers() {
        if entry.region != settings.region {
            continue;
        }
        let score = StableHash::new()
            .field(settings.vm.as_str().as_bytes())
            .field(entry.name.as_str().as_bytes())
            .finish();
        ranked.push(((entry.zone == settings.zone, score), entry));
    }
    ranked.sort_unstable_by_key(|(score, _)| Reverse(*score));
    ranked.into_iter().map(|(_, entry)| entry).collect()
}

#[derive(Clone)]
struct ControlServer {
    shared: Arc<SideShared>,
}

impl SideControl for ControlServer {
    async fn status(self, _: Context) -> SideStatus {
        SideStatus {
            vm: self.shared.settings.vm.clone(),
            incarnation: self.shared.incarnation.get(),
            draining: self.shared.gate.refuses_new_work(),
            load: self.shared.gate.load().get(),
            mean: self.shared.gate.mean(),
        }
    }

    async fn drain(self, _: Context) {
        if self.shared.gate.start_drain() {
            tracing::info!("drain was asked for; new work is refused");
        }
    }
}
