//! Named faults and the runs that inject them, alone and in pairs.

use std::str::FromStr;
use std::sync::Arc;

use crate::action::FaultAction;
use crate::action::FaultTarget;
use crate::action::TimedAction;
use crate::action::schedule;
use crate::deployment::DeploymentSettings;
use crate::engines::EnginePerformance;
use crate::experiment::ExperimentOptions;
use crate::runner::RunSpec;
use crate::trace::LoadSpec;
use crate::trace::ResendLoad;
use crate::trace::TraceCall;
use crate::trace::TraceWork;
use crate::trace::build_trace;

/// Number of concurrent runs; each has a fleet of 17 processes.
pub const PARALLEL_RUNS: usize = 4;

/// Chat turns per second. Low, because the fleets are small and the experiment tests faults rather than load.
const CHATS_PER_S: f64 = 8.0;

/// Engines of a fleet.
const ENGINE_COUNT: usize = 4;

/// Time window of the request that crashes engines, in ms. It starts after the first killed engine was restarted and
/// closes long enough before the end of the run.
const CRASH_WINDOW_MS: std::ops::Range<u64> = 3_600..6_000;

/// Service calls per second.
const CALLS_PER_S: f64 = 12.0;

/// A named fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FaultName {
    /// Side processes and an engine are paused for longer than the silence limit.
    Pause,
    /// The log service stops answering, then loses its replies.
    Outage,
    /// Idempotency keys of non-repeatable calls are resent to other routers.
    Once,
    /// An engine and a service crash, and one request crashes every engine that runs it.
    Crash,
    /// Open connections to the side processes of an engine and a service become half-open; new connections work.
    Silent,
    /// A router and side processes receive SIGTERM and are started again.
    Drain,
    /// Operators publish conflicting class changes.
    Config,
    /// A router and side processes are killed and started again.
    Kill,
}

impl FaultName {
    /// All faults.
    pub const ALL: [Self; 8] = [
        Self::Pause,
        Self::Outage,
        Self::Once,
        Self::Crash,
        Self::Silent,
        Self::Drain,
        Self::Config,
        Self::Kill,
    ];

    /// The name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Pause => "pause",
            Self::Outage => "outage",
            Self::Once => "once",
            Self::Crash => "crash",
            Self::Silent => "silent",
            Self::Drain => "drain",
            Self::Config => "config",
            Self::Kill => "kill",
        }
    }

    /// The actions on a fleet of 3 routers, 4 engines and 2 services.
    fn actions(self, class: &str, calls: &[TraceCall]) -> Vec<TimedAction> {
        use FaultTarget::*;
        match self {
            Self::Pause => vec![
                schedule(1_000, FaultAction::Pause(Side(0))),
                schedule(1_500, FaultAction::Pause(Upstream(1))),
                schedule(2_000, FaultAction::Pause(Side(4))),
                schedule(5_500, FaultAction::Resume(Side(0))),
                schedule(5_600, FaultAction::Resume(Upstream(1))),
                schedule(6_000, FaultAction::Resume(Side(4))),
            ],
            Self::Outage => vec![
                schedule(1_200, FaultAction::Pause(Log)),
                schedule(4_200, FaultAction::Resume(Log)),
                schedule(
                    4_600,
                    FaultAction::SetFaults(Log, r#"{"reply_lost":true}"#.to_owned()),
                ),
                schedule(5_600, FaultAction::SetFaults(Log, "{}".to_owned())),
            ],
            Self::Once => Vec::new(),
            Self::Crash => {
                let mut actions = vec![
                    schedule(1_400, FaultAction::Kill(Upstream(0))),
                    schedule(2_400, FaultAction::Kill(Upstream(4))),
                    schedule(3_000, FaultAction::Start(Upstream(0))),
                    schedule(3_400, FaultAction::Start(Upstream(4))),
                    schedule(6_500, FaultAction::Revive),
                ];
                if let Some((sent_ms, word)) = find_crash_marker(calls) {
                    let faults = format!("{{\"crash_marker\":\"{word}\"}}");
                    for index in 0..ENGINE_COUNT {
                        let before_ms = sent_ms.saturating_sub(100);
                        actions.push(schedule(
                            before_ms,
                            FaultAction::SetFaults(Upstream(index), faults.clone()),
                        ));
                    }
                }
                actions
            }
            Self::Silent => {
                let silence = || r#"{"silence_existing":true}"#.to_owned();
                vec![
                    schedule(1_500, FaultAction::SetFaults(Proxy(0), silence())),
                    schedule(2_500, FaultAction::SetFaults(Proxy(4), silence())),
                    schedule(4_000, FaultAction::SetFaults(Proxy(0), silence())),
                ]
            }
            Self::Drain => vec![
                schedule(1_600, FaultAction::Drain(Router(0))),
                schedule(2_600, FaultAction::Start(Router(0))),
                schedule(3_200, FaultAction::Drain(Side(2))),
                schedule(4_200, FaultAction::Start(Side(2))),
                schedule(4_400, FaultAction::Drain(Side(5))),
                schedule(5_000, FaultAction::Start(Side(5))),
            ],
            Self::Config => vec![
                schedule(1_300, FaultAction::RaceChanges(class.to_owned(), 4)),
                schedule(3_300, FaultAction::RaceChanges(class.to_owned(), 4)),
            ],
            Self::Kill => vec![
                schedule(1_700, FaultAction::Kill(Router(1))),
                schedule(2_700, FaultAction::Start(Router(1))),
                schedule(3_100, FaultAction::Kill(Side(3))),
                schedule(3_600, FaultAction::Kill(Side(5))),
                schedule(4_100, FaultAction::Start(Side(3))),
                schedule(4_600, FaultAction::Start(Side(5))),
            ],
        }
    }
}

impl FromStr for FaultName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        for name in Self::ALL {
            if name.as_str() == text {
                return Ok(name);
            }
        }
        Err(format!("{text:?} is not a fault"))
    }
}

/// A word that only one request contains, with the send time of that request. It is the first word of the last message
/// in the last turn of a chat, sent within [`CRASH_WINDOW_MS`].
fn find_crash_marker(calls: &[TraceCall]) -> Option<(u64, String)> {
    for call in calls {
        let TraceWork::Chat { script, turn, .. } = &call.work else {
            continue;
        };
        let is_last = script.messages.len() == turn * 2 + 3;
        if !is_last || !CRASH_WINDOW_MS.contains(&call.at_ms) {
            continue;
        }
        let message = script.prompt(*turn).last()?;
        let word = message.content.split_whitespace().next()?;
        return Some((call.at_ms, word.to_owned()));
    }
    None
}

/// Pairs run by the short form; the full form runs all pairs.
const QUICK_PAIRS: [(FaultName, FaultName); 4] = [
    (FaultName::Pause, FaultName::Outage),
    (FaultName::Once, FaultName::Kill),
    (FaultName::Crash, FaultName::Drain),
    (FaultName::Once, FaultName::Outage),
];

/// The fault sets to run, each on its own fleet.
pub fn fault_sets(only: &[FaultName], quick: bool) -> Vec<Vec<FaultName>> {
    let mut sets = Vec::new();
    if !only.is_empty() {
        sets.extend(only.iter().map(|name| vec![*name]));
        return sets;
    }
    sets.extend(FaultName::ALL.map(|name| vec![name]));
    if quick {
        sets.extend(QUICK_PAIRS.map(|(one, other)| vec![one, other]));
        return sets;
    }
    for (index, one) in FaultName::ALL.into_iter().enumerate() {
        for other in &FaultName::ALL[index + 1..] {
            sets.push(vec![one, *other]);
        }
    }
    sets
}

/// Plans the run of a fault set.
pub fn plan_fault_set(
    options: &ExperimentOptions,
    deployment: &DeploymentSettings,
    set: &[FaultName],
) -> RunSpec {
    let span_ms = if options.quick { 8_000 } else { 12_000 };
    let mut fleet = deployment.fleet.clone();
    fleet.engines = ENGINE_COUNT;
    fleet.services = 2;
    if set.contains(&FaultName::Silent) {
        fleet.proxied = vec![0, 4];
    }
    fleet.engine_options = EnginePerformance::default().options();
    let resends = set.contains(&FaultName::Once).then_some(ResendLoad {
        count: 2,
        within_ms: 400,
    });
    let load = LoadSpec {
        seed: options.seed,
        span_ms,
        chats_per_s: CHATS_PER_S,
        calls_per_s: CALLS_PER_S,
        chat_classes: deployment.chat_classes.clone(),
        call_classes: deployment.call_classes.clone(),
        service_pool: fleet.service_pool.clone(),
        routers: fleet.routers as u64,
        resends,
        ..LoadSpec::default()
    };
    let calls = Arc::new(build_trace(&load));
    let class = &deployment.chat_classes[0].name;
    let mut actions = Vec::new();
    let mut names = Vec::new();
    for name in set {
        actions.extend(name.actions(class, &calls));
        names.push(name.as_str());
    }
    actions.sort_by_key(|timed| timed.at_ms);
    RunSpec {
        label: names.join("+"),
        fleet,
        calls,
        actions,
        span_ms,
        watch_offsets: true,
        progress: Arc::default(),
    }
}
