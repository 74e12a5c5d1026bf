//! The scale experiment: measures the control cost per router at several fleet sizes and extrapolates it to the design
//! size.
//!
//! All side processes share one engine stand-in, so that only the number of the fleet's own processes grows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use fescuetide_base::ClassName;
use fescuetide_base::ClassVersion;
use fescuetide_classes::ClassTargets;
use fescuetide_wire::api::CallOutcome;
use serde_json::Value;
use serde_json::json;

use crate::client::CallerClient;
use crate::fleet::FleetProcesses;
use crate::fleet::FleetSettings;
use crate::probe::StatusProbe;
use crate::process::ChildProcess;
use crate::process::wait_for;
use crate::usage::ProcessUsage;
use crate::usage::read_usage;
use crate::workload::MultiTurnChat;

/// Routers and engines of the design size.
const DESIGN_ROUTERS: f64 = 340.0;
const DESIGN_ENGINES: usize = 6_300;

/// Engines per router. The design size has 18.5, which needs more processes than one machine can run.
const ENGINES_PER_ROUTER: usize = 2;

/// Warm-up time, in which load reports reach every process before the measurement.
const WARM_UP: Duration = Duration::from_secs(5);

/// Design limit for the time until a class change is in force on all routers.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(15);

/// Interval at which the side processes' view of the mean load is sampled.
const MEAN_SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Settings of the experiment.
#[derive(Clone, Debug)]
pub struct ScaleSettings {
    /// Seed of the traffic.
    pub seed: u64,
    /// Numbers of routers.
    pub sizes: Vec<usize>,
    /// Duration of each measurement, in seconds.
    pub seconds: u64,
    /// Whether to print only the JSON object.
    pub json: bool,
}

impl Default for ScaleSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            sizes: vec![8, 24, 72],
            seconds: 12,
            json: false,
        }
    }
}

/// Measurements at one fleet size; costs are per router.
#[derive(Clone, Copy, Debug)]
pub struct SizeResult {
    /// Number of routers.
    pub router_count: usize,
    /// Number of engines.
    pub engines: usize,
    /// Control bytes per second.
    pub control_bytes_per_s: f64,
    /// CPU use in percent of a core.
    pub cpu_percent: f64,
    /// Resident memory in MB.
    pub rss_mb: f64,
    /// Mean relative error of the side processes' view of the mean load.
    pub mean_error: f64,
    /// Time until a class change was in force on all routers.
    pub config_in_force_ms: u64,
    /// Number of violated guarantees.
    pub violations: u64,
}

/// Runs the experiment and prints its result. Returns the number of violations.
///
/// # Errors
///
/// Fails when a fleet does not start or does not answer.
pub fn run(settings: &ScaleSettings) -> anyhow::Result<u64> {
    let mut results = Vec::new();
    for router_count in &settings.sizes {
        let result = measure_size(settings, *router_count)?;
        if !settings.json {
            print_result(&result);
        }
        results.push(result);
    }
    let violations = results.iter().map(|result| result.violations).sum();
    println!("{}", summary_json(&results, violations));
    Ok(violations)
}

fn measure_size(settings: &ScaleSettings, router_count: usize) -> anyhow::Result<SizeResult> {
    eprintln!(
        "starting {router_count} routers and {} side processes",
        router_count * ENGINES_PER_ROUTER
    );
    let class: ClassName = "chat".parse()?;
    let targets = ClassTargets {
        repeatable: true,
        ..ClassTargets::default()
    };
    let fleet = FleetProcesses::start(FleetSettings {
        routers: router_count,
        engines: router_count * ENGINES_PER_ROUTER,
        services: 0,
        classes: vec![(class.clone(), targets)],
        engine_options: ["--step-ms", "100", "--batch-limit", "100000"]
            .map(str::to_owned)
            .to_vec(),
        shared_upstream: true,
        ..FleetSettings::default()
    })?;
    let load = ChatCallers::start(&fleet, settings.seed);
    thread::sleep(WARM_UP);
    let before = read_router_totals(&fleet)?;
    let start = Instant::now();
    let mean_error = measure_mean_error(&fleet, Duration::from_secs(settings.seconds))?;
    let span = start.elapsed().as_secs_f64();
    let after = read_router_totals(&fleet)?;
    let config_in_force_ms = measure_propagation_ms(&fleet, &class, targets)?;
    let broken = load.stop()?;
    let late = u64::from(config_in_force_ms > IN_FORCE_LIMIT.as_millis() as u64);
    let count = router_count as f64;
    let cpu = (after.usage.cpu - before.usage.cpu).as_secs_f64();
    Ok(SizeResult {
        router_count,
        engines: router_count * ENGINES_PER_ROUTER,
        control_bytes_per_s: (after.bytes - before.bytes) as f64 / span / count,
        cpu_percent: cpu / span / count * 100.0,
        rss_mb: after.usage.rss_bytes as f64 / count / 1e6,
        mean_error,
        config_in_force_ms,
        violations: broken + late,
    })
}

#[derive(Clone, Copy, Debug, Default)]
struct RouterTotals {
    bytes: u64,
    usage: ProcessUsage,
}

fn read_router_totals(fleet: &FleetProcesses) -> anyhow::Result<RouterTotals> {
    let probe = StatusProbe::new()?;
    let mut totals = RouterTotals::default();
    for router in &fleet.routers {
        totals.bytes += probe.router(router.vm.control)?.control_bytes;
        let id = router.process.as_ref().map(ChildProcess::id);
        let usage = read_usage(id.unwrap_or_default())?;
        totals.usage.cpu += usage.cpu;
        totals.usage.rss_bytes += usage.rss_bytes;
    }
    Ok(totals)
}

/// Measures the mean relative error of the side processes' view of the mean load.
fn measure_mean_error(fleet: &FleetProcesses, length: Duration) -> anyhow::Result<f64> {
    let probe = StatusProbe::new()?;
    let start = Instant::now();
    let mut error_sum = 0.0;
    let mut samples = 0_u32;
    while start.elapsed() < length {
        thread::sleep(MEAN_SAMPLE_INTERVAL);
        let mut known = Vec::with_capacity(fleet.upstreams.len());
        let mut load = 0;
        for node in &fleet.upstreams {
            let status = probe.side(node.vm.control)?;
            known.push(status.mean);
            load += status.load;
        }
        if load == 0 {
            continue;
        }
        let mean = f64::from(load) / known.len() as f64;
        for value in known {
            error_sum += (value - mean).abs() / mean;
            samples += 1;
        }
    }
    Ok(error_sum / f64::from(samples.max(1)))
}

/// Publishes a class change and measures the time until it is in force on all routers, in ms.
fn measure_propagation_ms(
    fleet: &FleetProcesses,
    class: &ClassName,
    targets: ClassTargets,
) -> anyhow::Result<u64> {
    let probe = StatusProbe::new()?;
    fleet.publish_class(class, targets, ClassVersion::new(1))?;
    let start = Instant::now();
    wait_for("change on all routers", IN_FORCE_LIMIT * 2, || {
        fleet.routers.iter().all(|router| {
            probe
                .router(router.vm.control)
                .is_ok_and(|status| status.class_offset >= 2)
        })
    })?;
    Ok(start.elapsed().as_millis() as u64)
}

/// Closed-loop callers: 4 per router, or 2 per engine.
struct ChatCallers {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<u64>>,
}

impl ChatCallers {
    const CALLERS_PER_ROUTER: usize = 4;

    fn start(fleet: &FleetProcesses, seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut callers = Vec::new();
        for (index, router) in fleet.routers.iter().enumerate() {
            for chat in 0..Self::CALLERS_PER_ROUTER {
                let stop = Arc::clone(&stop);
                let address = router.vm.data;
                let turns = MultiTurnChat::new(seed, index, chat, "chat", 40);
                callers.push(thread::spawn(move || send_turns(address, turns, &stop)));
            }
        }
        Self { stop, callers }
    }

    fn stop(self) -> anyhow::Result<u64> {
        self.stop.store(true, Ordering::Release);
        let mut broken = 0;
        for caller in self.callers {
            broken += caller
                .join()
                .map_err(|_| anyhow::anyhow!("a caller thread panicked"))?;
        }
        Ok(broken)
    }
}

/// Sends chat turns until stopped. Returns the number of turns that violated a guarantee.
fn send_turns(address: SocketAddr, mut chat: MultiTurnChat, stop: &AtomicBool) -> u64 {
    let client = CallerClient::default();
    let mut broken = 0;
    while !stop.load(Ordering::Acquire) {
        let result = client.chat(address, &chat.next_call());
        match result.outcome {
            Some(CallOutcome::Completed) if result.is_complete => {
                chat.record_answer(Some(&result.text));
                continue;
            }
            Some(CallOutcome::NotRun) => {}
            _ => broken += 1,
        }
        chat.record_answer(None);
    }
    broken
}

fn print_result(result: &SizeResult) {
    println!(
        "{:>4} routers {:>4} engines  {:>7.0} control bytes/s  {:>6.2} % cpu  {:>6.1} MB  mean error {:.3}  change in force after {} ms",
        result.router_count,
        result.engines,
        result.control_bytes_per_s,
        result.cpu_percent,
        result.rss_mb,
        result.mean_error,
        result.config_in_force_ms
    );
}

fn summary_json(results: &[SizeResult], violations: u64) -> Value {
    let mut sizes = Vec::new();
    for result in results {
        sizes.push(json!({
            "nodes": result.router_count,
            "engines": result.engines,
            "control_bytes_per_s": result.control_bytes_per_s,
            "cpu_percent": result.cpu_percent,
            "rss_mb": result.rss_mb,
            "mean_error": result.mean_error,
            "config_in_force_ms": result.config_in_force_ms,
        }));
    }
    let extrapolate = |value: fn(&SizeResult) -> f64| extrapolate(results, value);
    json!({
        "experiment": "scale",
        "violations": violations,
        "sizes": sizes,
        "projected": {
            "nodes": DESIGN_ROUTERS,
            "engines": DESIGN_ENGINES,
            "control_bytes_per_s": extrapolate(|result| result.control_bytes_per_s),
            "cpu_percent": extrapolate(|result| result.cpu_percent),
            "rss_mb": extrapolate(|result| result.rss_mb),
        },
    })
}

/// Extrapolates to the design size with a least-squares linear fit over the number of routers.
fn extrapolate(results: &[SizeResult], value: fn(&SizeResult) -> f64) -> f64 {
    let count = results.len() as f64;
    let mut x_mean = 0.0;
    let mut y_mean = 0.0;
    for result in results {
        x_mean += result.router_count as f64 / count;
        y_mean += value(result) / count;
    }
    let mut covariance = 0.0;
    let mut variance = 0.0;
    for result in results {
        let x = result.router_count as f64 - x_mean;
        covariance += x * (value(result) - y_mean);
        variance += x * x;
    }
    let slope = if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    };
    y_mean + slope * (DESIGN_ROUTERS - x_mean)
}
