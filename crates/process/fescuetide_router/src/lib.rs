//! The router process: the HTTP interface for callers, dispatch to side processes, and the load report collector.
//!
//! Routing decisions are best effort: a router works from a possibly stale view. A wrong choice costs one short round
//! trip, because the side process next to each upstream enforces admission and at-most-once execution.

mod active;
mod attempt;
mod call;
mod claim_client;
mod claim_job;
mod class_log;
mod classes;
mod control;
mod control_state;
mod early_outcome;
mod exchange;
mod http;
mod key_query;
mod log_health;
mod metrics;
mod partition;
mod peers;
mod platform;
mod records;
mod registrar;
mod request;
mod respond;
mod runner;
mod settings;
mod view;

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use anyhow::Context;
use arc_swap::ArcSwap;
use fescuetide_base::ClockMillis;
use fescuetide_base::PoolName;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_flow::CallTables;
use fescuetide_flow::CallView;
use fescuetide_net::ConnectionPool;
use fescuetide_net::ConnectionPoolSettings;
use fescuetide_net::ControlMeter;
use fescuetide_net::HttpDrain;
use fescuetide_records::RequestRecord;
use indexmap::IndexMap;

use crate::claim_client::ClaimClient;
use crate::metrics::RouterMetrics;
use crate::records::RecordSender;
use crate::registrar::Registrar;
use crate::view::RouterView;

pub use crate::settings::RouterSettings;
pub use fescuetide_flow::RoutingPolicy;

/// Maximum time a draining router waits for callers to read responses that are complete.
const RESPONSE_READ_TIMEOUT: SpanMillis = SpanMillis::new(60_000);

/// State shared between the threads of a router.
pub(crate) struct RouterShared {
    pub(crate) settings: RouterSettings,
    pub(crate) incarnation: ProcessIncarnation,
    pub(crate) view: ArcSwap<RouterView>,
    pub(crate) connections: ConnectionPool,
    /// State that all requests read and update: circuit breakers, retry budgets, the state of the routing policy, the
    /// request rates that the shards of workspaces are sized by, and the requests suspected of crashing upstreams.
    /// Unlike `view`, which the control thread publishes, requests update it.
    pub(crate) tables: Mutex<CallTables>,
    /// Latest mean load of each pool, from the collector.
    pub(crate) means: ArcSwap<IndexMap<PoolName, f64>>,
    pub(crate) records: RecordSender,
    pub(crate) registrar: Registrar,
    pub(crate) claims: ClaimClient,
    pub(crate) metrics: RouterMetrics,
    /// Counts the bytes of control traffic, which the status RPC reports.
    pub(crate) meter: ControlMeter,
    pub(crate) draining: AtomicBool,
    pub(crate) active: AtomicU32,
    pub(crate) http_drain: HttpDrain,
}

impl RouterShared {
    /// Starts draining, so that no new requests are accepted. Returns `false` if the router was already draining.
    pub(crate) fn start_drain(&self) -> bool {
        !self.draining.swap(true, Ordering::AcqRel)
    }

    pub(crate) fn lock_tables(&self) -> MutexGuard<'_, CallTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `action` with the current view while holding the lock of the call tables. `action` must not block.
    pub(crate) fn with_tables<T>(
        &self,
        action: impl FnOnce(&mut CallTables, &CallView<'_>, ClockMillis) -> T,
    ) -> T {
        let router_view = self.view.load();
        let means = self.means.load();
        let view = CallView {
            vms: &router_view.vms,
            pools: &router_view.rankings,
            means: &means,
        };
        action(&mut self.lock_tables(), &view, ClockMillis::now())
    }

    /// Queues the record of a finished request, or counts an overflow if the queue is full.
    pub(crate) fn send_record(&self, record: RequestRecord) {
        if !self.records.send(record) {
            self.metrics.count("records.overflow");
        }
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns whether `/readyz` reports ready: requests are accepted, and the registrar need not be waited for.
    pub(crate) fn reports_ready(&self) -> bool {
        self.accepts_requests() && self.registrar.may_report_ready(ClockMillis::now())
    }

    /// Returns whether requests are accepted: the classes and the VM list are loaded, and the router is not draining.
    pub(crate) fn accepts_requests(&self) -> bool {
        !self.is_draining() && self.view.load().is_complete()
    }
}

/// A running router.
pub struct RouterProcess {
    shared: Arc<RouterShared>,
    closing_since: OnceLock<ClockMillis>,
}

impl RouterProcess {
    /// Binds the listen addresses and starts all threads.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a client cannot be created.
    pub fn start(settings: RouterSettings) -> anyhow::Result<Self> {
        let control = TcpListener::bind(settings.control_listen)
            .with_context(|| format!("cannot listen on {}", settings.control_listen))?;
        let incarnation = ProcessIncarnation::new(ClockMillis::now().as_millis());
        let connections = ConnectionPool::new(
            settings.vm.clone(),
            incarnation,
            ConnectionPoolSettings::default(),
        );
        let (records, record_receiver) = RecordSender::channel();
        let (claims, claim_receiver) = ClaimClient::channel();
        let shared = Arc::new(RouterShared {
            incarnation,
            view: ArcSwap::from_pointee(RouterView::default()),
            connections,
            tables: Mutex::new(CallTables::new(settings.call_settings(incarnation))),
            means: ArcSwap::default(),
            records,
            registrar: Registrar::new(&settings),
            claims,
            metrics: RouterMetrics::new(&settings)?,
            meter: ControlMeter::default(),
            draining: AtomicBool::new(false),
            active: AtomicU32::new(0),
            http_drain: HttpDrain::default(),
            settings,
        });
        control::start(&shared, control, record_receiver, claim_receiver)?;
        http::start(Arc::clone(&shared))?;
        tracing::info!(
            vm = %shared.settings.vm,
            listen = %shared.settings.listen,
            "router started"
        );
        Ok(Self {
            shared,
            closing_since: OnceLock::new(),
        })
    }

    /// Stops accepting requests. Requests in progress run to completion.
    pub fn drain(&self) {
        self.shared.start_drain();
    }

    /// Returns whether a draining router has no request in progress, has written all responses and accepts no further
    /// connections. Closes the connections once no request is in progress, and then the listener.
    pub fn is_idle(&self) -> bool {
        if self.shared.active.load(Ordering::Acquire) > 0 {
            return false;
        }
        let now = ClockMillis::now();
        let drain = &self.shared.http_drain;
        let since = self.closing_since.get_or_init(|| {
            drain.close_connections();
            now
        });
        if now.since(*since) > RESPONSE_READ_TIMEOUT {
            return true;
        }
        if drain.connection_count() > 0 {
            return false;
        }
        // Connections that are accepted while the listener closes are still served.
        drain.stop_listening();
        drain.is_stopped() && drain.connection_count() == 0
    }
}
