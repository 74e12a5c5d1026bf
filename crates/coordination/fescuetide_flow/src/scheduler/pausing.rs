//! Upstreams that want no requests from this gateway for some time.

use fescuetide_base::ClockMillis;
use fescuetide_base::PoolName;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;

use super::RequestScheduler;
use crate::FlowAction;
use crate::FlowKey;
use crate::FlowNotice;
use crate::RefusalCause;
use crate::WorkRequest;
use crate::flow::FlowState;

impl RequestScheduler {
    /// Starts the pause of the upstream of a request's current attempt.
    pub(super) fn start_pause(&mut self, key: FlowKey, pause: SpanMillis, now: ClockMillis) {
        let Some(attempt) = self.flows.get(&key).and_then(|flow| flow.attempt()) else {
            return;
        };
        let Some(entry) = self
            .pools
            .get(&attempt.pool)
            .and_then(|pool| pool.entry(&attempt.vm))
        else {
            return;
        };
        self.announcements.note_pause(entry, pause, now);
        let upstream = entry.name.clone();
        self.withdraw_unsent(&upstream, now);
        self.refuse_paused(now);
        self.notices
            .push(FlowNotice::PauseStarted { upstream, pause });
    }

    /// Places requests again that wait for a connection to an upstream, which would get them too late.
    fn withdraw_unsent(&mut self, vm: &VmName, now: ClockMillis) {
        let mut unsent = Vec::new();
        for (key, flow) in &self.flows {
            let attempt = flow.attempt();
            if attempt.is_some_and(|attempt| attempt.vm == *vm && !attempt.is_sent) {
                unsent.push(*key);
            }
        }
        for key in unsent {
            self.actions.push_back(FlowAction::Cancel(key));
            self.release_attempt(key);
            self.place(key, now);
        }
    }

    /// Refuses queued requests for which no upstream will accept requests in time.
    pub(super) fn refuse_paused(&mut self, now: ClockMillis) {
        if !self.announcements.has_pauses(now) {
            return;
        }
        let mut hopeless = Vec::new();
        for (name, pool) in &self.pools {
            for entry in pool.waiting.iter() {
                let Some(flow) = self.flows.get(&entry.key) else {
                    continue;
                };
                let end = pool.pause_end(&flow.tried, self.conditions(now));
                if end.is_some_and(|end| end >= entry.expires_at) {
                    hopeless.push((entry.key, name.clone()));
                }
            }
        }
        for (key, pool) in hopeless {
            if let Some(pool) = self.pools.get_mut(&pool) {
                pool.waiting.remove(key);
            }
            self.leave_paused_pool(key, &pool, now);
        }
    }

    /// Places a request in another pool of its route, or refuses it if none accepts requests.
    pub(super) fn leave_paused_pool(&mut self, key: FlowKey, paused: &PoolName, now: ClockMillis) {
        let Some(flow) = self.flows.get(&key) else {
            return;
        };
        let other = self.choose_pool(&flow.request, now);
        if other == *paused {
            self.refuse_or_fail(key, RefusalCause::Paused, SpanMillis::default(), now);
            return;
        }
        self.flows[&key].state = FlowState::Waiting(other);
        self.place(key, now);
    }

    /// Time until an upstream accepts requests like this one again, 0 if one does or if there is none.
    pub(super) fn pause_left(&self, request: &WorkRequest, now: ClockMillis) -> SpanMillis {
        let conditions = self.conditions(now);
        let mut first: Option<ClockMillis> = None;
        for share in &request.pools {
            let Some(pool) = self.pools.get(&share.pool).filter(|pool| pool.has_ready()) else {
                continue;
            };
            let Some(end) = pool.pause_end(&[], conditions) else {
                return SpanMillis::default();
            };
            first = Some(first.map_or(end, |first| first.min(end)));
        }
        first.map_or(SpanMillis::default(), |end| end.since(now))
    }

    /// Ends the current attempt of a request. Returns its upstream.
    pub(super) fn release_attempt(&mut self, key: FlowKey) -> Option<VmName> {
        let flow = self.flows.get_mut(&key)?;
        let FlowState::Running(attempt) = &flow.state else {
            return None;
        };
        let (pool_name, vm) = (attempt.pool.clone(), attempt.vm.clone());
        flow.state = FlowState::Waiting(pool_name.clone());
        if let Some(pool) = self.pools.get_mut(&pool_name) {
            pool.remove_request(&vm);
        }
        Some(vm)
    }
}
