//! Incidents of the load patterns: engines and routers that stop, slow down, leave or restart.

use super::Simulation;
use super::SimulationEvent;
use crate::engine::EngineModel;
use crate::engine::EngineState;
use crate::engine::SubmissionKey;
use crate::pattern::LoadPattern;
use crate::router::EngineResponse;
use crate::router::RequestOutcome;
use crate::router::RouterModel;

/// How long a crashed engine stays in the list that the routers receive, in microseconds: three heartbeat intervals of
/// 1.2 s.
const ENGINE_EXPIRY_US: u64 = 3_600_000;

/// How long a leaving engine keeps running, in microseconds. The requests that it still has are then lost.
const LEAVE_DURATION_US: u64 = 3_000_000;

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
                    self.schedule(ENGINE_EXPIRY_US, SimulationEvent::EngineExpiry(engine));
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
                    self.schedule(after, SimulationEvent::RouterRestartStart(router));
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

    /// Marks an engine as leaving and adds a new one in its place.
    pub(super) fn replace_engine(&mut self, engine: usize) {
        self.engines.push(EngineModel::new());
        self.engine_list.insert(self.engines.len() - 1, false);
        self.engines[engine].state = EngineState::Leaving;
        self.engine_list.insert(engine, true);
        self.publish_engine_list();
        self.schedule(LEAVE_DURATION_US, SimulationEvent::EngineStop(engine));
    }

    pub(super) fn stop_engine(&mut self, engine: usize) {
        if self.engines[engine].state == EngineState::Leaving {
            self.engine_list.swap_remove(&engine);
            self.publish_engine_list();
        }
        let now = self.now();
        for submission in self.engines[engine].stop() {
            let Some(index) = self.submissions.get(&submission).copied() else {
                continue;
            };
            let router = self.requests[index].router;
            self.routers[router].handle_response(submission, EngineResponse::Lost, now);
        }
    }

    pub(super) fn start_router_restart(&mut self, router: usize) {
        self.stop_router(router);
        self.schedule(
            RESTART_DOWNTIME_US,
            SimulationEvent::RouterRestartEnd(router),
        );
    }

    /// Brings a router back without its former state; it gets only the list of engines.
    pub(super) fn end_router_restart(&mut self, router: usize) {
        let settings = &self.settings;
        self.routers[router] = RouterModel::new(settings.policy, settings.scheduler, router);
        self.router_alive[router] = true;
        self.publish_engine_list();
    }

    pub(super) fn stop_router(&mut self, router: usize) {
        let lost: Vec<SubmissionKey> = self
            .submissions
            .iter()
            .filter(|(_, index)| self.requests[**index].router == router)
            .map(|(submission, _)| *submission)
            .collect();
        self.router_alive[router] = false;
        for submission in lost {
            self.cancel(submission);
            self.finish_request(submission, RequestOutcome::Failed);
        }
    }
}
