//! Small fleets for tests of at-most-once execution.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use fescuetide_base::IdempotencyKey;
use fescuetide_base::SpanMillis;
use fescuetide_classes::ClassTargets;
use fescuetide_classes::LatenessTarget;
use fescuetide_standin::log::LogFaults;

use crate::fleet::FleetProcesses;
use crate::fleet::FleetSettings;
use crate::once::OnceCaller;
use crate::once::count_runs;
use crate::once::set_log_faults;
use crate::process::SignalKind;
use crate::process::wait_for;

/// Timeout of waits that normally take well under a second.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A fleet of plain services. Only one such fleet runs at a time in a process.
#[derive(Debug)]
pub struct OnceFleet {
    /// The processes.
    pub fleet: FleetProcesses,
    _guard: MutexGuard<'static, ()>,
}

fn targets(repeatable: bool, within_ms: u64) -> ClassTargets {
    ClassTargets {
        repeatable,
        lateness: LatenessTarget {
            within: SpanMillis::new(within_ms),
            ..LatenessTarget::default()
        },
        ..ClassTargets::default()
    }
}

impl OnceFleet {
    /// Starts a fleet whose services run each request for `run_ms`. The classes `export` and `slow` are not repeatable
    /// and have lateness targets of 5 s and 100 s; `report` is repeatable.
    ///
    /// # Panics
    ///
    /// Panics when a process does not start.
    pub fn start(routers: usize, services: usize, run_ms: u64) -> Self {
        Self::start_with(routers, services, run_ms, &[])
    }

    /// Like [`start`](Self::start), with lines added to the side processes' settings.
    ///
    /// # Panics
    ///
    /// Panics when a process does not start.
    pub fn start_with(routers: usize, services: usize, run_ms: u64, side_lines: &[&str]) -> Self {
        static FLEET_LOCK: Mutex<()> = Mutex::new(());
        let guard = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let class = |name: &str, targets| (name.parse().expect("class name"), targets);
        let fleet = FleetProcesses::start(FleetSettings {
            routers,
            engines: 0,
            services,
            classes: vec![
                class("export", targets(false, 5_000)),
                class("slow", targets(false, 100_000)),
                class("report", targets(true, 5_000)),
            ],
            service_options: vec!["--run-ms".to_owned(), run_ms.to_string()],
            side_lines: side_lines.iter().map(|line| (*line).to_owned()).collect(),
            router_lines: vec![
                "default_deadline_ms = 110000".to_owned(),
                "claim_skew_ms = 50".to_owned(),
            ],
            ..FleetSettings::default()
        })
        .expect("fleet starts");
        Self {
            fleet,
            _guard: guard,
        }
    }

    /// The address of a router for caller traffic.
    pub fn router(&self, index: usize) -> SocketAddr {
        self.fleet.routers[index].vm.data
    }

    /// Creates a caller that sends requests of `class`.
    pub fn caller(&self, class: &str) -> OnceCaller {
        OnceCaller::new(&self.fleet, class)
    }

    /// Sets the faults of the log service.
    ///
    /// # Panics
    ///
    /// Panics when the log service rejects them.
    pub fn set_faults(&self, faults: LogFaults) {
        set_log_faults(&self.fleet, &faults).expect("log takes faults");
    }

    /// Waits until a run of `key` has started.
    ///
    /// # Panics
    ///
    /// Panics when it does not start in time.
    pub fn wait_for_run(&self, key: IdempotencyKey) {
        wait_for("start of the run", WAIT_TIMEOUT, || {
            count_runs(&self.fleet, key).expect("journals") == 1
        })
        .expect("request runs");
    }

    /// Sends a signal to a router.
    ///
    /// # Panics
    ///
    /// Panics when the router does not run.
    pub fn signal_router(&self, index: usize, kind: SignalKind) {
        let process = self.fleet.routers[index].process.as_ref();
        process.expect("router runs").signal(kind).expect("signal");
    }

    /// Checks the reported outcomes against the journals.
    ///
    /// # Panics
    ///
    /// Panics when they contradict each other.
    pub fn verify(&self, caller: &OnceCaller) {
        let findings = caller.check(&self.fleet).expect("journals");
        assert!(findings.is_empty(), "{findings:#?}");
    }
}
