//! Samples the load of all engines by querying their side processes concurrently.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_net::ControlMeter;
use fescuetide_net::connect_control;
use fescuetide_net::rpc_context;
use fescuetide_wire::rpc::SideControlClient;
use futures::future::join_all;
use indexmap::IndexMap;
use tarpc::client;
use tokio::time::MissedTickBehavior;

/// Interval between samples.
const SAMPLE_INTERVAL_MS: u64 = 100;

/// A side process that does not answer within this time is omitted from the sample.
const ANSWER_TIMEOUT_MS: u64 = 80;

/// The load of every engine that accepts work, at one point in time.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSample {
    /// Sampling time, in ms since the Unix epoch.
    pub at_ms: u64,
    /// Load by control address of the side process.
    pub loads: IndexMap<SocketAddr, u32>,
}

impl LoadSample {
    /// The mean load.
    pub fn mean(&self) -> f64 {
        let sum: u32 = self.loads.values().sum();
        f64::from(sum) / (self.loads.len().max(1)) as f64
    }

    /// The highest load.
    pub fn max_load(&self) -> u32 {
        self.loads.values().copied().max().unwrap_or_default()
    }

    /// Whether any engine is above the cap and its load rose since the previous sample. Engines that exceed the cap
    /// only because the mean fell are not counted.
    pub fn rises_above_cap(&self, before: &Self) -> bool {
        let cap = self.cap();
        self.loads.iter().any(|(address, load)| {
            let earlier = before.loads.get(address);
            *load > cap && earlier.is_some_and(|earlier| load > earlier)
        })
    }

    /// The load cap for the mean of this sample.
    pub fn cap(&self) -> u32 {
        (1.25 * self.mean()).ceil().max(1.0) as u32
    }
}

/// Control addresses to sample; updated while the sampler runs.
pub type SampleTargets = Arc<Mutex<Vec<SocketAddr>>>;

/// A background thread that samples loads until stopped.
#[derive(Debug)]
pub struct LoadSampler {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<LoadSample>>,
}

impl LoadSampler {
    /// Starts sampling.
    ///
    /// # Errors
    ///
    /// Fails when no runtime can be made.
    pub fn start(targets: SampleTargets) -> anyhow::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let stop = Arc::new(AtomicBool::new(false));
        let stop_flag = Arc::clone(&stop);
        let thread = thread::Builder::new()
            .name("bench-sampler".to_owned())
            .spawn(move || runtime.block_on(sample_loop(&targets, &stop_flag)))?;
        Ok(Self { stop, thread })
    }

    /// Stops sampling and returns all samples.
    ///
    /// # Errors
    ///
    /// Fails when the thread panicked.
    pub fn finish(self) -> anyhow::Result<Vec<LoadSample>> {
        self.stop.store(true, Ordering::Release);
        self.thread
            .join()
            .map_err(|_| anyhow::anyhow!("the load sampler panicked"))
    }
}

async fn sample_loop(targets: &SampleTargets, stop: &AtomicBool) -> Vec<LoadSample> {
    let mut rpc_clients: IndexMap<SocketAddr, SideControlClient> = IndexMap::new();
    let mut samples = Vec::new();
    let mut ticks = tokio::time::interval(Duration::from_millis(SAMPLE_INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while !stop.load(Ordering::Acquire) {
        ticks.tick().await;
        let wanted = targets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        rpc_clients.retain(|address, _| wanted.contains(address));
        for address in wanted {
            if rpc_clients.contains_key(&address) {
                continue;
            }
            if let Ok(transport) = connect_control(address, ControlMeter::default()).await {
                let rpc_client =
                    SideControlClient::new(client::Config::default(), transport).spawn();
                rpc_clients.insert(address, rpc_client);
            }
        }
        let at_ms = ClockMillis::now().as_millis();
        let answers = join_all(rpc_clients.iter().map(async |(address, rpc_client)| {
            let context = rpc_context(SpanMillis::new(ANSWER_TIMEOUT_MS));
            (*address, rpc_client.status(context).await)
        }))
        .await;
        let mut loads = IndexMap::new();
        for (address, answer) in answers {
            if let Ok(status) = answer
                && !status.draining
            {
                loads.insert(address, status.load);
            }
        }
        samples.push(LoadSample { at_ms, loads });
    }
    samples
}
