//! Samples the class-log offsets of the routers, to check that an accepted change is in force everywhere in time.

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
const SAMPLE: Duration = Duration::from_millis(500);

/// The offset of one router that takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OffsetSample {
    /// When the router was asked, in ms since the Unix epoch.
    pub at_ms: u64,
    /// The router.
    pub router: usize,
    /// The next class-log offset it will fold.
    pub offset: u64,
}

/// A thread that samples until it is stopped.
#[derive(Debug)]
pub struct OffsetSampler {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<OffsetSample>>,
}

impl OffsetSampler {
    /// Starts sampling the routers of `fleet`, which keep their addresses over restarts.
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
        let seen = Arc::clone(&stop);
        let thread = thread::Builder::new()
            .name("bench-offsets".to_owned())
            .spawn(move || sample_all(&routers, &probe, &seen))?;
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

fn sample_all(routers: &[SocketAddr], probe: &StatusProbe, stop: &AtomicBool) -> Vec<OffsetSample> {
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
        thread::sleep(SAMPLE);
    }
    samples
}
