//! Baseline placement policies that the scheduler is compared with.

use fescuetide_base::SpanMillis;
use fescuetide_base::StableHash;
use fescuetide_base::VmName;
use fescuetide_routing::score_upstream;
use indexmap::IndexMap;

use crate::engine::RunKey;
use crate::random::SeededRng;
use crate::router::ATTEMPT_LIMIT;
use crate::router::EngineResponse;
use crate::router::PlacementPolicy;
use crate::router::RequestOutcome;
use crate::router::RouterCommand;
use crate::router::RouterRequest;

/// The retry delay that a baseline router sends with a refusal.
const BASELINE_RETRY_AFTER: SpanMillis = SpanMillis::new(500);

/// An engine that is ready, and the number of requests this router has sent to it that have not ended.
#[derive(Clone, Debug)]
struct TrackedEngine {
    index: usize,
    hash: u64,
    outstanding: u32,
}

/// Selects engines by a fixed policy. It knows only which engines are ready and the outstanding requests of its own
/// router.
#[derive(Clone, Debug)]
struct EngineSelector {
    policy: PlacementPolicy,
    engines: IndexMap<VmName, TrackedEngine>,
    random: SeededRng,
}

impl EngineSelector {
    fn new(policy: PlacementPolicy, seed: u64) -> Self {
        Self {
            policy,
            engines: IndexMap::new(),
            random: SeededRng::new(seed),
        }
    }

    fn set_engines(&mut self, names: &[(VmName, usize)]) {
        let mut engines = IndexMap::new();
        for (name, index) in names {
            let tracked = self.engines.get(name).cloned();
            let hash = StableHash::hash_bytes(name.as_str().as_bytes());
            engines.insert(
                name.clone(),
                tracked.unwrap_or(TrackedEngine {
                    index: *index,
                    hash,
                    outstanding: 0,
                }),
            );
        }
        self.engines = engines;
    }

    /// Selects an engine other than `tried` for a request with the given prompt prefix.
    fn select(&mut self, prefix_id: u64, tried: Option<usize>) -> Option<usize> {
        let candidates: Vec<usize> = (0..self.engines.len())
            .filter(|position| Some(self.engines[*position].index) != tried)
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let position = match self.policy {
            PlacementPolicy::LeastLoaded => {
                let tie_breaker = self.random.next_u64();
                candidates.into_iter().min_by_key(|position| {
                    let engine = &self.engines[*position];
                    (engine.outstanding, score_upstream(tie_breaker, engine.hash))
                })
            }
            PlacementPolicy::Rendezvous => candidates
                .into_iter()
                .max_by_key(|position| score_upstream(prefix_id, self.engines[*position].hash)),
            PlacementPolicy::Random | PlacementPolicy::Fescuetide => {
                let position = self.random.next_below(candidates.len());
                candidates.get(position).copied()
            }
        }?;
        let engine = &mut self.engines[position];
        engine.outstanding += 1;
        Some(engine.index)
    }

    fn release(&mut self, index: usize) {
        for engine in self.engines.values_mut() {
            if engine.index == index {
                engine.outstanding = engine.outstanding.saturating_sub(1);
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct BaselineRun {
    prefix_id: u64,
    engine: usize,
    attempts: u32,
    is_resumable: bool,
}

/// A router that sends each request immediately to the engine selected by a baseline policy, without queueing.
pub(crate) struct BaselineRouter {
    selector: EngineSelector,
    runs: IndexMap<RunKey, BaselineRun>,
    commands: Vec<RouterCommand>,
}

impl BaselineRouter {
    pub(crate) fn new(policy: PlacementPolicy, seed: u64) -> Self {
        Self {
            selector: EngineSelector::new(policy, seed),
            runs: IndexMap::new(),
            commands: Vec::new(),
        }
    }

    pub(crate) fn set_engines(&mut self, names: &[(VmName, usize)]) {
        self.selector.set_engines(names);
    }

    pub(crate) fn take_commands(&mut self) -> Vec<RouterCommand> {
        std::mem::take(&mut self.commands)
    }

    pub(crate) fn handle_request(&mut self, request: &RouterRequest) {
        let Some(engine) = self.selector.select(request.prefix_id, None) else {
            let outcome = RequestOutcome::Refused(BASELINE_RETRY_AFTER);
            self.commands
                .push(RouterCommand::Finish(request.run, outcome));
            return;
        };
        let run = BaselineRun {
            prefix_id: request.prefix_id,
            engine,
            attempts: 1,
            is_resumable: request.kind.is_resumable,
        };
        self.runs.insert(request.run, run);
        self.send(request.run, engine);
    }

    fn send(&mut self, run: RunKey, engine: usize) {
        self.commands.push(RouterCommand::Send {
            run,
            engine,
            copy_from: None,
        });
    }

    pub(crate) fn handle_response(&mut self, run: RunKey, response: EngineResponse) {
        let Some(state) = self.runs.get(&run).copied() else {
            return;
        };
        let (may_retry, outcome) = match response {
            EngineResponse::Started(_) | EngineResponse::Progress => return,
            EngineResponse::Completed(_) => (false, RequestOutcome::Served),
            EngineResponse::NotConnected | EngineResponse::Full(_) => {
                (true, RequestOutcome::Refused(BASELINE_RETRY_AFTER))
            }
            EngineResponse::Lost => (state.is_resumable, RequestOutcome::Failed),
        };
        self.selector.release(state.engine);
        if may_retry
            && state.attempts < ATTEMPT_LIMIT
            && let Some(engine) = self.selector.select(state.prefix_id, Some(state.engine))
        {
            let next = BaselineRun {
                engine,
                attempts: state.attempts + 1,
                ..state
            };
            self.runs.insert(run, next);
            self.send(run, engine);
            return;
        }
        self.runs.swap_remove(&run);
        self.commands.push(RouterCommand::Finish(run, outcome));
    }
}
