//! Incidents of the load patterns: engines and routers that stop, slow down, leave or restart.

use super::Simulation;
use super::SimulationEvent;
use crate::engine::EngineModel;
use crate::engine::EngineState;
use crate::engine::RunKey;
use crate::pattern::LoadPattern;
use crate::router::EngineResponse;
use crate::router::RequestOutcome;
use crate::router::RouterModel;

/// How long the entry of a crashed engine stays published, in microseconds: three heartbeats.
const ENTRY_EXPIRY_US: u64 = 3_600_000;

/// How long a leaving engine keeps running, in microseconds.
const DRAIN_US: u64 = 3_000_000;

/// The interval between two engines that start to leave, in microseconds.
const LEAVE_INTERVAL_US: u64 = 1_500_000;

/// The interval between the restarts of two routers, in microseconds.
const RESTART_INTERVAL_US: u64 = 1_500_000;

/// How long a router is down during a restart, in microseconds.
const RESTART_DOWNTIME_US: u64 = 500_000;

impl Simulation {
    pub(super) fn start_incident(&mut self) {
        let count = self.engines.len();
        match self.settings.pattern {
            LoadPattern::EnginesLost => {
                for engine in 0..count / 4 {
                    self.stop_engine(engine);
                    self.schedule(ENTRY_EXPIRY_US, SimulationEvent::EntryExpiry(engine));
                }
            }
            LoadPattern::EnginesSlow => {
                for engine in &mut self.engines[..count / 4] {
                    engine.slowdown = 4.0;
                }
            }
            LoadPattern::EnginesLeaving => {
                for engine in 0..count / 3 {
                    let after = LEAVE_INTERVAL_US * engine as u64;
                    self.schedule(after, SimulationEvent::EngineLeave(engine));
                }
            }
            LoadPattern::RoutersLost => {
                for router in 0..self.routers.len() / 2 {
                    self.stop_router(router);
                }
            }
            LoadPattern::RoutersRestarted => {
                for router in 1..self.routers.len() {
                    let after = RESTART_INTERVAL_US * router as u64;
                    self.schedule(after, SimulationEvent::RouterRestart(router));
                }
            }
            _ => {}
        }
    }

    pub(super) fn end_incident(&mut self) {
        for engine in &mut self.engines {
            engine.slowdown = 1.0;
        }
    }

    /// Adds a new engine and marks an old one as leaving.
    pub(super) fn replace_engine(&mut self, engine: usize) {
        self.engines.push(EngineModel::new());
        self.entries.insert(self.engines.len() - 1, false);
        self.engines[engine].state = EngineState::Leaving;
        self.entries.insert(engine, true);
        self.publish_entries();
        self.schedule(DRAIN_US, SimulationEvent::EngineStop(engine));
    }

    pub(super) fn stop_engine(&mut self, engine: usize) {
        if self.engines[engine].state == EngineState::Leaving {
            self.entries.swap_remove(&engine);
            self.publish_entries();
        }
        let now = self.now();
        for run in self.engines[engine].stop() {
            let Some(index) = self.runs.get(&run).copied() else {
                continue;
            };
            let router = self.requests[index].router;
            self.routers[router].handle_response(run, EngineResponse::Lost, now);
        }
    }

    pub(super) fn restart_router(&mut self, router: usize) {
        self.stop_router(router);
        self.schedule(RESTART_DOWNTIME_US, SimulationEvent::RouterReturn(router));
    }

    /// Brings a router back without its former state; it gets only the published entries.
    pub(super) fn finish_router_restart(&mut self, router: usize) {
        let settings = &self.settings;
        self.routers[router] = RouterModel::new(settings.policy, settings.flow, router);
        self.alive[router] = true;
        self.publish_entries();
    }

    pub(super) fn stop_router(&mut self, router: usize) {
        let lost: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, index)| self.requests[**index].router == router)
            .map(|(run, _)| *run)
            .collect();
        self.alive[router] = false;
        for run in lost {
            self.cancel(run);
            self.finish_request(run, RequestOutcome::Failed);
        }
    }
}
