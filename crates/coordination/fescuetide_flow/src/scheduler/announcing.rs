//! What upstreams announce: that they leave, or want no requests from this gateway for some time.

use fescuetide_base::ClockMillis;
use fescuetide_base::PoolName;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;

use super::NO_UPSTREAM_RETRY_DELAY;
use super::RequestScheduler;
use crate::FlowAction;
use crate::FlowKey;
use crate::FlowNotice;
use crate::RefusalCause;
use crate::UpstreamAnnouncement;
use crate::flow::FlowState;
use crate::flow::RequestFlow;
use crate::pool::UpstreamFilter;

impl RequestScheduler {
    /// Handles what an incarnation of an upstream announces in a response.
    pub(super) fn note_announcement(
        &mut self,
        pool: &PoolName,
        vm: &VmName,
        incarnation: ProcessIncarnation,
        announcement: UpstreamAnnouncement,
        now: ClockMillis,
    ) {
        self.note_rate_limit(pool, vm, incarnation, announcement.rate_limit, now);
        let pause = announcement.pause.filter(|pause| pause.as_millis() > 0);
        if pause.is_none() && !announcement.is_leaving {
            return;
        }
        let is_news = self.announcements.note(vm, incarnation, announcement, now);
        if is_news {
            self.notices.push(FlowNotice::LeavingAnnounced {
                upstream: vm.clone(),
            });
        }
        if let Some(pause) = pause {
            self.notices.push(FlowNotice::PauseStarted {
                upstream: vm.clone(),
                pause,
            });
        }
        self.withdraw_unsent(vm, now);
        self.release_hopeless(now);
    }

    /// Whether the upstream of a request's current attempt accepts requests.
    pub(super) fn accepts_requests(&self, key: FlowKey, now: ClockMillis) -> bool {
        let Some(attempt) = self.flows.get(&key).and_then(|flow| flow.attempt()) else {
            return false;
        };
        let pool = self.pools.get(&attempt.pool);
        pool.is_some_and(|pool| pool.accepts_requests_at(&attempt.vm, self.conditions(now)))
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

    /// Handles queued requests for which no upstream will accept requests in time, if upstreams are paused or have rate
    /// limits.
    pub(super) fn release_paused(&mut self, now: ClockMillis) {
        if self.announcements.has_pauses(now) || self.rate_limits.has_limits() {
            self.release_hopeless(now);
        }
    }

    /// Removes requests from the queues of pools in which no upstream will accept requests in time.
    fn release_hopeless(&mut self, now: ClockMillis) {
        let mut hopeless = Vec::new();
        for (name, pool) in &self.pools {
            for (position, entry) in pool.waiting.iter().enumerate() {
                let Some(flow) = self.flows.get(&entry.key) else {
                    continue;
                };
                let conditions = self.conditions(now);
                let turn = pool.turn_at(position, flow.filter(), conditions);
                let is_late = turn.is_some_and(|turn| turn >= entry.expires_at);
                if is_late || !pool.has_untried(flow.filter(), conditions) {
                    hopeless.push((entry.key, name.clone()));
                }
            }
        }
        for (key, pool) in hopeless {
            if let Some(pool) = self.pools.get_mut(&pool) {
                pool.waiting.remove(key);
            }
            self.leave_pool(key, &pool, now);
        }
    }

    /// Places a request in another pool of its route, or refuses it if none accepts requests. A stream that has begun stays: the
    /// upstreams of another pool may not be able to continue it.
    pub(super) fn leave_pool(&mut self, key: FlowKey, pool: &PoolName, now: ClockMillis) {
        let Some(flow) = self.flows.get(&key) else {
            return;
        };
        let other = self.choose_pool(&flow.request, now);
        if other == *pool || flow.version.is_some() || flow.is_relayed {
            let pause = self.pause_left(flow, now);
            let (cause, retry_after) = match pause.as_millis() {
                0 => (RefusalCause::NoUpstream, NO_UPSTREAM_RETRY_DELAY),
                _ if self.rate_limits.has_limits() => (RefusalCause::RateLimited, pause),
                _ => (RefusalCause::Paused, pause),
            };
            self.refuse_or_fail(key, cause, retry_after, now);
            return;
        }
        self.flows[&key].state = FlowState::Waiting(other);
        self.place(key, now);
    }

    /// Time until an upstream accepts requests like this one again, 0 if one does or if there is none.
    pub(super) fn pause_left(&self, flow: &RequestFlow, now: ClockMillis) -> SpanMillis {
        let conditions = self.conditions(now);
        let filter = UpstreamFilter {
            tried: &[],
            ..flow.filter()
        };
        let mut first: Option<ClockMillis> = None;
        for share in &flow.request.pools {
            let Some(pool) = self
                .pools
                .get(&share.pool)
                .filter(|pool| pool.has_untried(filter, conditions))
            else {
                continue;
            };
            let Some(turn) = pool.turn_at(pool.waiting.len(), filter, conditions) else {
                return SpanMillis::default();
            };
            first = Some(first.map_or(turn, |first| first.min(turn)));
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
