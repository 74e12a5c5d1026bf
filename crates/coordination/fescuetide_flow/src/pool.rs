//! The upstreams of one pool as this router sees them.

use fescuetide_base::ClockMillis;
use fescuetide_base::StableHash;
use fescuetide_base::VmName;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_fleet::UpstreamState;
use fescuetide_limits::BudgetSettings;
use fescuetide_limits::RetryBudget;
use indexmap::IndexMap;

use crate::LoadReport;
use crate::health::OutcomeTable;
use crate::load::UpstreamLoad;
use crate::placement::PlaceCandidate;
use crate::placement::RankedUpstream;
use crate::waiting::WaitingQueue;

/// Requests that may wait at an upstream beyond its slots.
const UPSTREAM_QUEUE_LIMIT: u32 = 8;

/// One upstream.
#[derive(Clone, Debug)]
pub(crate) struct PoolUpstream {
    entry: UpstreamEntry,
    hash: u64,
    load: UpstreamLoad,
    heard_at: ClockMillis,
    known_since: ClockMillis,
}

impl PoolUpstream {
    fn new(entry: UpstreamEntry, now: ClockMillis) -> Self {
        Self {
            hash: StableHash::hash_bytes(entry.name.as_str().as_bytes()),
            entry,
            load: UpstreamLoad::default(),
            heard_at: ClockMillis::default(),
            known_since: now,
        }
    }

    fn room(&self) -> u32 {
        self.entry.slots + self.entry.slots.min(UPSTREAM_QUEUE_LIMIT)
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.entry.state == UpstreamState::Ready
    }
}

/// One pool.
#[derive(Debug)]
pub(crate) struct PoolState {
    upstreams: IndexMap<VmName, PoolUpstream>,
    pub(crate) waiting: WaitingQueue,
    pub(crate) budget: RetryBudget,
}

impl PoolState {
    pub(crate) fn new(settings: BudgetSettings) -> Self {
        Self {
            upstreams: IndexMap::new(),
            waiting: WaitingQueue::default(),
            budget: RetryBudget::new(settings),
        }
    }

    /// Takes over an entry. Returns whether a new life began.
    pub(crate) fn insert(&mut self, entry: UpstreamEntry, now: ClockMillis) -> bool {
        if let Some(known) = self.upstreams.get_mut(&entry.name)
            && known.entry.incarnation == entry.incarnation
        {
            known.entry = entry;
            return false;
        }
        let name = entry.name.clone();
        self.upstreams.insert(name, PoolUpstream::new(entry, now));
        true
    }

    /// Removes all upstreams that are not in `names`, and returns them.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(&VmName) -> bool) -> Vec<VmName> {
        let mut removed = Vec::new();
        self.upstreams.retain(|name, _| {
            let keep = is_listed(name);
            if !keep {
                removed.push(name.clone());
            }
            keep
        });
        removed
    }

    /// All upstreams that can be reached, also those that leave.
    pub(crate) fn ranked(
        &self,
        outcomes: &OutcomeTable,
        now: ClockMillis,
    ) -> Vec<RankedUpstream<'_>> {
        let mut ranked = Vec::with_capacity(self.upstreams.len());
        for (vm, upstream) in &self.upstreams {
            if !outcomes.is_reachable(vm, now) {
                continue;
            }
            ranked.push(RankedUpstream {
                vm,
                hash: upstream.hash,
                known_since: upstream.known_since,
            });
        }
        ranked
    }

    pub(crate) fn has_ready(&self) -> bool {
        self.upstreams.values().any(PoolUpstream::is_ready)
    }

    /// Whether there is an upstream that a request may still go to, now or when it has room.
    pub(crate) fn has_untried(&self, tried: &[VmName]) -> bool {
        let mut upstreams = self.upstreams.iter();
        upstreams.any(|(name, upstream)| upstream.is_ready() && !tried.contains(name))
    }

    pub(crate) fn add_work(&mut self, vm: &VmName) {
        if let Some(upstream) = self.upstreams.get_mut(vm) {
            upstream.load.add();
        }
    }

    pub(crate) fn remove_work(&mut self, vm: &VmName) {
        if let Some(upstream) = self.upstreams.get_mut(vm) {
            upstream.load.remove();
        }
    }

    /// Notes that something came from an upstream, and the load that it told.
    pub(crate) fn note_heard(&mut self, vm: &VmName, report: Option<LoadReport>, now: ClockMillis) {
        let Some(upstream) = self.upstreams.get_mut(vm) else {
            return;
        };
        upstream.heard_at = now;
        if let Some(report) = report {
            upstream.load.note_report(report, now);
        }
    }

    /// Whether something came from an upstream since `since`.
    pub(crate) fn is_heard(&self, vm: &VmName, since: ClockMillis) -> bool {
        self.upstreams
            .get(vm)
            .is_some_and(|upstream| upstream.heard_at > since)
    }

    /// The upstreams that a request may go to. Unreachable ones are only among them when there are no others.
    pub(crate) fn candidates(
        &self,
        tried: &[VmName],
        holders: &[&VmName],
        zone: &str,
        outcomes: &OutcomeTable,
        now: ClockMillis,
    ) -> Vec<PlaceCandidate<'_>> {
        let others = self.mean_others(now);
        let failure_share = self.mean_failure_share(outcomes);
        let mut reachable = Vec::with_capacity(self.upstreams.len());
        let mut held = Vec::new();
        for (name, upstream) in &self.upstreams {
            if !upstream.is_ready() || tried.contains(name) {
                continue;
            }
            let others = upstream.load.others(now).unwrap_or(others);
            let candidate = PlaceCandidate {
                vm: name,
                hash: upstream.hash,
                load: upstream.load.own() + others,
                room: upstream.room(),
                is_near: upstream.entry.zone.as_str() == zone,
                is_doubtful: outcomes.is_failing(name, failure_share),
                is_holder: holders.contains(&name),
            };
            if outcomes.is_reachable(name, now) {
                reachable.push(candidate);
            } else {
                held.push(candidate);
            }
        }
        if reachable.is_empty() {
            held
        } else {
            reachable
        }
    }

    /// This router's requests at all upstreams, and those of all routers. Upstreams that told no load lately count with
    /// the mean of the others: they are mostly those where this router has nothing.
    pub(crate) fn work_totals(&self, now: ClockMillis) -> (u32, u32) {
        let mut own = 0;
        let mut known = 0;
        let mut count = 0;
        for upstream in self.upstreams.values() {
            own += upstream.load.own();
            if let Some(others) = upstream.load.others(now) {
                known += upstream.load.own() + others;
                count += 1;
            }
        }
        if count == 0 {
            return (own, 0);
        }
        let all = f64::from(known) * self.upstreams.len() as f64 / f64::from(count);
        (own, all as u32)
    }

    /// The mean work of other routers at the upstreams that told it.
    fn mean_others(&self, now: ClockMillis) -> u32 {
        let mut sum = 0;
        let mut count = 0;
        for upstream in self.upstreams.values() {
            let Some(others) = upstream.load.others(now) else {
                continue;
            };
            sum += others;
            count += 1;
        }
        sum / count.max(1)
    }

    fn mean_failure_share(&self, outcomes: &OutcomeTable) -> f64 {
        let sum: f64 = self
            .upstreams
            .keys()
            .map(|name| outcomes.failure_share(name))
            .sum();
        sum / self.upstreams.len().max(1) as f64
    }
}
