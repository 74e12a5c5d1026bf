//! Placement and queueing of requests.

use fescuetide_base::ClockMillis;
use fescuetide_base::PoolName;
use fescuetide_base::SpanMillis;

use super::NO_UPSTREAM_RETRY_DELAY;
use super::RequestScheduler;
use crate::FlowAction;
use crate::FlowKey;
use crate::RefusalCause;
use crate::SendCommand;
use crate::WorkRequest;
use crate::flow::FlowAttempt;
use crate::flow::FlowState;
use crate::placement;
use crate::placement::PrefixDemand;
use crate::pool::UpstreamConditions;
use crate::waiting::WaitingEntry;

impl RequestScheduler {
    /// Chooses a pool for a request by weight. A pool without upstreams that accept requests is replaced by the next one
    /// that has some, or else by one whose upstreams are paused.
    pub(super) fn choose_pool(&self, request: &WorkRequest, now: ClockMillis) -> PoolName {
        let total: u64 = request
            .pools
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut point = request.pool_selector % total.max(1);
        let mut chosen = 0;
        for (index, share) in request.pools.iter().enumerate() {
            if point < u64::from(share.weight) {
                chosen = index;
                break;
            }
            point -= u64::from(share.weight);
        }
        let conditions = self.conditions(now);
        let count = request.pools.len();
        let mut paused = None;
        for step in 0..count {
            let name = &request.pools[(chosen + step) % count].pool;
            let Some(pool) = self.pools.get(name) else {
                continue;
            };
            if pool.accepts_requests(conditions) {
                return name.clone();
            }
            if pool.has_ready(conditions) {
                paused = paused.or(Some(name));
            }
        }
        paused.unwrap_or(&request.pools[chosen].pool).clone()
    }

    /// Sends a waiting request, queues it, or refuses it.
    pub(super) fn place(&mut self, key: FlowKey, now: ClockMillis) {
        let Some(flow) = self.flows.get(&key) else {
            return;
        };
        let FlowState::Waiting(pool_name) = &flow.state else {
            return;
        };
        let pool_name = pool_name.clone();
        if self.try_send(key, &pool_name, now) {
            return;
        }
        let flow = &self.flows[&key];
        let pool = self.pools.get(&pool_name);
        if !pool.is_some_and(|pool| pool.has_untried(flow.filter(), self.conditions(now))) {
            let cause = match flow.tried.is_empty() {
                true => RefusalCause::NoUpstream,
                false => RefusalCause::NoRetryLeft,
            };
            self.refuse_or_fail(key, cause, NO_UPSTREAM_RETRY_DELAY, now);
            return;
        }
        let wait = WaitingEntry {
            key,
            priority: flow.request.priority,
            workspace: flow.request.workspace,
            late_at: flow.request.late_at,
            expires_at: queue_deadline(&flow.request, now),
        };
        let turn = pool.and_then(|pool| {
            let position = pool.waiting.position_of(&wait);
            pool.turn_at(position, flow.filter(), self.conditions(now))
        });
        if turn.is_some_and(|turn| turn >= wait.expires_at) {
            self.leave_pool(key, &pool_name, now);
            return;
        }
        let target = flow.request.late_at.since(flow.request.arrived);
        let pool = &mut self.pools[&pool_name];
        if pool.waiting.len() >= self.settings.waiting_limit || wait.expires_at <= now {
            let retry_after = pool.waiting.retry_after(target);
            self.refuse_or_fail(key, RefusalCause::Overloaded, retry_after, now);
            return;
        }
        pool.waiting.push(wait);
    }

    /// Sends a request if an upstream of the pool has capacity, and refuses it if it crashes upstreams. Returns whether it
    /// was sent or refused.
    pub(super) fn try_send(
        &mut self,
        key: FlowKey,
        pool_name: &PoolName,
        now: ClockMillis,
    ) -> bool {
        // The crashes may have become known while the request was queued.
        if let Some(left) = self.crashes.refusal(&self.flows[&key].request, now) {
            self.refuse_or_fail(key, RefusalCause::CrashesUpstreams, left, now);
            return true;
        }
        let Some(pool) = self.pools.get_mut(pool_name) else {
            return false;
        };
        let flow = &mut self.flows[&key];
        self.tie_break_seed += 1;
        let shared = flow.request.prompt.shared_hash();
        let holders = shared.map_or_else(Vec::new, |prefix| self.directory.holders(prefix, now));
        let zone = self.zone.as_str();
        let conditions = UpstreamConditions {
            outcomes: &self.outcomes,
            announcements: &self.announcements,
            rate_limits: &self.rate_limits,
            now,
        };
        let candidates = pool.candidates(flow.filter(), &holders, zone, conditions);
        let wanted = shared.map(|hash| PrefixDemand {
            hash,
            holder_count: flow.holder_count,
        });
        let Some(choice) =
            placement::choose_upstream(&candidates, wanted, self.tie_break_seed, &self.settings)
        else {
            return false;
        };
        let (vm, load, load_age) = (choice.vm.clone(), choice.load, choice.load_age);
        let (incarnation, version) = (choice.incarnation, choice.version);
        let copy_from = match shared {
            Some(prefix) if !choice.has_prefix => {
                let known = pool.reachable(version, &self.outcomes, now);
                let holder = holders
                    .into_iter()
                    .find(|holder| known.iter().any(|upstream| upstream.vm == *holder));
                holder
                    .or_else(|| placement::expected_holder(&known, &vm, prefix, now))
                    .cloned()
            }
            _ => None,
        };
        self.rate_limits.take_token(&vm, incarnation, now);
        pool.add_request(&vm, now);
        if let Some(prefix) = shared {
            self.directory.note_use(prefix, &vm, now);
        }
        self.actions.push_back(FlowAction::Send(SendCommand {
            key,
            upstream: vm.clone(),
            time_left: flow.request.deadline().since(now),
            priority: flow.request.priority,
            attempt: flow.sent_count + 1,
            is_resumption: flow.is_relayed,
            load,
            load_age,
            rate_limit: self.rate_limits.limit_of(&vm, incarnation),
            copy_from,
        }));
        flow.state = FlowState::Running(FlowAttempt {
            pool: pool_name.clone(),
            vm,
            incarnation,
            version,
            started_at: now,
            known_crashes: self.crashes.known(flow.request.fingerprint, now),
            is_sent: false,
            last_data_at: None,
        });
        self.note_sent_stream(key, now);
        true
    }

    /// Sends queued requests while upstreams have capacity.
    pub(super) fn send_waiting(&mut self, now: ClockMillis) {
        for index in 0..self.pools.len() {
            let Some((name, pool)) = self.pools.get_index(index) else {
                continue;
            };
            if pool.waiting.len() == 0 {
                continue;
            }
            let (name, keys) = (name.clone(), pool.waiting.keys());
            for key in keys {
                if !self.flows.contains_key(&key) {
                    self.pools[&name].waiting.remove(key);
                    continue;
                }
                if !self.try_send(key, &name, now) {
                    match self.flows[&key].is_restricted() {
                        // Upstreams that it may not be sent to may have room for those behind it.
                        true => continue,
                        false => break,
                    }
                }
                self.pools[&name].waiting.remove(key);
            }
        }
    }

    pub(super) fn refuse_expired(&mut self, now: ClockMillis) {
        let mut expired = Vec::new();
        for pool in self.pools.values_mut() {
            for key in pool.waiting.take_expired(now) {
                // The request has already waited for up to half of its latency target, so the caller is told to wait
                // only for the queue.
                expired.push((key, pool.waiting.retry_after(SpanMillis::default())));
            }
        }
        for (key, retry_after) in expired {
            self.refuse_or_fail(key, RefusalCause::Overloaded, retry_after, now);
        }
    }
}

/// Returns when a queued request is refused: after half of the time left to its latency target, but no later than after
/// half of the time left to its deadline.
fn queue_deadline(request: &WorkRequest, now: ClockMillis) -> ClockMillis {
    let target = request.late_at.since(now).as_millis();
    let left = request.deadline().since(now).as_millis();
    now + SpanMillis::new((target / 2).min(left / 2))
}
