//! Plain ways to choose an engine, to compare with.

use fescuetide_base::VmName;
use fescuetide_routing::score_upstream;
use indexmap::IndexMap;

use crate::random::ModelRandom;
use crate::router::PlacePolicy;

/// An engine as a baseline sees it.
#[derive(Clone, Debug)]
struct KnownEngine {
    index: usize,
    hash: u64,
    outstanding: u32,
}

/// A router that sends at once by a simple rule. It knows which engines are ready, and its own outstanding requests.
#[derive(Clone, Debug)]
pub(crate) struct BaselineRouter {
    policy: PlacePolicy,
    engines: IndexMap<VmName, KnownEngine>,
    random: ModelRandom,
}

impl BaselineRouter {
    pub(crate) fn new(policy: PlacePolicy, seed: u64) -> Self {
        Self {
            policy,
            engines: IndexMap::new(),
            random: ModelRandom::new(seed),
        }
    }

    pub(crate) fn set_engines(&mut self, names: &[(VmName, usize)]) {
        let mut engines = IndexMap::new();
        for (name, index) in names {
            let known = self.engines.get(name).cloned();
            let hash = fescuetide_base::StableHash::of_bytes(name.as_str().as_bytes());
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
    pub(crate) fn choose(&mut self, shared: u64, tried: Option<usize>) -> Option<usize> {
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

    pub(crate) fn note_over(&mut self, index: usize) {
        for engine in self.engines.values_mut() {
            if engine.index == index {
                engine.outstanding = engine.outstanding.saturating_sub(1);
            }
        }
    }
}
