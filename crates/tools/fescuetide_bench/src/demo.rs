//! The demo: a fleet of the brief's size, returning chats for some seconds, and a table of what was measured.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fescuetide_base::ClassName;
use fescuetide_base::SpanMillis;
use fescuetide_classes::ClassTargets;
use fescuetide_classes::LatenessTarget;
use fescuetide_limits::LoadBound;
use fescuetide_wire::api::CallOutcome;
use hdrhistogram::Histogram;

use crate::client::CallerClient;
use crate::client::ChatResult;
use crate::fleet::FleetProcesses;
use crate::fleet::FleetSettings;
use crate::probe::StatusProbe;
use crate::workload::ReturningChat;
use crate::workload::SeededRandom;

/// Interval between samples of the engines' loads.
const SAMPLE_MS: u64 = 100;

/// Interval between progress lines.
const PROGRESS_MS: u64 = 1_000;

/// Settings of the demo.
#[derive(Clone, Debug)]
pub struct DemoSettings {
    /// Seed of the traffic.
    pub seed: u64,
    /// How long traffic is sent.
    pub seconds: u64,
    /// Number of workspaces.
    pub workspaces: usize,
    /// Chats per workspace, each with its own caller thread.
    pub chats: usize,
    /// Words of each workspace's guide.
    pub guide_words: usize,
    /// Longest pause between a chat's turns, in ms.
    pub pause_ms: u64,
}

impl Default for DemoSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            seconds: 10,
            workspaces: 10,
            chats: 8,
            guide_words: 600,
            pause_ms: 800,
        }
    }
}

#[derive(Debug)]
struct TrafficTally {
    outcomes: [u64; 4],
    broken: u64,
    mismatched: u64,
    first_token: Histogram<u64>,
    gap: Histogram<u64>,
    prompt_tokens: u64,
    cached_tokens: u64,
}

impl TrafficTally {
    fn new() -> anyhow::Result<Self> {
        Ok(Self {
            outcomes: [0; 4],
            broken: 0,
            mismatched: 0,
            first_token: Histogram::new(3)?,
            gap: Histogram::new(3)?,
            prompt_tokens: 0,
            cached_tokens: 0,
        })
    }

    fn add(&mut self, result: &ChatResult) {
        match result.outcome {
            Some(outcome) => self.outcomes[outcome as usize] += 1,
            None => self.broken += 1,
        }
        if result.outcome == Some(CallOutcome::Completed) && !result.is_whole {
            self.mismatched += 1;
        }
        if let Some(span) = result.first_token {
            self.first_token.saturating_record(span.as_millis() as u64);
        }
        for span in &result.gaps {
            self.gap.saturating_record(span.as_millis() as u64);
        }
        self.prompt_tokens += result.usage.prompt_tokens;
        self.cached_tokens += result.usage.cached_tokens;
    }

    fn total(&self) -> u64 {
        self.outcomes.iter().sum::<u64>() + self.broken
    }
}

#[derive(Debug, Default)]
struct SkewTally {
    samples: u64,
    max: f64,
    over_cap: u64,
}

/// Runs the demo.
///
/// # Errors
///
/// Fails when the fleet does not start.
pub fn run(settings: &DemoSettings) -> anyhow::Result<()> {
    println!("starting 3 routers, 12 engines, 3 services and the platform's stand-ins");
    let fleet = FleetProcesses::start(FleetSettings {
        classes: vec![chat_class()?],
        ..FleetSettings::default()
    })?;
    let tally = Arc::new(Mutex::new(TrafficTally::new()?));
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for workspace in 0..settings.workspaces {
        for chat in 0..settings.chats {
            let caller = ChatCaller {
                settings: settings.clone(),
                workspace,
                chat,
                routers: fleet.router_addresses(),
                tally: Arc::clone(&tally),
                stop: Arc::clone(&stop),
            };
            callers.push(thread::spawn(move || caller.run()));
        }
    }
    let before = control_bytes(&fleet)?;
    let start = Instant::now();
    let skew = watch(&fleet, settings, &tally)?;
    let after = control_bytes(&fleet)?;
    let span = start.elapsed();
    stop.store(true, Ordering::Release);
    for caller in callers {
        if caller.join().is_err() {
            anyhow::bail!("a caller thread panicked");
        }
    }
    let tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
    let per_router = (after - before) as f64 / span.as_secs_f64() / fleet.routers.len() as f64;
    print_table(&tally, &skew, per_router);
    Ok(())
}

fn chat_class() -> anyhow::Result<(ClassName, ClassTargets)> {
    let targets = ClassTargets {
        lateness: LatenessTarget {
            within: SpanMillis::new(1_900),
            ..LatenessTarget::default()
        },
        repeatable: true,
        ..ClassTargets::default()
    };
    Ok(("slide-rewrite".parse()?, targets))
}

struct ChatCaller {
    settings: DemoSettings,
    workspace: usize,
    chat: usize,
    routers: Vec<SocketAddr>,
    tally: Arc<Mutex<TrafficTally>>,
    stop: Arc<AtomicBool>,
}

impl ChatCaller {
    fn run(self) {
        let settings = &self.settings;
        let mut chat = ReturningChat::new(
            settings.seed,
            self.workspace,
            self.chat,
            "slide-rewrite",
            settings.guide_words,
        );
        let place = (self.workspace * settings.chats + self.chat) as u64;
        let mut random = SeededRandom::new(settings.seed ^ (place << 20));
        let client = CallerClient::default();
        while !self.stop.load(Ordering::Acquire) {
            thread::sleep(Duration::from_millis(random.below(settings.pause_ms)));
            let router = self.routers[random.below(self.routers.len() as u64) as usize];
            let result = client.chat(router, &chat.next_call());
            chat.note_answer(result.is_whole.then_some(result.text.as_str()));
            let mut tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
            tally.add(&result);
        }
    }
}

/// Samples loads and prints progress until the time is over.
fn watch(
    fleet: &FleetProcesses,
    settings: &DemoSettings,
    tally: &Mutex<TrafficTally>,
) -> anyhow::Result<SkewTally> {
    let probe = StatusProbe::new()?;
    let start = Instant::now();
    let mut skew = SkewTally::default();
    let mut progress = Duration::ZERO;
    while start.elapsed() < Duration::from_secs(settings.seconds) {
        thread::sleep(Duration::from_millis(SAMPLE_MS));
        sample_skew(fleet, &probe, &mut skew);
        if start.elapsed() < progress {
            continue;
        }
        progress += Duration::from_millis(PROGRESS_MS);
        let tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
        println!(
            "{:>3} s  {:>6} requests  {:>6} completed",
            start.elapsed().as_secs(),
            tally.total(),
            tally.outcomes[CallOutcome::Completed as usize]
        );
    }
    Ok(skew)
}

fn sample_skew(fleet: &FleetProcesses, probe: &StatusProbe, skew: &mut SkewTally) {
    let mut sum = 0;
    let mut peak = 0;
    let mut count = 0;
    for pair in &fleet.upstreams {
        if pair.vm.role != "engine" {
            continue;
        }
        let Ok(status) = probe.side(pair.vm.control) else {
            continue;
        };

        sum += status.load;
        peak = peak.max(status.load);
        count += 1;
    }
    if sum == 0 {
        return;
    }
    let mean = f64::from(sum) / f64::from(count);
    skew.samples += 1;
    skew.max = skew.max.max(f64::from(peak) / mean);
    if peak > LoadBound::default().cap(mean).get() {
        skew.over_cap += 1;
    }
}

fn control_bytes(fleet: &FleetProcesses) -> anyhow::Result<u64> {
    let probe = StatusProbe::new()?;
    let mut bytes = 0;
    for router in &fleet.routers {
        bytes += probe.router(router.vm.control)?.control_bytes;
    }
    Ok(bytes)
}

fn print_table(tally: &TrafficTally, skew: &SkewTally, control: f64) {
    println!();
    println!("requests                 {}", tally.total());
    for (outcome, count) in [
        CallOutcome::Completed,
        CallOutcome::NotRun,
        CallOutcome::Failed,
        CallOutcome::Unknown,
    ]
    .into_iter()
    .zip(tally.outcomes)
    {
        println!("  {outcome:<22} {count}");
    }
    println!("  broken off             {}", tally.broken);
    println!("  wrong answer           {}", tally.mismatched);
    print_times("first token, ms", &tally.first_token);
    print_times("between tokens, ms", &tally.gap);
    let reuse = tally.cached_tokens as f64 / (tally.prompt_tokens.max(1)) as f64;
    println!("prompt from cache        {reuse:.3}");
    println!(
        "load ÷ mean, highest     {:.2} of {} samples",
        skew.max, skew.samples
    );
    println!("samples above the cap    {}", skew.over_cap);
    println!("control bytes/s/router   {control:.0}");
}

fn print_times(name: &str, histogram: &Histogram<u64>) {
    println!(
        "{name:<24} p50 {}  p95 {}  p99 {}",
        histogram.value_at_quantile(0.50),
        histogram.value_at_quantile(0.95),
        histogram.value_at_quantile(0.99)
    );
}
