//! Samples the class-log offsets of the routers, to check that accepted changes take effect everywhere in time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use fescuetide_base::ClockMillis;

use crate::fleet::FleetProcesses;
use crate::probe::StatusProbe;

/// Interval between samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// The class-log offset of a ready router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OffsetSample {
    /// Time of the query, in ms since the Unix epoch.
    pub at_ms: u64,
    /// Index of the router.
    pub router: usize,
    /// Next class-log offset that the router will apply.
    pub offset: u64,
}

/// A background thread that samples offsets until stopped.
#[derive(Debug)]
pub struct OffsetSampler {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<OffsetSample>>,
}

impl OffsetSampler {
    /// Starts sampling the routers of `fleet`. Routers keep their addresses across restarts.
    ///
    /// # Errors
    ///
    /// Fails when no runtime can be made.
    pub fn start(fleet: &FleetProcesses) -> anyhow::Result<Self> {
        let mut routers = Vec::new();
        for router in &fleet.routers {
            routers.push(router.vm.control);
        }
        let probe = StatusProbe::new()?;
        let stop = Arc::new(AtomicBool::new(false));
        let stop_flag = Arc::clone(&stop);
        let thread = thread::Builder::new()
            .name("bench-offsets".to_owned())
            .spawn(move || sample_routers(&routers, &probe, &stop_flag))?;
        Ok(Self { stop, thread })
    }

    /// Stops sampling and returns all samples.
    ///
    /// # Errors
    ///
    /// Fails when the thread panicked.
    pub fn finish(self) -> anyhow::Result<Vec<OffsetSample>> {
        self.stop.store(true, Ordering::Release);
        self.thread
            .join()
            .map_err(|_| anyhow::anyhow!("the offset sampler panicked"))
    }
}

fn sample_routers(
    routers: &[SocketAddr],
    probe: &StatusProbe,
    stop: &AtomicBool,
) -> Vec<OffsetSample> {
    let mut samples = Vec::new();
    while !stop.load(Ordering::Acquire) {
        for (router, control) in routers.iter().enumerate() {
            let at_ms = ClockMillis::now().as_millis();
            let Ok(status) = probe.router(*control) else {
                continue;
            };
            if status.ready {
                samples.push(OffsetSample {
                    at_ms,
                    router,
                    offset: status.class_offset,
                });
            }
        }
        thread::sleep(SAMPLE_INTERVAL);
    }
    samples
}
