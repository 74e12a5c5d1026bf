//! Plain ways to choose an engine, to compare with.

use fescuetide_base::SpanMillis;
use fescuetide_base::StableHash;
use fescuetide_base::VmName;
use fescuetide_routing::score_upstream;
use indexmap::IndexMap;

use crate::engine::RunKey;
use crate::random::ModelRandom;
use crate::router::ATTEMPT_LIMIT;
use crate::router::PlacePolicy;
use crate::router::RouterOrder;
use crate::router::RouterRequest;
use crate::router::RunEnd;
use crate::router::SendNews;

/// When a baseline tells a caller to come again.
const BASELINE_RETRY: SpanMillis = SpanMillis::new(500);

/// An engine as a baseline sees it.
#[derive(Clone, Debug)]
struct KnownEngine {
    index: usize,
    hash: u64,
    outstanding: u32,
}

/// A router that sends at once by a simple rule. It knows which engines are ready, and its own outstanding requests.
#[derive(Clone, Debug)]
struct BaselineRouter {
    policy: PlacePolicy,
    engines: IndexMap<VmName, KnownEngine>,
    random: ModelRandom,
}

impl BaselineRouter {
    fn new(policy: PlacePolicy, seed: u64) -> Self {
        Self {
            policy,
            engines: IndexMap::new(),
            random: ModelRandom::new(seed),
        }
    }

    fn set_engines(&mut self, names: &[(VmName, usize)]) {
        let mut engines = IndexMap::new();
        for (name, index) in names {
            let known = self.engines.get(name).cloned();
            let hash = StableHash::hash_bytes(name.as_str().as_bytes());
            engines.insert(
                name.clone(),
                known.unwrap_or(KnownEngine {
                    index: *index,
                    hash,
                    outstanding: 0,
                }),
            );
        }
        self.engines = engines;
    }

    /// Chooses an engine for a request with a shared part, other than `tried`.
    fn choose(&mut self, shared: u64, tried: Option<usize>) -> Option<usize> {
        let open: Vec<usize> = (0..self.engines.len())
            .filter(|place| Some(self.engines[*place].index) != tried)
            .collect();
        if open.is_empty() {
            return None;
        }
        let place = match self.policy {
            PlacePolicy::LeastLoaded => {
                let turn = self.random.next();
                open.into_iter().min_by_key(|place| {
                    let engine = &self.engines[*place];
                    (engine.outstanding, score_upstream(turn, engine.hash))
                })
            }
            PlacePolicy::Rendezvous => open
                .into_iter()
                .max_by_key(|place| score_upstream(shared, self.engines[*place].hash)),
            PlacePolicy::Random | PlacePolicy::Ours => {
                let place = self.random.below(open.len());
                open.get(place).copied()
            }
        }?;
        let engine = &mut self.engines[place];
        engine.outstanding += 1;
        Some(engine.index)
    }

    fn note_over(&mut self, index: usize) {
        for engine in self.engines.values_mut() {
            if engine.index == index {
                engine.outstanding = engine.outstanding.saturating_sub(1);
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct BaselineRun {
    shared: u64,
    engine: usize,
    attempts: u32,
    is_resumable: bool,
}

/// A baseline with its requests.
pub(crate) struct BaselineState {
    router: BaselineRouter,
    runs: IndexMap<RunKey, BaselineRun>,
    orders: Vec<RouterOrder>,
}

impl BaselineState {
    pub(crate) fn new(policy: PlacePolicy, seed: u64) -> Self {
        Self {
            router: BaselineRouter::new(policy, seed),
            runs: IndexMap::new(),
            orders: Vec::new(),
        }
    }

    pub(crate) fn set_engines(&mut self, names: &[(VmName, usize)]) {
        self.router.set_engines(names);
    }

    pub(crate) fn take_orders(&mut self) -> Vec<RouterOrder> {
        std::mem::take(&mut self.orders)
    }

    pub(crate) fn arrive(&mut self, request: &RouterRequest) {
        let Some(engine) = self.router.choose(request.shared, None) else {
            let end = RunEnd::Refused(BASELINE_RETRY);
            self.orders.push(RouterOrder::End(request.run, end));
            return;
        };
        let run = BaselineRun {
            shared: request.shared,
            engine,
            attempts: 1,
            is_resumable: request.kind.is_resumable,
        };
        self.runs.insert(request.run, run);
        self.send(request.run, engine);
    }

    fn send(&mut self, run: RunKey, engine: usize) {
        self.orders.push(RouterOrder::Send {
            run,
            engine,
            copy_from: None,
        });
    }

    pub(crate) fn note(&mut self, run: RunKey, news: SendNews) {
        let Some(state) = self.runs.get(&run).copied() else {
            return;
        };
        let (may_retry, end) = match news {
            SendNews::Began(_) | SendNews::Event => return,
            SendNews::Done(_) => (false, RunEnd::Served),
            SendNews::NotConnected | SendNews::Full(_) => (true, RunEnd::Refused(BASELINE_RETRY)),
            SendNews::Lost => (state.is_resumable, RunEnd::Failed),
        };
        self.router.note_over(state.engine);
        if may_retry
            && state.attempts < ATTEMPT_LIMIT
            && let Some(engine) = self.router.choose(state.shared, Some(state.engine))
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
        self.orders.push(RouterOrder::End(run, end));
    }
}
