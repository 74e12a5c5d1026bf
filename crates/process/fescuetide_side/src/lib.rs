//! The side process: runs next to one upstream, admits work within the load limit, executes it and buffers responses.
//!
//! Every request to the upstream passes through its side process. The guarantees are therefore enforced here: the load
//! limit, checked against the exact number of admitted attempts, the refusal of new work while the VM is leaving, and
//! at-most-once execution of attempts and idempotency keys.

mod admission;
mod attempts;
mod chats;
mod control;
mod execute;
mod metrics;
mod prefix;
mod response;
mod run_queue;
mod server;
mod settings;
mod upstream;
mod watched;

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::OnceLock;
use std::thread;

use anyhow::Context;
use fescuetide_base::ClockMillis;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_limits::LoadBound;
use fescuetide_net::ConnectionPool;
use fescuetide_net::ConnectionPoolSettings;
use tokio::runtime::Handle;

use crate::admission::AdmissionGate;
use crate::attempts::AttemptRetention;
use crate::attempts::AttemptTable;
use crate::chats::ChatTable;
use crate::metrics::SideMetrics;
use crate::run_queue::RunQueue;
use crate::upstream::UpstreamClient;

pub use crate::settings::SideSettings;
pub use crate::settings::UpstreamKind;

/// Time for which a draining process keeps a response that no router has confirmed, in heartbeats. A router resumes a
/// response after a silence of 3 heartbeats and up to 3 connection attempts of 1 s each. At the default heartbeat, that
/// is 3 s + 3 s, which leaves a margin of 4 s.
const DRAIN_GRACE_HEARTBEATS: u64 = 10;

/// State shared between the threads of a side process.
pub(crate) struct SideShared {
    pub(crate) settings: SideSettings,
    pub(crate) incarnation: ProcessIncarnation,
    pub(crate) gate: AdmissionGate,
    pub(crate) queue: RunQueue,
    pub(crate) attempts: AttemptTable,
    pub(crate) chats: ChatTable,
    pub(crate) upstream: UpstreamClient,
    /// Connections to other side processes, for transfers of cached prefixes.
    pub(crate) connections: ConnectionPool,
    /// Handle of the runtime that drives `connections`. Set before the control thread starts.
    pub(crate) control_runtime: OnceLock<Handle>,
    pub(crate) metrics: SideMetrics,
}

/// A running side process.
pub struct SideProcess {
    shared: Arc<SideShared>,
}

impl SideProcess {
    /// Binds the listen addresses and starts all threads.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a client cannot be created.
    pub fn start(settings: SideSettings) -> anyhow::Result<Self> {
        let data = TcpListener::bind(settings.data_listen)
            .with_context(|| format!("cannot listen on {}", settings.data_listen))?;
        let control = TcpListener::bind(settings.control_listen)
            .with_context(|| format!("cannot listen on {}", settings.control_listen))?;
        let incarnation = new_incarnation();
        let connections = ConnectionPool::new(
            settings.vm.clone(),
            incarnation,
            ConnectionPoolSettings::default(),
        );
        let shared = Arc::new(SideShared {
            incarnation,
            connections,
            control_runtime: OnceLock::new(),
            gate: AdmissionGate::new(LoadBound {
                multiple: settings.load_multiple,
            }),
            queue: RunQueue::new(settings.slots),
            attempts: AttemptTable::new(AttemptRetention::of(&settings)),
            chats: ChatTable::default(),
            upstream: UpstreamClient::new(&settings),
            metrics: SideMetrics::new(&settings)?,
            settings,
        });
        control::start(Arc::clone(&shared), control)?;
        let server_shared = Arc::clone(&shared);
        thread::Builder::new()
            .name("side-accept".to_owned())
            .spawn(move || server::accept_connections(&server_shared, &data))?;
        tracing::info!(
            vm = %shared.settings.vm,
            incarnation = %shared.incarnation,
            data = %shared.settings.data_listen,
            "side process started"
        );
        Ok(Self { shared })
    }

    /// Refuses new work from now on. Admitted attempts run to completion.
    pub fn drain(&self) {
        self.shared.gate.start_drain();
    }

    /// Returns whether no attempt is in progress and no router may still request the rest of a response.
    pub fn is_idle(&self) -> bool {
        let heartbeat = self.shared.settings.heartbeat_ms;
        let grace = SpanMillis::new(heartbeat * DRAIN_GRACE_HEARTBEATS);
        let awaited = self.shared.attempts.is_awaited(grace, ClockMillis::now());
        self.shared.gate.load().get() == 0 && !awaited
    }
}

/// Creates an incarnation from the start time in its high bits, so that incarnations increase, and the low 16 bits of
/// the process id, which distinguish two starts within the same millisecond.
fn new_incarnation() -> ProcessIncarnation {
    let millis = ClockMillis::now().as_millis();
    let process = u64::from(std::process::id() & 0xffff);
    ProcessIncarnation::new((millis << 16) | process)
}
