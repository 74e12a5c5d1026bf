//! Detection of upstreams that are down, and of the requests that were running there.

use fescuetide_base::ClockMillis;
use fescuetide_base::VmName;

use super::RequestScheduler;
use crate::FlowAction;
use crate::FlowKey;
use crate::ProbeOutcome;
use crate::flow::FlowAttempt;
use crate::pool::PoolState;

impl RequestScheduler {
    /// Handles the result of a [`FlowAction::Probe`].
    pub fn note_probe(&mut self, vm: &VmName, outcome: ProbeOutcome, now: ClockMillis) {
        self.probing.swap_remove(vm);
        match outcome {
            ProbeOutcome::Connected => {}
            ProbeOutcome::Refused => self.note_down(vm, now),
            ProbeOutcome::NotConnected => self.note_unanswered(vm, now),
        }
    }

    /// Records that an upstream refuses connections.
    pub(super) fn note_down(&mut self, vm: &VmName, now: ClockMillis) {
        self.outcomes.note_unreachable(vm, now);
        self.crashes.note_down(vm, now);
    }

    /// Records that a connection to an upstream could not be established.
    pub(super) fn note_unanswered(&mut self, vm: &VmName, now: ClockMillis) {
        self.outcomes.note_unreachable(vm, now);
        let pools = self.pools.values();
        let heard_at = pools.map(|pool| pool.last_data_at_others(vm)).max();
        self.crashes
            .note_unanswered(vm, heard_at.unwrap_or_default(), now);
    }

    /// Records that the current attempt of a request has ended without a response, and probes its upstream if it may have
    /// gone down.
    pub(super) fn note_lost(&mut self, key: FlowKey, now: ClockMillis) {
        if let Some(vm) = self.note_broken(key, now)
            && self.probing.insert(vm.clone())
        {
            self.actions.push_back(FlowAction::Probe(vm));
        }
    }

    /// Records that the current attempt of a request has ended without a response. Returns the upstream if it may have
    /// gone down just now.
    pub(super) fn note_broken(&mut self, key: FlowKey, now: ClockMillis) -> Option<VmName> {
        let flow = self.flows.get(&key)?;
        let attempt = flow.attempt().filter(|attempt| attempt.is_sent)?;
        let vm = attempt.vm.clone();
        let run = attempt.crash_run(flow.request.fingerprint);
        self.crashes.note_broken(&vm, run, now).then_some(vm)
    }

    /// Whether nothing has arrived from the upstream of an attempt since the attempt started, or since its last data.
    pub(super) fn is_unresponsive(&self, attempt: &FlowAttempt) -> bool {
        let since = attempt.last_data_at.unwrap_or(attempt.started_at);
        let pool: Option<&PoolState> = self.pools.get(&attempt.pool);
        !pool.is_some_and(|pool| pool.is_responsive(&attempt.vm, since))
    }
}
