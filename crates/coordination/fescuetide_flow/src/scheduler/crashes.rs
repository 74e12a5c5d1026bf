//! Detection of upstreams that are down, and of the requests that were running there.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;

use super::RequestScheduler;
use crate::FlowAction;
use crate::FlowKey;
use crate::ProbeOutcome;
use crate::flow::FlowAttempt;
use crate::flow::RequestFlow;
use crate::pool::PoolState;

/// Time without data after which the upstream of a suspect is probed, and that of an attempt which ends. Shorter than for other
/// requests, since each crash that is found late costs another upstream.
const SHORT_SILENCE: SpanMillis = SpanMillis::new(300);

impl RequestScheduler {
    /// Handles the result of a [`FlowAction::Probe`].
    pub fn note_probe(&mut self, vm: &VmName, outcome: ProbeOutcome, now: ClockMillis) {
        self.probing.swap_remove(vm);
        match outcome {
            ProbeOutcome::Connected => self.crashes.note_accepting(vm, now),
            ProbeOutcome::Refused => self.note_down(vm, now),
            ProbeOutcome::NotConnected => self.note_unanswered(vm, now),
        }
    }

    /// Records that an upstream refuses connections.
    pub(super) fn note_down(&mut self, vm: &VmName, now: ClockMillis) {
        self.outcomes.note_unreachable(vm, now);
        self.crashes.note_down(vm, now);
    }

    /// Records that a connection to an upstream could not be established. Unless another upstream has answered since the
    /// attempts there broke, it may be this gateway that is cut off, and the upstream is probed again later.
    pub(super) fn note_unanswered(&mut self, vm: &VmName, now: ClockMillis) {
        self.outcomes.note_unreachable(vm, now);
        let heard_at = self.last_data_at_others(vm);
        self.crashes.note_unanswered(vm, heard_at, now);
        if self.crashes.pending_at(vm, now).is_some() {
            self.unanswered.insert(vm.clone());
        }
    }

    /// Probes upstreams again that did not answer, once another one has answered.
    pub(super) fn probe_unanswered(&mut self, now: ClockMillis) {
        for vm in std::mem::take(&mut self.unanswered) {
            let Some(pending_at) = self.crashes.pending_at(&vm, now) else {
                continue;
            };
            if self.last_data_at_others(&vm) > pending_at {
                self.start_probe(vm);
            } else {
                self.unanswered.insert(vm);
            }
        }
    }

    fn start_probe(&mut self, vm: VmName) {
        if self.probing.insert(vm.clone()) {
            self.actions.push_back(FlowAction::Probe(vm));
        }
    }

    /// When data last arrived from any upstream but `vm`.
    fn last_data_at_others(&self, vm: &VmName) -> ClockMillis {
        let pools = self.pools.values();
        let times = pools.map(|pool| pool.last_data_at_others(vm));
        times.max().unwrap_or_default()
    }

    /// Records that the current attempt of a request has ended without a response, and probes its upstream, which may have
    /// gone down just now.
    pub(super) fn note_lost(&mut self, key: FlowKey, now: ClockMillis) {
        self.note_doubtful(key, now, now);
    }

    /// Records that the upstream of a request's current attempt is silent, and probes it.
    pub(super) fn note_silent(&mut self, key: FlowKey, now: ClockMillis) {
        let attempt = self.flows.get(&key).and_then(RequestFlow::attempt);
        let heard_at = attempt.and_then(|attempt| {
            let pool = self.pools.get(&attempt.pool)?;
            pool.last_data_at(&attempt.vm)
        });
        self.note_doubtful(key, heard_at.unwrap_or_default(), now);
    }

    fn note_doubtful(&mut self, key: FlowKey, heard_at: ClockMillis, now: ClockMillis) {
        let Some(flow) = self.flows.get(&key) else {
            return;
        };
        let Some(attempt) = flow.attempt().filter(|attempt| attempt.is_sent) else {
            return;
        };
        let vm = attempt.vm.clone();
        let run = attempt.crash_run(&flow.request, heard_at);
        if self.crashes.note_broken(&vm, run, now) {
            self.start_probe(vm);
        }
    }

    /// Records that a response ended with its connection, so that its upstream may have gone down just then. Some upstreams end
    /// all responses in this way, so most are not probed.
    pub(super) fn note_unconfirmed(&mut self, key: FlowKey, now: ClockMillis) {
        let Some(flow) = self.flows.get(&key) else {
            return;
        };
        let Some(attempt) = flow.attempt() else {
            return;
        };
        let vm = attempt.vm.clone();
        let run = attempt.crash_run(&flow.request, now);
        if self.crashes.note_unconfirmed(&vm, run, now) {
            self.start_probe(vm);
        }
    }

    /// Whether the attempt of a suspect has had no data for so long that its upstream may have gone down.
    pub(super) fn is_suspect_silent(&self, flow: &RequestFlow, now: ClockMillis) -> bool {
        let is_quiet = flow.attempt().is_some_and(|attempt| is_quiet(attempt, now));
        is_quiet && self.crashes.is_suspect(flow.request.fingerprint, now)
    }

    /// Records that the upstream of an attempt, which ends for another reason, may have gone down.
    pub(super) fn note_end_in_doubt(&mut self, key: FlowKey, now: ClockMillis) {
        let attempt = self.flows.get(&key).and_then(RequestFlow::attempt);
        if attempt.is_some_and(|attempt| is_quiet(attempt, now) && self.is_unresponsive(attempt)) {
            self.note_silent(key, now);
        }
    }

    /// Whether nothing has arrived from the upstream of an attempt since the attempt started, or since its last data.
    pub(super) fn is_unresponsive(&self, attempt: &FlowAttempt) -> bool {
        let since = attempt.last_data_at.unwrap_or(attempt.started_at);
        let pool: Option<&PoolState> = self.pools.get(&attempt.pool);
        !pool.is_some_and(|pool| pool.is_responsive(&attempt.vm, since))
    }
}

fn is_quiet(attempt: &FlowAttempt, now: ClockMillis) -> bool {
    let since = attempt.last_data_at.unwrap_or(attempt.started_at);
    now.since(since) >= SHORT_SILENCE
}
