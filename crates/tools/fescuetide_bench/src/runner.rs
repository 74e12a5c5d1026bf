//! Runs a trace and scheduled actions against a dedicated fleet and records the results.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use fescuetide_base::ClockMillis;
use fescuetide_classes::ClassSnapshot;
use fescuetide_standin::journal::JournalLine;
use fescuetide_standin::journal::read_journal;

use crate::action::ActionRecord;
use crate::action::TimedAction;
use crate::action::apply_action;
use crate::caller::CallRecord;
use crate::caller::TraceCaller;
use crate::config::router_table;
use crate::fleet::FleetProcesses;
use crate::fleet::FleetSettings;
use crate::offsets::OffsetSample;
use crate::offsets::OffsetSampler;
use crate::probe::StatusProbe;
use crate::progress::ProgressPrinter;
use crate::progress::RunProgress;
use crate::sampler::LoadSample;
use crate::sampler::LoadSampler;
use crate::sampler::SampleTargets;
use crate::signals::ensure_not_stopped;
use crate::signals::stop_requested;
use crate::trace::TraceCall;

/// Warm-up time. Side processes know the mean load from their second report on, which takes about this long.
const WARM_UP: Duration = Duration::from_millis(1_500);

/// Polling interval of waits.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A run: the fleet, the load and the scheduled actions.
#[derive(Clone, Debug)]
pub struct RunSpec {
    /// Name in tables.
    pub label: String,
    /// The fleet.
    pub fleet: FleetSettings,
    /// The load.
    pub calls: Arc<Vec<TraceCall>>,
    /// Changes and faults, in time order.
    pub actions: Vec<TimedAction>,
    /// Duration of the load, in ms.
    pub span_ms: u64,
    /// Whether to sample the class-log offsets of the routers, which adds control traffic.
    pub watch_offsets: bool,
    /// Counters for the progress output.
    pub progress: Arc<RunProgress>,
}

/// The results of a run.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// Name in tables.
    pub label: String,
    /// Start of the load, in ms since the Unix epoch.
    pub started_ms: u64,
    /// Duration of the load, in ms.
    pub span_ms: u64,
    /// Responses received by callers.
    pub records: Vec<CallRecord>,
    /// Engine loads.
    pub samples: Vec<LoadSample>,
    /// Class-log offsets of the routers.
    pub offsets: Vec<OffsetSample>,
    /// Class tables at the end of the run, from the routers that answered.
    pub tables: Vec<ClassSnapshot>,
    /// Actions performed on the fleet.
    pub actions: Vec<ActionRecord>,
    /// Control bytes per router and second, unless a router was restarted.
    pub control_bytes_per_s: Option<f64>,
    /// Journal lines of all upstreams, in time order.
    pub journal: Vec<JournalLine>,
}

/// Runs `specs` concurrently, each on its own fleet.
///
/// # Errors
///
/// Fails when a fleet cannot be started or an action fails.
pub fn run_all(specs: Vec<RunSpec>) -> anyhow::Result<Vec<RunRecord>> {
    let mut labelled = Vec::new();
    for spec in &specs {
        labelled.push((spec.label.clone(), Arc::clone(&spec.progress)));
    }
    let _printer = ProgressPrinter::start(labelled);
    let mut threads = Vec::new();
    for spec in specs {
        threads.push(thread::spawn(move || run_one(&spec)));
    }
    let mut records = Vec::new();
    let mut first_error = None;
    for thread in threads {
        match thread.join() {
            Ok(Ok(record)) => records.push(record),
            Ok(Err(error)) => first_error = first_error.or(Some(error)),
            Err(_) => anyhow::bail!("a run thread panicked"),
        }
    }
    match first_error {
        Some(error) => Err(error),
        None => Ok(records),
    }
}

/// Runs one spec.
///
/// # Errors
///
/// Fails when the fleet cannot be started or an action fails.
pub fn run_one(spec: &RunSpec) -> anyhow::Result<RunRecord> {
    ensure_not_stopped()?;
    let mut fleet = FleetProcesses::start(spec.fleet.clone())?;
    eprintln!("{}: the fleet is ready", spec.label);
    let targets = SampleTargets::default();
    refresh_targets(&fleet, &targets);
    let sampler = LoadSampler::start(Arc::clone(&targets))?;
    let offsets = match spec.watch_offsets {
        true => Some(OffsetSampler::start(&fleet)?),
        false => None,
    };
    thread::sleep(WARM_UP);
    let control = control_bytes(&fleet);
    let start = Instant::now();
    let started_ms = ClockMillis::now().as_millis();
    let load = LoadGenerator::start(spec, &fleet, start)?;
    let actions = apply_actions(&mut fleet, spec, start, &targets, &load);
    // After a failed action, the load must stop before the fleet does.
    load.stop.store(actions.is_err(), Ordering::Release);
    wait_until(start, spec.span_ms, &load);
    let span = start.elapsed().as_secs_f64();
    let routers = fleet.routers.len() as f64;
    let control_bytes_per_s = match (control, control_bytes(&fleet)) {
        (Some(before), Some(after)) if after >= before => {
            Some((after - before) as f64 / span / routers)
        }
        _ => None,
    };
    let records = load.finish()?;
    let record = RunRecord {
        label: spec.label.clone(),
        started_ms,
        span_ms: spec.span_ms,
        records,
        samples: sampler.finish()?,
        offsets: match offsets {
            Some(offsets) => offsets.finish()?,
            None => Vec::new(),
        },
        tables: if spec.watch_offsets {
            read_tables(&fleet)
        } else {
            Vec::new()
        },
        actions: actions?,
        control_bytes_per_s,
        journal: read_journals(&fleet)?,
    };
    ensure_not_stopped()?;
    eprintln!("{}: done, {} requests", spec.label, record.records.len());
    Ok(record)
}

fn apply_actions(
    fleet: &mut FleetProcesses,
    spec: &RunSpec,
    start: Instant,
    targets: &SampleTargets,
    load: &LoadGenerator,
) -> anyhow::Result<Vec<ActionRecord>> {
    let mut records = Vec::new();
    for timed in &spec.actions {
        wait_until(start, timed.at_ms, load);
        ensure_not_stopped()?;
        let record = apply_action(fleet, &timed.action)?;
        let seconds = start.elapsed().as_secs_f64();
        eprintln!(
            "{}: {seconds:.1} s {:?} {}",
            spec.label, timed.action, record.vm
        );
        records.push(record);
        refresh_targets(fleet, targets);
    }
    Ok(records)
}

fn wait_until(start: Instant, at_ms: u64, load: &LoadGenerator) {
    let until = Duration::from_millis(at_ms);
    while start.elapsed() < until && !stop_requested() && !load.stop.load(Ordering::Acquire) {
        thread::sleep(POLL_INTERVAL.min(until.saturating_sub(start.elapsed())));
    }
}

fn refresh_targets(fleet: &FleetProcesses, targets: &SampleTargets) {
    let mut list = Vec::new();
    for node in &fleet.upstreams {
        if node.vm.role == "engine" && !node.removed {
            list.push(node.vm.control);
        }
    }
    *targets.lock().unwrap_or_else(PoisonError::into_inner) = list;
}

fn control_bytes(fleet: &FleetProcesses) -> Option<u64> {
    let probe = StatusProbe::new().ok()?;
    let mut bytes = 0;
    for router in &fleet.routers {
        bytes += probe.router(router.vm.control).ok()?.control_bytes;
    }
    Some(bytes)
}

fn read_tables(fleet: &FleetProcesses) -> Vec<ClassSnapshot> {
    let mut tables = Vec::new();
    for router in &fleet.routers {
        if let Ok(Some(table)) = router_table(&router.vm) {
            tables.push(table);
        }
    }
    tables
}

fn read_journals(fleet: &FleetProcesses) -> anyhow::Result<Vec<JournalLine>> {
    let mut lines = Vec::new();
    for node in &fleet.upstreams {
        if node.journal.exists() {
            lines.extend(read_journal(&node.journal)?);
        }
    }
    // The sort is stable and preserves the order of lines from the same upstream.
    lines.sort_by_key(|line| line.at_ms);
    Ok(lines)
}

/// Open-loop load generator: a thread that sends each request at its arrival time.
struct LoadGenerator {
    stop: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<CallRecord>>>,
    thread: JoinHandle<()>,
}

impl LoadGenerator {
    fn start(spec: &RunSpec, fleet: &FleetProcesses, start: Instant) -> anyhow::Result<Self> {
        let calls = Arc::clone(&spec.calls);
        let caller = Arc::new(TraceCaller::new(fleet.router_addresses(), &calls));
        let stop = Arc::new(AtomicBool::new(false));
        let records = Arc::new(Mutex::new(Vec::new()));
        let (stop_flag, shared_records) = (Arc::clone(&stop), Arc::clone(&records));
        let progress = Arc::clone(&spec.progress);
        let thread = thread::Builder::new()
            .name("bench-load".to_owned())
            .spawn(move || {
                send_requests(
                    &progress,
                    &calls,
                    &caller,
                    start,
                    (&stop_flag, &shared_records),
                )
            })?;
        Ok(Self {
            stop,
            records,
            thread,
        })
    }

    /// Waits until all requests have completed and returns their records.
    fn finish(self) -> anyhow::Result<Vec<CallRecord>> {
        if self.thread.join().is_err() {
            anyhow::bail!("the load thread panicked");
        }
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(std::mem::take(&mut *records))
    }
}

fn send_requests(
    progress: &Arc<RunProgress>,
    calls: &Arc<Vec<TraceCall>>,
    caller: &Arc<TraceCaller>,
    start: Instant,
    (stop, records): (&AtomicBool, &Arc<Mutex<Vec<CallRecord>>>),
) {
    let mut threads = Vec::new();
    for (index, call) in calls.iter().enumerate() {
        let at = Duration::from_millis(call.at_ms);
        while let Some(left) = at.checked_sub(start.elapsed())
            && !left.is_zero()
        {
            thread::sleep(left.min(POLL_INTERVAL));
        }
        if stop.load(Ordering::Acquire) || stop_requested() {
            break;
        }
        let (calls, caller) = (Arc::clone(calls), Arc::clone(caller));
        let (progress, records) = (Arc::clone(progress), Arc::clone(records));
        progress.sent.fetch_add(1, Ordering::Relaxed);
        progress.in_progress.fetch_add(1, Ordering::Relaxed);
        threads.push(thread::spawn(move || {
            let record = caller.send(index, &calls[index]);
            progress.in_progress.fetch_sub(1, Ordering::Relaxed);
            let mut records = records.lock().unwrap_or_else(PoisonError::into_inner);
            records.push(record);
        }));
    }
    if stop_requested() {
        // The fleet is about to be stopped, so requests in progress are abandoned.
        return;
    }
    for thread in threads {
        let _ = thread.join();
    }
}
