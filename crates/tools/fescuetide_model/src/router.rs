//! Routers of the model: the decisions of the product, or a baseline.

use std::fmt;
use std::str::FromStr;

use fescuetide_base::ClockMillis;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_fleet::PoolShare;
use fescuetide_fleet::RouteEntry;
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
use fescuetide_flow::PromptPart;
use fescuetide_flow::PromptShape;
use fescuetide_flow::RequestScheduler;
use fescuetide_flow::WorkRequest;
use indexmap::IndexMap;

use crate::baseline::BaselineState;
use crate::engine::RunKey;
use crate::engine::SLOTS;
use crate::pattern::RequestKind;

/// The pool of all engines.
const POOL: &str = "engines";

/// Most engines that a request is sent to.
pub(crate) const ATTEMPT_LIMIT: u32 = 2;

/// How engines are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacePolicy {
    /// The decisions of the product.
    #[default]
    Ours,
    /// Any engine.
    Random,
    /// The engine with the fewest outstanding requests of the router.
    LeastLoaded,
    /// Rendezvous hashing on the shared part of the prompt.
    Rendezvous,
}

impl PlacePolicy {
    /// All policies.
    pub const ALL: [Self; 4] = [
        Self::Ours,
        Self::Random,
        Self::LeastLoaded,
        Self::Rendezvous,
    ];

    /// Its name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::Random => "random",
            Self::LeastLoaded => "least-loaded",
            Self::Rendezvous => "rendezvous",
        }
    }
}

impl fmt::Display for PlacePolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for PlacePolicy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut policies = Self::ALL.into_iter();
        policies
            .find(|policy| policy.as_str() == text)
            .ok_or_else(|| format!("{text:?} is not a policy"))
    }
}

/// How a request ended at its router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    Served,
    Refused(SpanMillis),
    Failed,
}

/// What a router wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RouterOrder {
    Send {
        run: RunKey,
        engine: usize,
        copy_from: Option<usize>,
    },
    Cancel(RunKey),
    End(RunKey, RunEnd),
}

/// What comes of a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendNews {
    NotConnected,
    Full(LoadReport),
    /// The first event.
    Began(LoadReport),
    Event,
    Done(LoadReport),
    /// The engine went down.
    Lost,
}

/// A request that comes to a router.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouterRequest {
    pub(crate) run: RunKey,
    pub(crate) kind: RequestKind,
    pub(crate) shared: u64,
    pub(crate) workspace: u64,
    /// What is left of the time that its caller waits.
    pub(crate) limit: SpanMillis,
}

/// One router.
pub(crate) enum RouterModel {
    Core(Box<CoreRouter>),
    Baseline(BaselineState),
}

impl RouterModel {
    pub(crate) fn new(policy: PlacePolicy, settings: FlowSettings, number: usize) -> Self {
        match policy {
            PlacePolicy::Ours => Self::Core(Box::new(CoreRouter::new(settings, number))),
            _ => Self::Baseline(BaselineState::new(policy, number as u64 + 1)),
        }
    }

    pub(crate) fn arrive(&mut self, request: &RouterRequest, now: ClockMillis) {
        match self {
            Self::Core(core) => core.arrive(request, now),
            Self::Baseline(state) => state.arrive(request),
        }
    }

    pub(crate) fn note(&mut self, run: RunKey, news: SendNews, now: ClockMillis) {
        match self {
            Self::Core(core) => core.note(run, news, now),
            Self::Baseline(state) => state.note(run, news),
        }
    }

    pub(crate) fn tick(&mut self, now: ClockMillis) {
        if let Self::Core(core) = self {
            core.flow.tick(now);
        }
    }

    pub(crate) fn set_engines(&mut self, engines: &[(usize, bool)], now: ClockMillis) {
        match self {
            Self::Core(core) => core.set_engines(engines, now),
            Self::Baseline(state) => {
                let ready = engines.iter().filter(|(_, is_leaving)| !is_leaving);
                let names: Vec<(VmName, usize)> =
                    ready.map(|(index, _)| (name_of(*index), *index)).collect();
                state.set_engines(&names);
            }
        }
    }

    pub(crate) fn take_orders(&mut self) -> Vec<RouterOrder> {
        match self {
            Self::Core(core) => core.take_orders(),
            Self::Baseline(state) => state.take_orders(),
        }
    }
}

/// The name of an engine's VM.
fn name_of(engine: usize) -> VmName {
    match format!("engine-{engine}").parse() {
        Ok(name) => name,
        Err(_) => unreachable!("the name is valid"),
    }
}

/// A router with the product's decisions.
pub(crate) struct CoreRouter {
    flow: RequestScheduler,
    runs: IndexMap<FlowKey, RunKey>,
    keys: IndexMap<RunKey, FlowKey>,
    engines: IndexMap<VmName, usize>,
    /// Streams of which the caller has the first event.
    begun: IndexMap<RunKey, ()>,
}

impl CoreRouter {
    fn new(settings: FlowSettings, number: usize) -> Self {
        let zone = match format!("zone-{}", number % 3).parse() {
            Ok(zone) => zone,
            Err(_) => unreachable!("the name is valid"),
        };
        Self {
            flow: RequestScheduler::new(settings, zone),
            runs: IndexMap::new(),
            keys: IndexMap::new(),
            engines: IndexMap::new(),
            begun: IndexMap::new(),
        }
    }

    fn arrive(&mut self, request: &RouterRequest, now: ClockMillis) {
        let kind = &request.kind;
        let Ok(pool) = POOL.parse() else {
            return;
        };
        let route = RouteEntry {
            name: kind.name.to_owned(),
            prefix: "/".to_owned(),
            kind: match kind.is_resumable {
                true => WorkKind::ResumableStream,
                false => WorkKind::OnceStream,
            },
            time_limit: SpanMillis::new(kind.limit_ms),
            late_after: SpanMillis::new(kind.target_ms),
            pause_limit: Some(SpanMillis::new(300)),
            priority: kind.rank,
            attempt_limit: ATTEMPT_LIMIT,
            is_public: false,
            has_common_prefixes: true,
            pools: vec![PoolShare { pool, weight: 1 }],
        };
        let part = |id, tokens| PromptPart { id, tokens };
        let work = WorkRequest {
            workspace: request.workspace,
            prompt: PromptShape {
                parts: vec![
                    part(request.shared, kind.shared_tokens),
                    part(!request.run.0, kind.own_tokens),
                ],
            },
            ..WorkRequest::of_route(&route, now, Some(request.limit))
        };
        let key = self.flow.arrive(work, now);
        self.runs.insert(key, request.run);
        self.keys.insert(request.run, key);
    }

    fn note(&mut self, run: RunKey, news: SendNews, now: ClockMillis) {
        let Some(key) = self.keys.get(&run).copied() else {
            return;
        };
        if news != SendNews::NotConnected {
            self.flow.note_attempt(key, AttemptEvent::Sent, now);
        }
        let event = match news {
            SendNews::NotConnected => AttemptEvent::Broken(BreakCause::NotConnected),
            SendNews::Full(load) => AttemptEvent::Declined(DeclineCause::Full, Some(load)),
            SendNews::Began(load) => AttemptEvent::StreamStarted(Some(load)),
            SendNews::Event => AttemptEvent::StreamProgress,
            SendNews::Done(load) => AttemptEvent::Completed {
                status: 200,
                load: Some(load),
            },
            SendNews::Lost => AttemptEvent::Broken(BreakCause::Closed),
        };
        self.flow.note_attempt(key, event, now);
    }

    fn set_engines(&mut self, engines: &[(usize, bool)], now: ClockMillis) {
        let mut entries = Vec::with_capacity(engines.len());
        for (index, is_leaving) in engines {
            let name = name_of(*index);
            self.engines.insert(name.clone(), *index);
            let zone = format!("zone-{}", index % 3);
            let (Ok(pool), Ok(zone)) = (POOL.parse(), zone.parse()) else {
                continue;
            };
            entries.push(UpstreamEntry {
                name,
                incarnation: ProcessIncarnation::new(1),
                pool,
                address: ([127, 0, 0, 1], 1).into(),
                zone,
                slots: SLOTS,
                state: match is_leaving {
                    true => UpstreamState::Leaving,
                    false => UpstreamState::Ready,
                },
            });
        }
        self.flow.set_upstreams(&entries, now);
    }

    fn take_orders(&mut self) -> Vec<RouterOrder> {
        let mut orders = Vec::new();
        while let Some(action) = self.flow.next_action() {
            match action {
                FlowAction::Send(order) => {
                    let engine = self.engines.get(&order.upstream).copied();
                    let run = self.runs.get(&order.key).copied();
                    if let (Some(run), Some(engine)) = (run, engine) {
                        let copy_from = order.copy_from.as_ref();
                        let copy_from = copy_from.and_then(|vm| self.engines.get(vm)).copied();
                        orders.push(RouterOrder::Send {
                            run,
                            engine,
                            copy_from,
                        });
                    }
                }
                FlowAction::Cancel(key) => {
                    orders.extend(self.runs.get(&key).copied().map(RouterOrder::Cancel));
                }
                FlowAction::Relay(key) => {
                    let Some(run) = self.runs.get(&key).copied() else {
                        continue;
                    };
                    if self.begun.insert(run, ()).is_some() {
                        orders.extend(self.end(key, RunEnd::Served));
                    }
                }
                FlowAction::Refuse(key, refusal) => {
                    orders.extend(self.end(key, RunEnd::Refused(refusal.retry_after)));
                }
                FlowAction::Fail(key, _) => orders.extend(self.end(key, RunEnd::Failed)),
            }
        }
        orders
    }

    fn end(&mut self, key: FlowKey, end: RunEnd) -> Option<RouterOrder> {
        let run = self.runs.swap_remove(&key)?;
        self.keys.swap_remove(&run);
        self.begun.swap_remove(&run);
        Some(RouterOrder::End(run, end))
    }
}
