//! The decisions about all requests of one router.

mod ending;
mod placing;
mod retrying;

use std::collections::VecDeque;

use fescuetide_base::ClockMillis;
use fescuetide_base::PoolName;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_base::ZoneName;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_limits::BudgetSettings;
use fescuetide_limits::CrashFingerprint;
use indexmap::IndexMap;

use crate::AttemptEvent;
use crate::BreakCause;
use crate::FlowAction;
use crate::FlowKey;
use crate::FlowSettings;
use crate::LoadReport;
use crate::RefusalCause;
use crate::WorkRequest;
use crate::crash::CrashWatch;
use crate::directory::PrefixDirectory;
use crate::flow::RequestFlow;
use crate::health::OutcomeTable;
use crate::pool::PoolState;
use crate::share::TrafficShare;

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
    crashes: CrashWatch,
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
            crashes: CrashWatch::default(),
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
                self.crashes.note_gone(&entry.name, now);
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
                self.crashes.note_gone(&vm, now);
            }
        }
        self.start_waiting(now);
    }

    /// Takes in a request. An action about it follows now or later.
    pub fn arrive(&mut self, request: WorkRequest, now: ClockMillis) -> FlowKey {
        self.next_key += 1;
        let key = FlowKey(self.next_key);
        let pool = self.choose_pool(&request);
        let print = request.print;
        if let Some(pool) = self.pools.get_mut(&pool) {
            pool.budget.note_request();
        }
        self.flows.insert(key, RequestFlow::new(request, pool));
        match self.crashes.refusal(print, now) {
            Some(left) => self.end(key, RefusalCause::CrashesUpstreams, left, now),
            None => self.place(key, now),
        }
        key
    }

    /// Takes in requests that other routers refuse because they crash upstreams, and for how long.
    pub fn learn_refused(
        &mut self,
        refused: impl IntoIterator<Item = (CrashFingerprint, SpanMillis)>,
        now: ClockMillis,
    ) {
        for (print, left) in refused {
            self.crashes.learn(print, left, now);
        }
    }

    /// The requests that are refused because they crash upstreams, if there are new ones to tell other routers.
    pub fn take_refused(
        &mut self,
        now: ClockMillis,
    ) -> Option<Vec<(CrashFingerprint, SpanMillis)>> {
        self.crashes.take_news(now)
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

    /// Learns how many routers there are, this one included. Each takes an equal part of the shared retry budget until the
    /// loads that upstreams tell say more.
    pub fn set_router_count(&mut self, routers: usize) {
        self.share.assume_equal(routers);
        self.set_budgets();
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
        self.set_budgets();
    }

    fn set_budgets(&mut self) {
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
}
