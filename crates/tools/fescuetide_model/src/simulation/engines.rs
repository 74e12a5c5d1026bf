//! Engine steps and load measurements.

use super::Simulation;
use super::SimulationEvent;
use crate::engine::EngineState;
use crate::engine::StepOutput;
use crate::router::EngineResponse;

/// The load cap of an engine is the mean load times `CAP_FACTOR`, plus `CAP_ALLOWANCE` requests.
const CAP_FACTOR: f64 = 2.0;

/// See [`CAP_FACTOR`].
const CAP_ALLOWANCE: f64 = 3.0;

impl Simulation {
    /// Counts a send, and whether the load of the engine is above the cap set by the operators.
    pub(super) fn count_send(&mut self, engine: usize) {
        let (mean, _) = self.ready_engine_load();
        self.sends += 1;
        let cap = CAP_FACTOR * mean + CAP_ALLOWANCE;
        self.sends_over_cap += u64::from(f64::from(self.engines[engine].load()) > cap);
    }

    /// The mean and the highest load of the engines that are ready.
    pub(super) fn ready_engine_load(&self) -> (f64, u32) {
        let (mut sum, mut count, mut max_load) = (0, 0, 0);
        for engine in &self.engines {
            if engine.state != EngineState::Ready {
                continue;
            }
            sum += engine.load();
            count += 1;
            max_load = max_load.max(engine.load());
        }
        (f64::from(sum) / f64::from(count.max(1)), max_load)
    }

    pub(super) fn schedule_step(&mut self, engine: usize) {
        let model = &mut self.engines[engine];
        if model.is_step_scheduled || !model.is_busy() {
            return;
        }
        model.is_step_scheduled = true;
        let span = model.step_us();
        self.schedule(span, SimulationEvent::EngineStep(engine));
    }

    pub(super) fn step_engine(&mut self, engine: usize) {
        self.engines[engine].is_step_scheduled = false;
        if self.engines[engine].state == EngineState::Down {
            return;
        }
        for output in self.engines[engine].step() {
            let report = self.engines[engine].report();
            let (run, is_done) = match output {
                StepOutput::Event(run) => (run, false),
                StepOutput::Done(run) => (run, true),
            };
            let Some(index) = self.runs.get(&run).copied() else {
                continue;
            };
            let is_first = self.record_stream_event(index);
            let (router, now) = (self.requests[index].router, self.now());
            if is_first {
                self.routers[router].handle_response(run, EngineResponse::Started(report), now);
            } else if !is_done {
                self.routers[router].handle_response(run, EngineResponse::Progress, now);
            }
            if is_done {
                self.routers[router].handle_response(run, EngineResponse::Completed(report), now);
            }
        }
        self.schedule_step(engine);
    }

    /// Records a stream event of a request. Returns whether it is the first event of the attempt.
    pub(super) fn record_stream_event(&mut self, index: usize) -> bool {
        let now = self.now_us;
        let request = &mut self.requests[index];
        request.events += 1;
        if request.first_event_us.is_some() {
            request.max_gap_us = request.max_gap_us.max(now - request.last_event_us);
        }
        request.first_event_us.get_or_insert(now);
        request.last_event_us = now;
        !std::mem::replace(&mut request.attempt_started, true)
    }
}
