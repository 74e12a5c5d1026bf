//! What happens to engines and routers in the patterns.

use super::ModelEvent;
use super::ModelRun;
use crate::engine::EngineModel;
use crate::engine::EngineState;
use crate::engine::RunKey;
use crate::pattern::LoadPattern;
use crate::router::RouterModel;
use crate::router::RunEnd;
use crate::router::SendNews;

/// How long the entry of an engine that went down stays: three heartbeats.
const LAPSE_US: u64 = 3_600_000;

/// How long an engine that leaves goes on.
const LEAVE_US: u64 = 3_000_000;

/// The pause between two engines that leave.
const LEAVE_GAP_US: u64 = 1_500_000;

/// The pause between two routers that start anew, and how long each is away.
const RESTART_GAP_US: u64 = 1_500_000;
const RESTART_US: u64 = 500_000;

impl ModelRun {
    pub(super) fn begin_event(&mut self) {
        let count = self.engines.len();
        match self.settings.pattern {
            LoadPattern::EnginesLost => {
                for engine in 0..count / 4 {
                    self.lose_engine(engine);
                    self.plan(LAPSE_US, ModelEvent::Lapse(engine));
                }
            }
            LoadPattern::EnginesSlow => {
                for engine in &mut self.engines[..count / 4] {
                    engine.slowness = 4.0;
                }
            }
            LoadPattern::EnginesLeaving => {
                for engine in 0..count / 3 {
                    let after = LEAVE_GAP_US * engine as u64;
                    self.plan(after, ModelEvent::Leave(engine));
                }
            }
            LoadPattern::RoutersLost => {
                for router in 0..self.routers.len() / 2 {
                    self.lose_router(router);
                }
            }
            LoadPattern::RoutersRestarted => {
                for router in 1..self.routers.len() {
                    let after = RESTART_GAP_US * router as u64;
                    self.plan(after, ModelEvent::Restart(router));
                }
            }
            _ => {}
        }
    }

    pub(super) fn end_event(&mut self) {
        for engine in &mut self.engines {
            engine.slowness = 1.0;
        }
    }

    /// A new engine joins, and an old one leaves.
    pub(super) fn leave(&mut self, engine: usize) {
        self.engines.push(EngineModel::new());
        self.entries.insert(self.engines.len() - 1, false);
        self.engines[engine].state = EngineState::Leaving;
        self.entries.insert(engine, true);
        self.tell_entries();
        self.plan(LEAVE_US, ModelEvent::Gone(engine));
    }

    pub(super) fn lose_engine(&mut self, engine: usize) {
        if self.engines[engine].state == EngineState::Leaving {
            self.entries.swap_remove(&engine);
            self.tell_entries();
        }
        let now = self.now();
        for run in self.engines[engine].go_down() {
            let Some(index) = self.runs.get(&run).copied() else {
                continue;
            };
            let router = self.requests[index].router;
            self.routers[router].note(run, SendNews::Lost, now);
        }
    }

    pub(super) fn restart_router(&mut self, router: usize) {
        self.lose_router(router);
        self.plan(RESTART_US, ModelEvent::Return(router));
    }

    /// A router is back. It knows nothing but the entries.
    pub(super) fn return_router(&mut self, router: usize) {
        let settings = &self.settings;
        self.routers[router] = RouterModel::new(settings.policy, settings.flow, router);
        self.alive[router] = true;
        self.tell_entries();
    }

    pub(super) fn lose_router(&mut self, router: usize) {
        let lost: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, index)| self.requests[**index].router == router)
            .map(|(run, _)| *run)
            .collect();
        self.alive[router] = false;
        for run in lost {
            self.cancel(run);
            self.end_run(run, RunEnd::Failed);
        }
    }
}
