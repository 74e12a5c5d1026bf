//! Simulated routers, which use either the production scheduler or a baseline policy.

use std::fmt;
use std::str::FromStr;

use fescuetide_base::ClockMillis;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_fleet::PoolShare;
use fescuetide_fleet::RouteEntry;
use fescuetide_fleet::SoftwareVersion;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_fleet::UpstreamState;
use fescuetide_fleet::WorkKind;
use fescuetide_flow::AttemptEvent;
use fescuetide_flow::BreakCause;
use fescuetide_flow::DeclineCause;
use fescuetide_flow::FlowAction;
use fescuetide_flow::FlowKey;
use fescuetide_flow::FlowSettings;
use fescuetide_flow::LoadReport;
use fescuetide_flow::ProbeOutcome;
use fescuetide_flow::PromptPart;
use fescuetide_flow::PromptShape;
use fescuetide_flow::RequestScheduler;
use fescuetide_flow::WorkRequest;
use fescuetide_limits::CrashFingerprint;
use indexmap::IndexMap;

use crate::baseline::BaselineRouter;
use crate::engine::SLOTS;
use crate::engine::SubmissionKey;
use crate::pattern::RequestKind;

/// The name of the pool that holds all engines.
const POOL_NAME: &str = "engines";

/// The longest accepted gap between two events of a stream.
const PAUSE_LIMIT: SpanMillis = SpanMillis::new(300);

/// The maximum number of attempts a router makes for one submission of a request.
pub(crate) const ATTEMPT_LIMIT: u32 = 2;

/// The policy by which routers select engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// The production scheduler, [`RequestScheduler`].
    #[default]
    Fescuetide,
    /// A random engine.
    Random,
    /// The engine with the fewest outstanding requests from this router.
    LeastLoaded,
    /// Rendezvous hashing on the shared prompt prefix.
    Rendezvous,
}

impl PlacementPolicy {
    /// All policies.
    pub const ALL: [Self; 4] = [
        Self::Fescuetide,
        Self::Random,
        Self::LeastLoaded,
        Self::Rendezvous,
    ];

    /// The name on the command line and in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Fescuetide => "ours",
            Self::Random => "random",
            Self::LeastLoaded => "least-loaded",
            Self::Rendezvous => "rendezvous",
        }
    }
}

impl fmt::Display for PlacementPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for PlacementPolicy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut policies = Self::ALL.into_iter();
        policies
            .find(|policy| policy.as_str() == text)
            .ok_or_else(|| format!("unknown policy {text:?}"))
    }
}

/// The outcome of one submission of a request to a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    Served,
    /// The router refused the request. The value is the delay after which the caller may retry.
    Refused(SpanMillis),
    Failed,
}

/// A command that the simulation executes for a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RouterCommand {
    Send {
        submission: SubmissionKey,
        engine: usize,
        /// The engine from which the prompt prefix is copied.
        copy_from: Option<usize>,
    },
    Cancel(SubmissionKey),
    /// Find out whether the engine is down.
    Probe(usize),
    Finish(SubmissionKey, RequestOutcome),
}

/// The response of an engine to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineResponse {
    /// The engine is down.
    NotConnected,
    /// The engine has no room for the request.
    Full(LoadReport),
    /// The first event of the stream.
    Started(LoadReport),
    Progress,
    Completed(LoadReport),
    /// The engine stopped before the stream was complete.
    Lost,
}

/// A request that arrives at a router.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouterRequest {
    pub(crate) submission: SubmissionKey,
    pub(crate) kind: RequestKind,
    pub(crate) prefix_id: u64,
    pub(crate) workspace: u64,
    /// The remaining time until the caller gives up.
    pub(crate) remaining_time: SpanMillis,
}

/// A simulated router.
pub(crate) enum RouterModel {
    Scheduler(Box<SchedulerRouter>),
    Baseline(BaselineRouter),
}

impl RouterModel {
    pub(crate) fn new(policy: PlacementPolicy, settings: FlowSettings, number: usize) -> Self {
        match policy {
            PlacementPolicy::Fescuetide => {
                Self::Scheduler(Box::new(SchedulerRouter::new(settings, number)))
            }
            _ => Self::Baseline(BaselineRouter::new(policy, number as u64 + 1)),
        }
    }

    pub(crate) fn handle_request(&mut self, request: &RouterRequest, now: ClockMillis) {
        match self {
            Self::Scheduler(router) => router.handle_request(request, now),
            Self::Baseline(router) => router.handle_request(request),
        }
    }

    pub(crate) fn handle_response(
        &mut self,
        submission: SubmissionKey,
        response: EngineResponse,
        now: ClockMillis,
    ) {
        match self {
            Self::Scheduler(router) => router.handle_response(submission, response, now),
            Self::Baseline(router) => router.handle_response(submission, response),
        }
    }

    pub(crate) fn handle_probe(&mut self, engine: usize, is_down: bool, now: ClockMillis) {
        if let Self::Scheduler(router) = self {
            let outcome = match is_down {
                true => ProbeOutcome::Refused,
                false => ProbeOutcome::Connected,
            };
            let vm = engine_vm_name(engine);
            router.scheduler.note_probe(&vm, outcome, now);
        }
    }

    pub(crate) fn tick(&mut self, now: ClockMillis) {
        if let Self::Scheduler(router) = self {
            router.scheduler.tick(now);
        }
    }

    pub(crate) fn set_engines(&mut self, engines: &[(usize, bool)], now: ClockMillis) {
        match self {
            Self::Scheduler(router) => router.set_engines(engines, now),
            Self::Baseline(router) => {
                let ready = engines.iter().filter(|(_, is_leaving)| !is_leaving);
                let names: Vec<(VmName, usize)> = ready
                    .map(|(index, _)| (engine_vm_name(*index), *index))
                    .collect();
                router.set_engines(&names);
            }
        }
    }

    pub(crate) fn take_commands(&mut self) -> Vec<RouterCommand> {
        match self {
            Self::Scheduler(router) => router.take_commands(),
            Self::Baseline(router) => router.take_commands(),
        }
    }
}

/// Returns the VM name of the engine with this index.
fn engine_vm_name(engine: usize) -> VmName {
    match format!("engine-{engine}").parse() {
        Ok(name) => name,
        Err(_) => unreachable!("the name is valid"),
    }
}

/// A router that uses the production scheduler.
pub(crate) struct SchedulerRouter {
    scheduler: RequestScheduler,
    /// Submissions by the key of the flow, which is the request inside the scheduler.
    submissions: IndexMap<FlowKey, SubmissionKey>,
    keys: IndexMap<SubmissionKey, FlowKey>,
    engines: IndexMap<VmName, usize>,
    /// Submissions whose first event was relayed to the caller.
    started_submissions: IndexMap<SubmissionKey, ()>,
}

impl SchedulerRouter {
    fn new(settings: FlowSettings, number: usize) -> Self {
        let zone = match format!("zone-{}", number % 3).parse() {
            Ok(zone) => zone,
            Err(_) => unreachable!("the name is valid"),
        };
        Self {
            scheduler: RequestScheduler::new(settings, zone),
            submissions: IndexMap::new(),
            keys: IndexMap::new(),
            engines: IndexMap::new(),
            started_submissions: IndexMap::new(),
        }
    }

    fn handle_request(&mut self, request: &RouterRequest, now: ClockMillis) {
        let kind = &request.kind;
        let Ok(pool) = POOL_NAME.parse() else {
            return;
        };
        let route = RouteEntry {
            name: kind.name.to_owned(),
            prefix: "/".to_owned(),
            // A stream that is not resumable must not be sent again once it may have run.
            kind: match kind.is_resumable {
                true => WorkKind::ResumableStream,
                false => WorkKind::OnceStream,
            },
            time_limit: SpanMillis::new(kind.timeout_ms),
            late_after: SpanMillis::new(kind.latency_target_ms),
            pause_limit: Some(PAUSE_LIMIT),
            priority: kind.priority,
            attempt_limit: ATTEMPT_LIMIT,
            is_public: false,
            has_common_prefixes: true,
            pools: vec![PoolShare { pool, weight: 1 }],
        };
        let part = |id, tokens| PromptPart { id, tokens };
        let work = WorkRequest {
            workspace: request.workspace,
            fingerprint: CrashFingerprint::of_parts(&[&request.submission.0.to_le_bytes()]),
            prompt: PromptShape {
                parts: vec![
                    part(request.prefix_id, kind.prefix_tokens),
                    // The bitwise complement serves as a unique id for the rest of the prompt.
                    part(!request.submission.0, kind.unique_tokens),
                ],
            },
            ..WorkRequest::of_route(&route, now, Some(request.remaining_time))
        };
        let key = self.scheduler.arrive(work, now);
        self.submissions.insert(key, request.submission);
        self.keys.insert(request.submission, key);
    }

    fn handle_response(
        &mut self,
        submission: SubmissionKey,
        response: EngineResponse,
        now: ClockMillis,
    ) {
        let Some(key) = self.keys.get(&submission).copied() else {
            return;
        };
        if response != EngineResponse::NotConnected {
            // Sending takes no simulated time. The scheduler ignores this event after the first one of an attempt.
            self.scheduler.note_attempt(key, AttemptEvent::Sent, now);
        }
        let event = match response {
            EngineResponse::NotConnected => AttemptEvent::Broken(BreakCause::Refused),
            EngineResponse::Full(load) => AttemptEvent::Declined(DeclineCause::Full, Some(load)),
            EngineResponse::Started(load) => AttemptEvent::StreamStarted(Some(load)),
            EngineResponse::Progress => AttemptEvent::StreamProgress,
            EngineResponse::Completed(load) => AttemptEvent::Completed {
                status: 200,
                load: Some(load),
            },
            EngineResponse::Lost => AttemptEvent::Broken(BreakCause::Closed),
        };
        self.scheduler.note_attempt(key, event, now);
    }

    fn set_engines(&mut self, engines: &[(usize, bool)], now: ClockMillis) {
        let mut entries = Vec::with_capacity(engines.len());
        for (index, is_leaving) in engines {
            let name = engine_vm_name(*index);
            self.engines.insert(name.clone(), *index);
            let zone = format!("zone-{}", index % 3);
            let (Ok(pool), Ok(zone)) = (POOL_NAME.parse(), zone.parse()) else {
                continue;
            };
            entries.push(UpstreamEntry {
                name,
                incarnation: ProcessIncarnation::new(1),
                pool,
                address: ([127, 0, 0, 1], 1).into(),
                zone,
                version: SoftwareVersion::default(),
                slots: SLOTS,
                state: match is_leaving {
                    true => UpstreamState::Leaving,
                    false => UpstreamState::Ready,
                },
            });
        }
        self.scheduler.set_upstreams(&entries, now);
    }

    fn take_commands(&mut self) -> Vec<RouterCommand> {
        let mut commands = Vec::new();
        while let Some(action) = self.scheduler.next_action() {
            match action {
                FlowAction::Send(command) => {
                    let engine = self.engines.get(&command.upstream).copied();
                    let submission = self.submissions.get(&command.key).copied();
                    if let (Some(submission), Some(engine)) = (submission, engine) {
                        let copy_from = command.copy_from.as_ref();
                        let copy_from = copy_from.and_then(|vm| self.engines.get(vm)).copied();
                        commands.push(RouterCommand::Send {
                            submission,
                            engine,
                            copy_from,
                        });
                    }
                }
                FlowAction::Cancel(key) => {
                    commands.extend(
                        self.submissions
                            .get(&key)
                            .copied()
                            .map(RouterCommand::Cancel),
                    );
                }
                FlowAction::Relay(key) => {
                    let Some(submission) = self.submissions.get(&key).copied() else {
                        continue;
                    };
                    // A stream is relayed twice: when it starts and when it is complete.
                    if self.started_submissions.insert(submission, ()).is_some() {
                        commands.extend(self.finish(key, RequestOutcome::Served));
                    }
                }
                FlowAction::Refuse(key, refusal) => {
                    commands.extend(self.finish(key, RequestOutcome::Refused(refusal.retry_after)));
                }
                FlowAction::Probe(vm) => {
                    commands.extend(self.engines.get(&vm).copied().map(RouterCommand::Probe));
                }
                // The model has one version.
                FlowAction::SeekOrigin(_)
                | FlowAction::TellOrigin(..)
                | FlowAction::RecordVersion(_)
                | FlowAction::ForgetVersion(_) => {}
                FlowAction::Fail(key, _) => {
                    commands.extend(self.finish(key, RequestOutcome::Failed))
                }
            }
        }
        commands
    }

    fn finish(&mut self, key: FlowKey, outcome: RequestOutcome) -> Option<RouterCommand> {
        let submission = self.submissions.swap_remove(&key)?;
        self.keys.swap_remove(&submission);
        self.started_submissions.swap_remove(&submission);
        Some(RouterCommand::Finish(submission, outcome))
    }
}
