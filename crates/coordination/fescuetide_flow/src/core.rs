//! The decisions about all requests of one router.

use std::collections::VecDeque;

use fescuetide_base::ClockMillis;
use fescuetide_base::PoolName;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_base::ZoneName;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_limits::BudgetSettings;
use indexmap::IndexMap;

use crate::AttemptEvent;
use crate::BreakCause;
use crate::DeclineCause;
use crate::FlowAction;
use crate::FlowFailure;
use crate::FlowKey;
use crate::FlowRefusal;
use crate::FlowSettings;
use crate::LoadReport;
use crate::RefusalCause;
use crate::SendOrder;
use crate::WorkRequest;
use crate::directory::PrefixDirectory;
use crate::flow::FlowAttempt;
use crate::flow::FlowState;
use crate::flow::RequestFlow;
use crate::health::OutcomeTable;
use crate::placement;
use crate::pool::PoolState;
use crate::share::TrafficShare;
use crate::timing;
use crate::waiting::WaitingEntry;

/// When a request should come again while no upstream is known.
const NO_UPSTREAM_RETRY: SpanMillis = SpanMillis::new(700);

/// When a request should come again that an upstream declined and that may not be sent elsewhere.
const DECLINED_RETRY: SpanMillis = SpanMillis::new(100);

/// How long a response may come after the operator's time limit, so that one which is ready then is not lost.
const LIMIT_GRACE: SpanMillis = SpanMillis::new(100);

/// Decides about the requests of one router.
///
/// Every method takes the time; what has to be done is taken out with [`next_action`](Self::next_action).
#[derive(Debug)]
pub struct FlowCore {
    settings: FlowSettings,
    zone: ZoneName,
    pools: IndexMap<PoolName, PoolState>,
    outcomes: OutcomeTable,
    directory: PrefixDirectory,
    share: TrafficShare,
    flows: IndexMap<FlowKey, RequestFlow>,
    next_key: u64,
    turn: u64,
    actions: VecDeque<FlowAction>,
}

impl FlowCore {
    /// Creates the decisions of a router in `zone` that knows no upstream.
    pub fn new(settings: FlowSettings, zone: ZoneName) -> Self {
        Self {
            settings,
            zone,
            pools: IndexMap::new(),
            outcomes: OutcomeTable::new(settings.breaker),
            directory: PrefixDirectory::default(),
            share: TrafficShare::default(),
            flows: IndexMap::new(),
            next_key: 0,
            turn: 0,
            actions: VecDeque::new(),
        }
    }

    /// The next thing to do.
    pub fn next_action(&mut self) -> Option<FlowAction> {
        self.actions.pop_front()
    }

    /// Requests that are not ended.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Requests that wait for an upstream.
    pub fn waiting_count(&self) -> usize {
        self.pools.values().map(|pool| pool.waiting.len()).sum()
    }

    /// Replaces the upstreams.
    pub fn set_upstreams(&mut self, entries: &[UpstreamEntry], now: ClockMillis) {
        let budget = self.own_budget();
        for entry in entries {
            let pool = self
                .pools
                .entry(entry.pool.clone())
                .or_insert_with(|| PoolState::new(budget));
            if pool.insert(entry.clone(), now) {
                self.outcomes.forget(&entry.name);
                self.directory.forget(&entry.name);
            }
        }
        for (name, pool) in &mut self.pools {
            let is_listed = |vm: &VmName| {
                entries
                    .iter()
                    .any(|entry| entry.name == *vm && entry.pool == *name)
            };
            for vm in pool.retain(is_listed) {
                self.outcomes.forget(&vm);
                self.directory.forget(&vm);
            }
        }
        self.start_waiting(now);
    }

    /// Takes in a request. An action about it follows now or later.
    pub fn arrive(&mut self, request: WorkRequest, now: ClockMillis) -> FlowKey {
        self.next_key += 1;
        let key = FlowKey(self.next_key);
        let pool = self.choose_pool(&request);
        if let Some(pool) = self.pools.get_mut(&pool) {
            pool.budget.note_request();
        }
        self.flows.insert(key, RequestFlow::new(request, pool));
        self.place(key, now);
        key
    }

    /// The caller of a request has left. Its attempt must be stopped by the process.
    pub fn caller_left(&mut self, key: FlowKey, now: ClockMillis) {
        self.forget(key, now);
    }

    /// Notes what happened to the request's attempt.
    pub fn note_attempt(&mut self, key: FlowKey, event: AttemptEvent, now: ClockMillis) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let Some(attempt) = flow.attempt_mut() else {
            return;
        };
        let (pool, vm) = (attempt.pool.clone(), attempt.vm.clone());
        match event {
            AttemptEvent::Sent => {
                if !attempt.is_sent {
                    attempt.is_sent = true;
                    flow.sent_count += 1;
                }
            }
            AttemptEvent::StreamStarted(load) => {
                attempt.last_part = Some(now);
                let is_first = !flow.is_relayed;
                flow.is_relayed = true;
                flow.may_have_run = true;
                self.note_heard(&pool, &vm, load, now);
                if is_first {
                    self.actions.push_back(FlowAction::Relay(key));
                }
            }
            AttemptEvent::StreamProgress => {
                attempt.last_part = Some(now);
                self.note_heard(&pool, &vm, None, now);
            }
            AttemptEvent::Completed { status, load } => {
                let is_started = attempt.last_part.is_some();
                let breaks_stream = flow.is_relayed && !is_started;
                self.note_heard(&pool, &vm, load, now);
                if breaks_stream {
                    // The caller has part of a stream, which only a stream can complete.
                    self.break_attempt(key, &vm, BreakCause::Garbled, now);
                } else {
                    self.complete(key, &vm, status, now);
                }
            }
            AttemptEvent::Declined(cause, load) => {
                self.note_heard(&pool, &vm, load, now);
                self.decline(key, &vm, cause, now);
            }
            AttemptEvent::Broken(cause) => self.break_attempt(key, &vm, cause, now),
        }
    }

    /// Does what is due by time.
    pub fn tick(&mut self, now: ClockMillis) {
        self.share_budgets(now);
        self.refuse_expired(now);
        let mut silent = Vec::new();
        let mut over = Vec::new();
        for (key, flow) in &self.flows {
            if now >= flow.request.route_deadline + LIMIT_GRACE {
                over.push(*key);
                continue;
            }
            if self.is_silent(flow, now) && flow.may_send() {
                silent.push(*key);
            }
        }
        for key in over {
            self.end_overdue(key, now);
        }
        for key in silent {
            self.leave_silent(key, now);
        }
        self.start_waiting(now);
    }

    /// The part of the shared retry budget that this router may use.
    pub fn own_budget(&self) -> BudgetSettings {
        let retries = self.settings.retries;
        BudgetSettings {
            burst: retries.burst * self.share.get(),
            ..retries
        }
    }

    /// Learns this router's share of the traffic from the pool with most work, and takes its part of the budgets.
    fn share_budgets(&mut self, now: ClockMillis) {
        if !self.share.is_due(now) {
            return;
        }
        let totals = self.pools.values().map(|pool| pool.work_totals(now));
        if let Some((own, all)) = totals.max_by_key(|(_, all)| *all) {
            self.share.sample(own, all, now);
        }
        let budget = self.own_budget();
        for pool in self.pools.values_mut() {
            pool.budget.set(budget);
        }
    }

    fn note_heard(
        &mut self,
        pool: &PoolName,
        vm: &VmName,
        load: Option<LoadReport>,
        now: ClockMillis,
    ) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.note_heard(vm, load, now);
        }
    }

    /// The pool of a request by weight; one without usable upstreams gives way to the next.
    fn choose_pool(&self, request: &WorkRequest) -> PoolName {
        let total: u64 = request
            .pools
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut point = request.spread % total.max(1);
        let mut chosen = 0;
        for (index, share) in request.pools.iter().enumerate() {
            if point < u64::from(share.weight) {
                chosen = index;
                break;
            }
            point -= u64::from(share.weight);
        }
        let count = request.pools.len();
        for step in 0..count {
            let pool = &request.pools[(chosen + step) % count].pool;
            if self.pools.get(pool).is_some_and(PoolState::has_ready) {
                return pool.clone();
            }
        }
        request.pools[chosen].pool.clone()
    }

    /// Sends a request that waits, or lets it wait, or refuses it.
    fn place(&mut self, key: FlowKey, now: ClockMillis) {
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
        let has_ready = self.pools.get(&pool_name).is_some_and(PoolState::has_ready);
        if !has_ready {
            self.end(key, RefusalCause::NoUpstream, NO_UPSTREAM_RETRY, now);
            return;
        }
        let wait = WaitingEntry {
            key,
            rank: flow.request.rank,
            late_at: flow.request.late_at,
            until: wait_limit(&flow.request, now),
        };
        let target = flow.request.late_at.since(flow.request.arrived);
        let pool = &mut self.pools[&pool_name];
        if pool.waiting.len() >= self.settings.waiting_limit || wait.until <= now {
            let retry_after = pool.waiting.retry_after(target);
            self.end(key, RefusalCause::Overloaded, retry_after, now);
            return;
        }
        pool.waiting.push(wait);
    }

    /// Sends a request if an upstream of the pool has room.
    fn try_send(&mut self, key: FlowKey, pool_name: &PoolName, now: ClockMillis) -> bool {
        let Some(pool) = self.pools.get_mut(pool_name) else {
            return false;
        };
        let flow = &mut self.flows[&key];
        self.turn += 1;
        let shared = flow.request.prompt.shared_hash();
        let holders = shared.map_or_else(Vec::new, |part| self.directory.holders(part, now));
        let zone = self.zone.as_str();
        let candidates = pool.candidates(&flow.tried, &holders, zone, &self.outcomes, now);
        let Some(choice) =
            placement::choose_upstream(&candidates, shared, self.turn, &self.settings)
        else {
            return false;
        };
        let (vm, load) = (choice.vm.clone(), choice.load);
        let copy_from = match shared {
            Some(part) if !choice.is_holder => {
                let known = pool.ranked(&self.outcomes, now);
                let holder = holders
                    .into_iter()
                    .find(|holder| known.iter().any(|upstream| upstream.vm == *holder));
                holder
                    .or_else(|| placement::expected_holder(&known, &vm, part, now))
                    .cloned()
            }
            _ => None,
        };
        pool.add_work(&vm);
        if let Some(part) = shared {
            self.directory.note_use(part, &vm, now);
        }
        self.actions.push_back(FlowAction::Send(SendOrder {
            key,
            upstream: vm.clone(),
            time_left: flow.request.deadline().since(now),
            rank: flow.request.rank,
            attempt: flow.sent_count + 1,
            is_resumption: flow.is_relayed,
            load,
            copy_from,
        }));
        flow.state = FlowState::Running(FlowAttempt {
            pool: pool_name.clone(),
            vm,
            ordered_at: now,
            is_sent: false,
            last_part: None,
        });
        true
    }

    /// Sends what waits, as far as upstreams have room.
    fn start_waiting(&mut self, now: ClockMillis) {
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
                    break;
                }
                self.pools[&name].waiting.remove(key);
            }
        }
    }

    fn refuse_expired(&mut self, now: ClockMillis) {
        let mut expired = Vec::new();
        for pool in self.pools.values_mut() {
            for key in pool.waiting.take_expired(now) {
                expired.push((key, pool.waiting.retry_after(SpanMillis::default())));
            }
        }
        for (key, retry_after) in expired {
            self.end(key, RefusalCause::Overloaded, retry_after, now);
        }
    }

    fn complete(&mut self, key: FlowKey, vm: &VmName, status: u16, now: ClockMillis) {
        let is_failure = status >= 500;
        if is_failure {
            self.outcomes.note_failure(vm);
        } else {
            self.outcomes.note_success(vm);
        }
        let flow = &mut self.flows[&key];
        flow.may_have_run = true;
        // A stream that the caller has the head of cannot be replaced by a failure.
        let retries = is_failure && flow.request.kind.is_repeatable() && !flow.is_relayed;
        if retries && self.take_retry(key) {
            self.resend(key, now);
            return;
        }
        self.actions.push_back(FlowAction::Relay(key));
        self.forget(key, now);
    }

    fn decline(&mut self, key: FlowKey, vm: &VmName, cause: DeclineCause, now: ClockMillis) {
        if cause == DeclineCause::Misdirected {
            self.outcomes.note_unreachable(vm, now);
        }
        if self.take_retry(key) {
            self.resend(key, now);
            return;
        }
        self.end(key, RefusalCause::Declined, DECLINED_RETRY, now);
    }

    fn break_attempt(&mut self, key: FlowKey, vm: &VmName, cause: BreakCause, now: ClockMillis) {
        match cause {
            BreakCause::NotConnected => self.outcomes.note_unreachable(vm, now),
            BreakCause::Closed | BreakCause::Garbled | BreakCause::Silent => {
                self.outcomes.note_failure(vm);
            }
        }
        let flow = &mut self.flows[&key];
        let is_sent = flow.attempt().is_some_and(|attempt| attempt.is_sent);
        flow.may_have_run |= is_sent;
        if !is_sent || self.take_retry(key) {
            self.resend(key, now);
            return;
        }
        self.end_broken(key, cause, now);
    }

    /// Whether the request may be sent once more; takes its retry from the budget.
    fn take_retry(&mut self, key: FlowKey) -> bool {
        let Some(flow) = self.flows.get(&key) else {
            return false;
        };
        if !flow.may_send() {
            return false;
        }
        let Some(attempt) = flow.attempt() else {
            return true;
        };
        match self.pools.get_mut(&attempt.pool) {
            Some(pool) => pool.budget.try_retry(),
            None => false,
        }
    }

    /// Ends the attempt and places the request again.
    fn resend(&mut self, key: FlowKey, now: ClockMillis) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let FlowState::Running(attempt) = &flow.state else {
            return;
        };
        let (pool_name, vm) = (attempt.pool.clone(), attempt.vm.clone());
        if let Some(part) = flow.request.prompt.shared_hash() {
            self.directory.note_failure(part, &vm);
        }
        flow.tried.push(vm.clone());
        flow.state = FlowState::Waiting(pool_name.clone());
        if let Some(pool) = self.pools.get_mut(&pool_name) {
            pool.remove_work(&vm);
        }
        self.place(key, now);
    }

    fn is_silent(&self, flow: &RequestFlow, now: ClockMillis) -> bool {
        let Some(attempt) = flow.attempt() else {
            return false;
        };
        let since = attempt.last_part.unwrap_or(attempt.ordered_at);
        let is_heard = self
            .pools
            .get(&attempt.pool)
            .is_some_and(|pool| pool.is_heard(&attempt.vm, since));
        let due = match attempt.last_part {
            None => timing::first_part_due(&flow.request, &self.settings, since, is_heard),
            Some(last) => timing::next_part_due(&flow.request, &self.settings, last, is_heard),
        };
        now >= due
    }

    /// Leaves a silent upstream for another one, unless there is no retry left; then the request goes on waiting.
    fn leave_silent(&mut self, key: FlowKey, now: ClockMillis) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let Some(attempt) = flow.attempt().cloned() else {
            return;
        };
        let has_other = self.pools.get(&attempt.pool).is_some_and(|pool| {
            let tried = [attempt.vm.clone()];
            let zone = self.zone.as_str();
            let others = pool.candidates(&tried, &[], zone, &self.outcomes, now);
            others.iter().any(|other| other.load < other.room)
        });
        if !has_other || !self.take_retry(key) {
            return;
        }
        let flow = &mut self.flows[&key];
        flow.may_have_run |= attempt.is_sent;
        self.outcomes.note_failure(&attempt.vm);
        let since = attempt.last_part.unwrap_or(attempt.ordered_at);
        let pool = self.pools.get(&attempt.pool);
        if !pool.is_some_and(|pool| pool.is_heard(&attempt.vm, since)) {
            self.outcomes.note_unreachable(&attempt.vm, now);
        }
        self.actions.push_back(FlowAction::Cancel(key));
        self.resend(key, now);
    }

    fn end_overdue(&mut self, key: FlowKey, now: ClockMillis) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let is_sent = flow.attempt().is_some_and(|attempt| attempt.is_sent);
        flow.may_have_run |= is_sent;
        if flow.attempt().is_some() {
            self.actions.push_back(FlowAction::Cancel(key));
        }
        let flow = &self.flows[&key];
        if flow.is_relayed || flow.may_have_run {
            self.fail(key, FlowFailure::TimedOut, now);
            return;
        }
        self.end(key, RefusalCause::Overloaded, DECLINED_RETRY, now);
    }

    fn end_broken(&mut self, key: FlowKey, cause: BreakCause, now: ClockMillis) {
        self.fail_or_refuse(
            key,
            FlowFailure::UpstreamBroke(cause),
            RefusalCause::NoRetryLeft,
            DECLINED_RETRY,
            now,
        );
    }

    /// Refuses a request, or fails it when there is no evidence that it did not run.
    fn end(
        &mut self,
        key: FlowKey,
        cause: RefusalCause,
        retry_after: SpanMillis,
        now: ClockMillis,
    ) {
        let failure = FlowFailure::UpstreamBroke(BreakCause::Closed);
        self.fail_or_refuse(key, failure, cause, retry_after, now);
    }

    fn fail_or_refuse(
        &mut self,
        key: FlowKey,
        failure: FlowFailure,
        cause: RefusalCause,
        retry_after: SpanMillis,
        now: ClockMillis,
    ) {
        let Some(flow) = self.flows.get(&key) else {
            return;
        };
        let Some(evidence) = flow.evidence() else {
            self.fail(key, failure, now);
            return;
        };
        let refusal = FlowRefusal {
            evidence,
            cause,
            retry_after,
        };
        self.actions.push_back(FlowAction::Refuse(key, refusal));
        self.forget(key, now);
    }

    fn fail(&mut self, key: FlowKey, failure: FlowFailure, now: ClockMillis) {
        self.actions.push_back(FlowAction::Fail(key, failure));
        self.forget(key, now);
    }

    /// Forgets a request and gives its place to one that waits.
    fn forget(&mut self, key: FlowKey, now: ClockMillis) {
        let Some(flow) = self.flows.swap_remove(&key) else {
            return;
        };
        match flow.state {
            FlowState::Waiting(pool) => {
                if let Some(pool) = self.pools.get_mut(&pool) {
                    pool.waiting.remove(key);
                }
            }
            FlowState::Running(attempt) => {
                if let Some(pool) = self.pools.get_mut(&attempt.pool) {
                    pool.remove_work(&attempt.vm);
                }
                self.start_waiting(now);
            }
        }
    }
}

/// Until when a request may wait for room: half of the time to its latency target, or half of what is left of its time
/// when it was sent before.
fn wait_limit(request: &WorkRequest, now: ClockMillis) -> ClockMillis {
    let target = request.late_at.since(now).as_millis();
    let left = request.deadline().since(now).as_millis();
    now + SpanMillis::new((target / 2).min(left / 2))
}
