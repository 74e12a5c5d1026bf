//! State machine for all requests of one gateway.

mod announcing;
mod budget;
mod crashes;
mod ending;
mod loads;
mod origins;
mod placing;
mod rates;
mod retrying;
mod versions;

use std::collections::VecDeque;

use fescuetide_base::ClockMillis;
use fescuetide_base::PoolName;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_base::ZoneName;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_fleet::WorkKind;
use fescuetide_limits::CrashEvidence;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::AttemptEvent;
use crate::FlowAction;
use crate::FlowKey;
use crate::FlowNotice;
use crate::FlowSettings;
use crate::StreamKey;
use crate::WorkRequest;
use crate::announcements::AnnouncementTable;
use crate::crash::CrashEvent;
use crate::crash::CrashTracker;
use crate::directory::PrefixDirectory;
use crate::flow::RequestFlow;
use crate::health::OutcomeTable;
use crate::notice::NoticeQueue;
use crate::origins::OriginTable;
use crate::pool::PoolState;
use crate::pool::UpstreamConditions;
use crate::rate_limits::RateLimitTable;
use crate::rate_shares::FleetDemand;
use crate::scheduler::loads::ReportSource;
use crate::scheduler::rates::ShareState;
use crate::scheduler::retrying::EndProof;
use crate::scheduler::versions::VersionKnowledge;
use crate::share::TrafficShare;

pub use loads::LOAD_DIGEST_LIMIT;
pub use loads::LoadCounts;
pub use rates::LIMIT_DIGEST_LIMIT;
pub use rates::LimitDigest;
pub use versions::VersionReading;

/// How long callers should wait before retrying a refused request, if there is no better estimate.
const DEFAULT_RETRY_AFTER: SpanMillis = SpanMillis::new(100);

/// Retry delay for a request that has no usable upstream.
const NO_UPSTREAM_RETRY_DELAY: SpanMillis = SpanMillis::new(700);

/// How long a response is accepted after the route's time limit, so that one that completes just then is not lost.
const TIME_LIMIT_GRACE: SpanMillis = SpanMillis::new(100);

/// Schedules the requests of one gateway: chooses upstreams, queues, retries and refuses requests.
///
/// Methods take the current time as an argument. Resulting actions are queued and returned by
/// [`next_action`](Self::next_action).
#[derive(Debug)]
pub struct RequestScheduler {
    settings: FlowSettings,
    zone: ZoneName,
    pools: IndexMap<PoolName, PoolState>,
    outcomes: OutcomeTable,
    announcements: AnnouncementTable,
    rate_limits: RateLimitTable,
    demand: FleetDemand,
    share_state: ShareState,
    origins: OriginTable,
    version_knowledge: VersionKnowledge,
    /// Requests that wait until it is known where their streams began.
    seeking: IndexMap<FlowKey, StreamKey>,
    crashes: CrashTracker,
    directory: PrefixDirectory,
    share: TrafficShare,
    /// When the first upstreams became known.
    started_at: Option<ClockMillis>,
    /// Whether retries may be made beyond those that requests earn.
    has_burst: bool,
    flows: IndexMap<FlowKey, RequestFlow>,
    next_key: u64,
    tie_break_seed: u64,
    load_counts: LoadCounts,
    actions: VecDeque<FlowAction>,
    notices: NoticeQueue,
    /// Upstreams with a probe in progress.
    probing: IndexSet<VmName>,
    /// Upstreams that did not answer a probe while no other one did.
    unanswered: IndexSet<VmName>,
}

impl RequestScheduler {
    /// Creates the state of a gateway in `zone` without any upstreams.
    pub fn new(settings: FlowSettings, zone: ZoneName) -> Self {
        Self {
            settings,
            zone,
            pools: IndexMap::new(),
            outcomes: OutcomeTable::new(settings.breaker),
            announcements: AnnouncementTable::default(),
            rate_limits: RateLimitTable::default(),
            demand: FleetDemand::default(),
            share_state: ShareState::default(),
            origins: OriginTable::default(),
            version_knowledge: VersionKnowledge::default(),
            seeking: IndexMap::new(),
            crashes: CrashTracker::default(),
            directory: PrefixDirectory::default(),
            share: TrafficShare::default(),
            started_at: None,
            has_burst: false,
            flows: IndexMap::new(),
            next_key: 0,
            tie_break_seed: 0,
            load_counts: LoadCounts::default(),
            actions: VecDeque::new(),
            notices: NoticeQueue::default(),
            probing: IndexSet::new(),
            unanswered: IndexSet::new(),
        }
    }

    /// Sets where the pseudorandom choices between equal upstreams start. Gateways with the same start choose the same
    /// upstreams for their first requests.
    pub fn with_seed(self, seed: u64) -> Self {
        Self {
            tie_break_seed: seed,
            ..self
        }
    }

    /// Removes and returns the next action to execute.
    pub fn next_action(&mut self) -> Option<FlowAction> {
        self.actions.pop_front()
    }

    /// Number of requests in progress.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Number of queued requests.
    pub fn waiting_count(&self) -> usize {
        self.pools.values().map(|pool| pool.waiting.len()).sum()
    }

    /// Replaces the set of upstreams.
    pub fn set_upstreams(&mut self, entries: &[UpstreamEntry], now: ClockMillis) {
        self.grant_burst(now);
        let budget = self.new_budget();
        for entry in entries {
            let pool = self
                .pools
                .entry(entry.pool.clone())
                .or_insert_with(|| PoolState::new(budget));
            let is_new = pool.insert(entry.clone(), now);
            if is_new {
                self.outcomes.remove(&entry.name);
                self.directory.remove(&entry.name);
                self.crashes.note_restart(&entry.name, now);
            }
        }
        for (name, pool) in &mut self.pools {
            let is_listed = |vm: &VmName| {
                entries
                    .iter()
                    .any(|entry| entry.name == *vm && entry.pool == *name)
            };
            for vm in pool.retain(is_listed) {
                self.outcomes.remove(&vm);
                self.directory.remove(&vm);
                self.crashes.note_restart(&vm, now);
            }
            pool.note_listed_versions(now);
        }
        self.note_listing_time(now);
        self.place_unlisted(now);
        let pools = &self.pools;
        let is_listed = |life| pools.values().any(|pool| pool.find(life).is_some());
        self.rate_limits.note_listing(is_listed);
        self.tell_origins(now);
        self.send_waiting(now);
    }

    /// Adds a request. At least one action for it follows, now or later.
    pub fn arrive(&mut self, request: WorkRequest, now: ClockMillis) -> FlowKey {
        self.next_key += 1;
        let key = FlowKey(self.next_key);
        let pool = self.choose_pool(&request, now);
        if let Some(pool) = self.pools.get_mut(&pool) {
            pool.budget.note_request();
        }
        self.note_limited_demand(&pool, now);
        let holder_count = self.note_demand(&request, &pool, now);
        let is_taken_up = request.is_taken_up && request.kind == WorkKind::ResumableStream;
        let flow = RequestFlow {
            holder_count,
            ..RequestFlow::new(request, pool)
        };
        self.flows.insert(key, flow);
        match is_taken_up {
            true => self.take_up_stream(key, now),
            false => self.place(key, now),
        }
        key
    }

    /// Adds what other gateways know about requests that crash upstreams.
    pub fn merge_crash_evidence(
        &mut self,
        evidence: impl IntoIterator<Item = CrashEvidence>,
        now: ClockMillis,
    ) {
        for evidence in evidence {
            self.crashes.merge(evidence, now);
        }
    }

    /// Returns what this gateway has found, since the last call, about requests that crash upstreams, to be reported to
    /// the other gateways.
    pub fn take_crash_evidence(&mut self, now: ClockMillis) -> Vec<CrashEvidence> {
        self.crashes.take_unreported(now)
    }

    /// Returns what is known about the requests that are most suspect of crashing upstreams, including what other
    /// gateways have found.
    pub fn list_crash_evidence(&self, now: ClockMillis) -> Vec<CrashEvidence> {
        self.crashes.list_evidence(now)
    }

    /// Returns what has changed, since the last call, in what is known about requests that crash upstreams.
    pub fn take_crash_events(&mut self) -> Vec<CrashEvent> {
        self.crashes.take_events()
    }

    /// Returns the notices since the last call. If there were many, the newest are missing.
    pub fn take_notices(&mut self) -> Vec<FlowNotice> {
        self.notices.take()
    }

    /// Removes a request whose caller has disconnected. The process must abort the attempt itself.
    pub fn caller_left(&mut self, key: FlowKey, now: ClockMillis) {
        self.note_end_in_doubt(key, now);
        self.remove(key, now);
    }

    /// Handles an event of the request's current attempt.
    pub fn note_attempt(&mut self, key: FlowKey, event: AttemptEvent, now: ClockMillis) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let Some(attempt) = flow.attempt_mut() else {
            return;
        };
        let (pool, vm) = (attempt.pool.clone(), attempt.vm.clone());
        let incarnation = attempt.incarnation;
        if event.shows_life() {
            self.crashes.note_alive(&vm, attempt.started_at, now);
        }
        match event {
            AttemptEvent::Sent => {
                if !attempt.is_sent {
                    attempt.is_sent = true;
                    flow.sent_count += 1;
                }
            }
            AttemptEvent::Announced(announcement) => {
                self.note_announcement(&pool, &vm, incarnation, announcement, now);
            }
            AttemptEvent::StreamStarted(load) => {
                attempt.last_data_at = Some(now);
                let is_first = !flow.is_relayed;
                flow.is_relayed = true;
                flow.may_have_run = true;
                self.note_data(&pool, &vm, now);
                self.note_report(&pool, &vm, load, ReportSource::StreamHead, now);
                if is_first {
                    self.actions.push_back(FlowAction::Relay(key));
                }
            }
            AttemptEvent::StreamProgress => {
                attempt.last_data_at = Some(now);
                self.note_data(&pool, &vm, now);
                self.note_first_event(key, now);
            }
            AttemptEvent::Completed { status, load } => {
                self.note_data(&pool, &vm, now);
                self.note_report(&pool, &vm, load, ReportSource::Response, now);
                self.complete(key, &vm, status, EndProof::Framing, now);
            }
            AttemptEvent::EndedByClose { status, load } => {
                self.note_data(&pool, &vm, now);
                self.note_report(&pool, &vm, load, ReportSource::Response, now);
                self.complete(key, &vm, status, EndProof::Close, now);
            }
            AttemptEvent::Declined(cause, load) => {
                self.note_data(&pool, &vm, now);
                self.note_report(&pool, &vm, load, ReportSource::Response, now);
                self.decline(key, &vm, cause, now);
            }
            AttemptEvent::Broken(cause) => self.break_attempt(key, &vm, cause, now),
        }
    }

    /// Handles timeouts and starts queued requests. Must be called periodically.
    pub fn tick(&mut self, now: ClockMillis) {
        self.share_budgets(now);
        self.share_rate_limits(now);
        self.refuse_expired(now);
        self.release_paused(now);
        self.probe_unanswered(now);
        self.record_versions(now);
        let mut silent = Vec::new();
        let mut timed_out = Vec::new();
        for (key, flow) in &self.flows {
            if now >= flow.request.route_deadline + TIME_LIMIT_GRACE {
                timed_out.push(*key);
                continue;
            }
            if self.is_silent(flow, now) || self.is_suspect_silent(flow, now) {
                silent.push(*key);
            }
        }
        for key in timed_out {
            self.end_timed_out(key, now);
        }
        for key in silent {
            self.fail_over_silent(key, now);
        }
        self.send_waiting(now);
    }

    fn conditions(&self, now: ClockMillis) -> UpstreamConditions<'_> {
        UpstreamConditions {
            outcomes: &self.outcomes,
            announcements: &self.announcements,
            rate_limits: &self.rate_limits,
            now,
        }
    }

    fn note_data(&mut self, pool: &PoolName, vm: &VmName, now: ClockMillis) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.note_data(vm, now);
        }
    }
}
