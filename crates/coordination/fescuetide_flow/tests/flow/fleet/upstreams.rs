//! The upstreams of a simulated fleet: what they run, how they go down and come back.

use fescuetide_base::prelude::*;
use fescuetide_flow::AttemptEvent;
use fescuetide_flow::BreakCause;
use fescuetide_flow::FlowKey;
use fescuetide_flow::ProbeOutcome;

use super::CrashFleet;
use super::DARK_BREAK_MS;
use super::DelayedEvent;
use super::DownKind;
use super::RunningRequest;
use super::entries_of;

impl CrashFleet {
    /// Starts the next life of each upstream whose downtime is over.
    pub(super) fn start_lives(&mut self) {
        let mut has_started = false;
        for upstream in &mut self.upstreams {
            if !upstream.is_down || self.now < upstream.down_until {
                continue;
            }
            upstream.is_down = false;
            upstream.lives += 1;
            has_started = true;
        }
        if !has_started {
            return;
        }
        let entries = entries_of(&self.upstreams);
        for gateway in 0..self.gateways.len() {
            let scheduler = &mut self.gateways[gateway].scheduler;
            scheduler.set_upstreams(&entries, self.now);
            self.act(gateway);
        }
    }

    pub(super) fn take_down(&mut self, index: usize) {
        let length = 500 + self.random.below(3_000);
        let upstream = &mut self.upstreams[index];
        upstream.down_until = self.now + SpanMillis::new(length);
        upstream.is_down = true;
        let running = std::mem::take(&mut upstream.running);
        if running.iter().any(|run| run.is_crashing) {
            self.crashes += 1;
            if self.crashes == self.plan.traffic.crash_limit() {
                self.limit_crash_at = Some(self.now);
            }
        }
        for run in running {
            let cause = BreakCause::Closed;
            match self.plan.down_kind {
                DownKind::Crashed => self.note(run.gateway, run.key, AttemptEvent::Broken(cause)),
                DownKind::Dark => {
                    let span = DARK_BREAK_MS.end - DARK_BREAK_MS.start;
                    let delay = SpanMillis::new(DARK_BREAK_MS.start + self.random.below(span));
                    self.delay(delay, DelayedEvent::Attempt(run.gateway, run.key, cause));
                }
            }
        }
    }

    pub(super) fn delay(&mut self, delay: SpanMillis, event: DelayedEvent) {
        self.delayed.push((self.now + delay, event));
    }

    pub(super) fn deliver_delayed(&mut self) {
        let now = self.now;
        for (at, event) in std::mem::take(&mut self.delayed) {
            if at > now {
                self.delayed.push((at, event));
                continue;
            }
            match event {
                DelayedEvent::Attempt(gateway, key, cause) => {
                    self.note(gateway, key, AttemptEvent::Broken(cause));
                }
                DelayedEvent::Probe(gateway, vm) => {
                    let scheduler = &mut self.gateways[gateway].scheduler;
                    scheduler.note_probe(&vm, ProbeOutcome::NotConnected, now);
                }
            }
        }
    }

    /// Drops what a gateway, or one of its requests, does not notice any more.
    pub(super) fn drop_delayed(&mut self, gateway: usize, key: Option<FlowKey>) {
        self.delayed.retain(|(_, event)| match event {
            DelayedEvent::Attempt(owner, other, _) => {
                *owner != gateway || key.is_some_and(|key| key != *other)
            }
            DelayedEvent::Probe(owner, _) => *owner != gateway || key.is_some(),
        });
    }

    pub(super) fn end_runs(&mut self) {
        for index in 0..self.upstreams.len() {
            let runs = &self.upstreams[index].running;
            let due: Vec<RunningRequest> = runs
                .iter()
                .filter(|run| run.ends_at <= self.now)
                .copied()
                .collect();
            if due.iter().any(|run| run.is_crashing) {
                self.take_down(index);
                continue;
            }
            self.upstreams[index]
                .running
                .retain(|run| run.ends_at > self.now);
            for run in due {
                let event = AttemptEvent::Completed {
                    status: 200,
                    load: None,
                };
                self.note(run.gateway, run.key, event);
            }
        }
    }

    pub(super) fn is_down(&self, index: usize) -> bool {
        self.upstreams[index].is_down
    }
}
