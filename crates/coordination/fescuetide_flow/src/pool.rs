//! A gateway's view of the upstreams in one pool.

mod upstream;

use fescuetide_base::ClockMillis;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::UpstreamLife;
use fescuetide_base::VmName;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_fleet::VersionKey;
use fescuetide_limits::RetryBudget;
use indexmap::IndexMap;

use crate::LoadEntry;
use crate::LoadReport;
use crate::demand::DemandTable;
use crate::health::OutcomeTable;
use crate::load;
use crate::placement::KnownUpstream;
use crate::placement::UpstreamCandidate;
use crate::rate_limits::SharedTokens;
use crate::versions::VersionTable;
use crate::waiting::WaitingQueue;

pub(crate) use upstream::PoolUpstream;
pub(crate) use upstream::UpstreamConditions;
pub(crate) use upstream::UpstreamFilter;

/// What became of an entry of another gateway's load digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MergeResult {
    /// It is newer than what was known.
    Applied,
    /// A report that is as new is known, or the entry is too old.
    Known,
    /// An upstream with so many slots does not have such a load.
    Implausible,
}

/// The upstreams of a pool, its queue and its retry budget.
#[derive(Debug)]
pub(crate) struct PoolState {
    upstreams: IndexMap<VmName, PoolUpstream>,
    /// The upstreams by their keys in load digests.
    names: IndexMap<UpstreamLife, VmName>,
    demand: DemandTable,
    /// The versions of the upstreams, now and lately.
    pub(crate) versions: VersionTable,
    /// Whether other gateways are told where streams begin, since there are several versions.
    pub(crate) tells_origins: bool,
    pub(crate) waiting: WaitingQueue,
    pub(crate) budget: RetryBudget,
}

impl PoolState {
    pub(crate) fn new(budget: RetryBudget) -> Self {
        Self {
            upstreams: IndexMap::new(),
            names: IndexMap::new(),
            demand: DemandTable::default(),
            versions: VersionTable::default(),
            tells_origins: false,
            waiting: WaitingQueue::default(),
            budget,
        }
    }

    /// Adds or updates an upstream. Returns `true` if it is new or has a new incarnation.
    pub(crate) fn insert(&mut self, entry: UpstreamEntry, now: ClockMillis) -> bool {
        if let Some(known) = self.upstreams.get_mut(&entry.name)
            && known.entry.incarnation == entry.incarnation
        {
            known.version = entry.version.key();
            known.entry = entry;
            return false;
        }
        let name = entry.name.clone();
        let upstream = PoolUpstream::new(entry, now);
        self.names.retain(|_, known| *known != name);
        self.names.insert(upstream.key, name.clone());
        self.upstreams.insert(name, upstream);
        true
    }

    /// Removes and returns all upstreams for which `is_listed` is false.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(&VmName) -> bool) -> Vec<VmName> {
        let mut removed = Vec::new();
        self.upstreams.retain(|name, _| {
            let keep = is_listed(name);
            if !keep {
                removed.push(name.clone());
            }
            keep
        });
        if !removed.is_empty() {
            self.names.retain(|_, name| is_listed(name));
        }
        removed
    }

    /// All reachable upstreams of a version, including those that are leaving.
    pub(crate) fn reachable(
        &self,
        version: VersionKey,
        outcomes: &OutcomeTable,
        now: ClockMillis,
    ) -> Vec<KnownUpstream<'_>> {
        let mut reachable = Vec::with_capacity(self.upstreams.len());
        for (vm, upstream) in &self.upstreams {
            if upstream.version != version || !outcomes.is_reachable(vm, now) {
                continue;
            }
            reachable.push(KnownUpstream {
                vm,
                hash: upstream.hash,
                discovered_at: upstream.discovered_at,
            });
        }
        reachable
    }

    /// Whether the pool has a ready upstream, regardless of its load and of pauses.
    pub(crate) fn has_ready(&self, conditions: UpstreamConditions<'_>) -> bool {
        let mut upstreams = self.upstreams.values();
        upstreams.any(|upstream| conditions.is_ready(upstream))
    }

    /// Whether an upstream of the pool accepts requests, regardless of its load.
    pub(crate) fn accepts_requests(&self, conditions: UpstreamConditions<'_>) -> bool {
        let mut upstreams = self.upstreams.values();
        upstreams.any(|upstream| conditions.accepts_requests(upstream))
    }

    /// Whether the upstream `vm` accepts requests, regardless of its load.
    pub(crate) fn accepts_requests_at(
        &self,
        vm: &VmName,
        conditions: UpstreamConditions<'_>,
    ) -> bool {
        let upstream = self.upstreams.get(vm);
        upstream.is_some_and(|upstream| conditions.accepts_requests(upstream))
    }

    /// When the request at a position of the queue can be sent, if all ready upstreams that `filter` allows are paused or have rate
    /// limits. Returns `None` if one has neither, or a request at the first position can be sent now.
    pub(crate) fn turn_at(
        &self,
        position: usize,
        filter: UpstreamFilter<'_>,
        conditions: UpstreamConditions<'_>,
    ) -> Option<ClockMillis> {
        let now = conditions.now;
        let mut first_pause_end: Option<ClockMillis> = None;
        let mut tokens = SharedTokens::default();
        for (name, upstream) in &self.upstreams {
            if !conditions.is_ready(upstream) || !filter.allows(name, upstream) {
                continue;
            }
            if let Some(end) = conditions.paused_until(upstream) {
                first_pause_end = Some(first_pause_end.map_or(end, |first| first.min(end)));
                continue;
            }
            tokens.add(conditions.rate_limits.bucket_of(&upstream.entry)?, now);
        }
        let turn = match (tokens.turn_at(position, now), first_pause_end) {
            (Some(turn), Some(end)) => turn.min(end),
            (turn, end) => turn.or(end)?,
        };
        (turn > now).then_some(turn)
    }

    /// The sum of the rate limits of the ready upstreams, per second, `None` if one has no limit.
    pub(crate) fn total_limit(&self, conditions: UpstreamConditions<'_>) -> Option<f64> {
        let mut total = 0.0;
        for upstream in self.upstreams.values() {
            if !conditions.is_ready(upstream) {
                continue;
            }
            let UpstreamEntry {
                name, incarnation, ..
            } = &upstream.entry;
            let limit = conditions.rate_limits.limit_of(name, *incarnation)?;
            total += limit.as_per_second();
        }
        Some(total)
    }

    /// The name and incarnation of a life of an upstream.
    pub(crate) fn find(&self, life: UpstreamLife) -> Option<(&VmName, ProcessIncarnation)> {
        let name = self.names.get(&life)?;
        let upstream = self.upstreams.get(name)?;
        Some((name, upstream.entry.incarnation))
    }

    /// Whether the pool has a ready upstream that `filter` allows, regardless of its load.
    pub(crate) fn has_untried(
        &self,
        filter: UpstreamFilter<'_>,
        conditions: UpstreamConditions<'_>,
    ) -> bool {
        let mut upstreams = self.upstreams.iter();
        upstreams
            .any(|(name, upstream)| conditions.is_ready(upstream) && filter.allows(name, upstream))
    }

    /// Records the versions of the upstreams after a change of the list.
    pub(crate) fn note_listed_versions(&mut self, now: ClockMillis) {
        let upstreams = self.upstreams.values();
        let listed = upstreams.map(|upstream| upstream.version).collect();
        self.versions.note_listing(&listed, now);
    }

    /// Restricts a filter to its preferred version, if an upstream of that is left.
    fn narrow<'a>(
        &self,
        filter: UpstreamFilter<'a>,
        conditions: UpstreamConditions<'_>,
    ) -> UpstreamFilter<'a> {
        let narrowed = UpstreamFilter {
            version: filter.version.or(filter.preferred_version),
            ..filter
        };
        match self.has_untried(narrowed, conditions) {
            true => narrowed,
            false => filter,
        }
    }

    /// Whether a stream must not begin at a version that is not recorded in the log yet: another one that is can serve it.
    fn needs_recorded(
        &self,
        filter: UpstreamFilter<'_>,
        conditions: UpstreamConditions<'_>,
    ) -> bool {
        if !filter.begins_stream || !self.versions.has_unrecorded() {
            return false;
        }
        let mut upstreams = self.upstreams.values();
        upstreams.any(|upstream| {
            conditions.is_ready(upstream) && self.versions.is_recorded(upstream.version)
        })
    }

    /// Records a request with a shared prompt prefix. Returns the number of upstreams among which such requests are divided, so
    /// that those of a popular prefix alone give each of them the mean load.
    pub(crate) fn note_demand(&mut self, prefix: u64, now: ClockMillis) -> usize {
        let share = self.demand.note_arrival(prefix, now);
        let holders = (share * self.upstreams.len() as f64).ceil();
        (holders as usize).max(1)
    }

    pub(crate) fn add_request(&mut self, vm: &VmName, now: ClockMillis) {
        if let Some(upstream) = self.upstreams.get_mut(vm) {
            upstream.load.add(now);
        }
    }

    pub(crate) fn remove_request(&mut self, vm: &VmName) {
        if let Some(upstream) = self.upstreams.get_mut(vm) {
            upstream.load.remove();
        }
    }

    /// Records that data arrived from an upstream.
    pub(crate) fn note_data(&mut self, vm: &VmName, now: ClockMillis) {
        if let Some(upstream) = self.upstreams.get_mut(vm) {
            upstream.last_data_at = now;
        }
    }

    /// Records the load that an upstream reported to this gateway. `is_shared` is whether other gateways are told. Returns
    /// false if the report is not plausible.
    pub(crate) fn note_report(
        &mut self,
        vm: &VmName,
        report: LoadReport,
        is_shared: bool,
        now: ClockMillis,
    ) -> bool {
        let Some(upstream) = self.upstreams.get_mut(vm) else {
            return true;
        };
        if !load::is_plausible(report.total(), upstream.entry.slots) {
            return false;
        }
        upstream.load.note_report(report, is_shared, now);
        true
    }

    /// Applies an entry of another gateway's load digest, `None` if it is about an upstream of another pool.
    pub(crate) fn merge_load(&mut self, entry: LoadEntry, now: ClockMillis) -> Option<MergeResult> {
        let name = self.names.get(&entry.key)?;
        let upstream = self.upstreams.get_mut(name)?;
        if !load::is_plausible(entry.load, upstream.entry.slots) {
            return Some(MergeResult::Implausible);
        }
        Some(match upstream.load.merge(entry.load, entry.age, now) {
            true => MergeResult::Applied,
            false => MergeResult::Known,
        })
    }

    /// Appends the reports that other gateways should be told of to `digest`.
    pub(crate) fn list_unshared(&self, digest: &mut Vec<LoadEntry>, now: ClockMillis) {
        for upstream in self.upstreams.values() {
            let Some((load, age)) = upstream.load.unshared_report(now) else {
                continue;
            };
            digest.push(LoadEntry {
                key: upstream.key,
                load,
                age,
            });
        }
    }

    /// Records that a digest with the last report of an upstream is sent.
    pub(crate) fn note_shared(&mut self, key: UpstreamLife) {
        let Some(name) = self.names.get(&key) else {
            return;
        };
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.load.note_shared();
        }
    }

    /// The mean number of outstanding requests of an upstream, those of all gateways together.
    pub(crate) fn mean_load(&self, now: ClockMillis) -> f64 {
        let (_, all) = self.request_totals(now);
        f64::from(all) / self.upstreams.len().max(1) as f64
    }

    /// When data last arrived from an upstream.
    pub(crate) fn last_data_at(&self, vm: &VmName) -> Option<ClockMillis> {
        self.upstreams.get(vm).map(|upstream| upstream.last_data_at)
    }

    /// When data last arrived from any upstream but `vm`.
    pub(crate) fn last_data_at_others(&self, vm: &VmName) -> ClockMillis {
        let others = self.upstreams.iter().filter(|(name, _)| *name != vm);
        let times = others.map(|(_, upstream)| upstream.last_data_at);
        times.max().unwrap_or_default()
    }

    /// Whether any data arrived from an upstream after `since`.
    pub(crate) fn is_responsive(&self, vm: &VmName, since: ClockMillis) -> bool {
        self.upstreams
            .get(vm)
            .is_some_and(|upstream| upstream.last_data_at > since)
    }

    /// The upstreams that a request may be sent to. Unreachable upstreams are returned only if no other is available.
    pub(crate) fn candidates(
        &self,
        filter: UpstreamFilter<'_>,
        holders: &[&VmName],
        zone: &str,
        conditions: UpstreamConditions<'_>,
    ) -> Vec<UpstreamCandidate<'_>> {
        let UpstreamConditions { outcomes, now, .. } = conditions;
        let others = self.mean_others(now);
        let failure_rate = self.mean_failure_rate(outcomes);
        let needs_recorded = self.needs_recorded(filter, conditions);
        let filter = self.narrow(filter, conditions);
        let mut reachable = Vec::with_capacity(self.upstreams.len());
        let mut unreachable = Vec::new();
        for (name, upstream) in &self.upstreams {
            if !conditions.accepts_requests(upstream) || !filter.allows(name, upstream) {
                continue;
            }
            if needs_recorded && !self.versions.is_recorded(upstream.version) {
                continue;
            }
            let others = upstream.load.others(now).unwrap_or(others);
            let candidate = UpstreamCandidate {
                vm: name,
                incarnation: upstream.entry.incarnation,
                version: upstream.version,
                hash: upstream.hash,
                load: upstream.load.own() + others,
                load_age: upstream.load.age(now),
                capacity: upstream.capacity(),
                is_same_zone: upstream.entry.zone.as_str() == zone,
                is_failing: outcomes.is_failing(name, failure_rate),
                has_prefix: holders.contains(&name),
                recovery: conditions.recovery(upstream),
            };
            match outcomes.is_reachable(name, now) {
                true => reachable.push(candidate),
                false => unreachable.push(candidate),
            }
        }
        match reachable.is_empty() {
            true => unreachable,
            false => reachable,
        }
    }

    /// Returns the outstanding requests of this gateway and an estimate for all gateways.
    ///
    /// Upstreams without a recent load report are assumed to have the mean load of the upstreams with one. Reports are
    /// mostly missing where this gateway has no requests.
    pub(crate) fn request_totals(&self, now: ClockMillis) -> (u32, u32) {
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

    /// The mean number of requests of other gateways, over the upstreams with a recent load report.
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

    fn mean_failure_rate(&self, outcomes: &OutcomeTable) -> f64 {
        let sum: f64 = self
            .upstreams
            .keys()
            .map(|name| outcomes.failure_rate(name))
            .sum();
        sum / self.upstreams.len().max(1) as f64
    }
}
