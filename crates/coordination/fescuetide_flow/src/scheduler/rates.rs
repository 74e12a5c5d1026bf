//! Rate limits of upstreams, which all gateways share.

use fescuetide_base::ClockMillis;
use fescuetide_base::PoolName;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::RequestRate;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use indexmap::IndexMap;

use super::RequestScheduler;
use crate::DemandEntry;
use crate::FlowNotice;
use crate::GatewayId;
use crate::LimitEntry;
use crate::PoolKey;
use crate::rate_limits::LimitChange;
use crate::rate_limits::LimitTarget;

/// Time between two computations of this gateway's parts.
const SHARE_INTERVAL: SpanMillis = SpanMillis::new(200);

/// Time in which the rates of all gateways become known, after a limit was named.
const RATE_SPREAD_TIME: SpanMillis = SpanMillis::new(2_000);

/// Rise of the own rate of requests after which the parts are computed at once.
const OUTDATED_FACTOR: f64 = 2.0;

/// Time between two digests.
const DIGEST_INTERVAL: SpanMillis = SpanMillis::new(200);

/// Time between two digests while the rates of all gateways become known.
const FIRST_DIGEST_INTERVAL: SpanMillis = SpanMillis::new(40);

/// Age from which on limits and rates are not passed on. What is in force is heard of again and again.
const DIGEST_AGE_LIMIT: SpanMillis = SpanMillis::new(2_000);

/// Maximum number of limits and of rates in a digest. If there are more, each digest has the next ones.
pub const LIMIT_DIGEST_LIMIT: usize = 64;

/// What gateways tell each other to share rate limits.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LimitDigest {
    /// Limits of upstreams.
    pub limits: Vec<LimitEntry>,
    /// Rates at which requests arrive at gateways, for pools with limits.
    pub demands: Vec<DemandEntry>,
}

/// What this gateway's parts of limits were computed from, and when.
#[derive(Clone, Debug, Default)]
pub(super) struct ShareState {
    /// Since when upstreams have limits.
    limited_since: Option<ClockMillis>,
    computed_at: ClockMillis,
    /// This gateway's rates of requests per second.
    own_rates: IndexMap<PoolKey, f64>,
    /// Number of digests for other gateways.
    digests: usize,
    next_digest_at: ClockMillis,
}

impl ShareState {
    /// Whether a limit was named so recently that the rates of other gateways may not be known yet.
    fn is_settling(&self, now: ClockMillis) -> bool {
        self.limited_since
            .is_some_and(|since| now.since(since) < RATE_SPREAD_TIME)
    }
}

impl RequestScheduler {
    /// Sets the ids of this gateway and of the others, with which it shares rate limits.
    pub fn set_gateways(&mut self, own: GatewayId, peers: Vec<GatewayId>) {
        self.demand.set_gateways(own, peers);
    }

    /// Number of upstreams with a rate limit.
    pub fn rate_limit_count(&self) -> usize {
        self.rate_limits.iter().count()
    }

    /// Handles the limit that a response of an upstream names, or that it names none.
    pub(super) fn note_rate_limit(
        &mut self,
        pool: &PoolName,
        vm: &VmName,
        incarnation: ProcessIncarnation,
        rate: Option<RequestRate>,
        now: ClockMillis,
    ) {
        let target = LimitTarget {
            vm,
            incarnation,
            pool: PoolKey::of(pool),
        };
        let change = self.rate_limits.note(target, rate, now);
        self.finish_limit_change(vm, change, now);
    }

    fn finish_limit_change(&mut self, vm: &VmName, change: Option<LimitChange>, now: ClockMillis) {
        let upstream = vm.clone();
        let notice = match change {
            Some(LimitChange::Named(rate)) => FlowNotice::RateLimited { upstream, rate },
            Some(LimitChange::Ended) => FlowNotice::RateLimitEnded { upstream },
            None => return,
        };
        self.notices.push(notice);
        self.compute_shares(now);
    }

    /// Computes this gateway's parts of limits again, if that is due.
    pub(super) fn share_rate_limits(&mut self, now: ClockMillis) {
        let is_due = now.since(self.share_state.computed_at) >= SHARE_INTERVAL;
        if is_due && (self.share_state.limited_since.is_some() || self.rate_limits.has_shares(now))
        {
            self.compute_shares(now);
        }
    }

    /// Records a request for a pool, by which its gateways divide limits.
    pub(super) fn note_limited_demand(&mut self, pool: &PoolName, now: ClockMillis) {
        let pool = PoolKey::of(pool);
        self.demand.note_arrival(pool, now);
        if self.share_state.limited_since.is_none() {
            return;
        }
        let used = self.share_state.own_rates.get(&pool).copied();
        if self.demand.own_rate(pool, now) > used.unwrap_or(0.0) * OUTDATED_FACTOR {
            self.compute_shares(now);
        }
    }

    fn compute_shares(&mut self, now: ClockMillis) {
        self.share_state.computed_at = now;
        if !self.rate_limits.has_shares(now) {
            self.share_state.limited_since = None;
            return;
        }
        let since = *self.share_state.limited_since.get_or_insert(now);
        let mut views = IndexMap::new();
        for name in self.pools.keys() {
            let pool = PoolKey::of(name);
            let view = self.demand.view(pool, since, now);
            let spare = self.spare_rate(name, view.total(), now);
            let own_rate = self.demand.own_rate(pool, now);
            self.share_state.own_rates.insert(pool, own_rate);
            views.insert(pool, (view, spare));
        }
        for limit in self.rate_limits.iter_mut(now) {
            let shared = limit.shared_rate(now);
            let (Some(rate), Some((view, spare))) = (shared, views.get(&limit.pool)) else {
                continue;
            };
            limit.set_share(view.share(limit.life, rate, *spare), now);
        }
    }

    /// By how much the limits of a pool exceed what is asked, per second, if all its ready upstreams have limits. Then no
    /// gateway may be left without a part, and the requests themselves bound how many tokens are used at once. Until the
    /// rates of other gateways are known, none is left without a part either.
    fn spare_rate(&self, pool: &PoolName, demand: f64, now: ClockMillis) -> Option<f64> {
        let limit = self.pools.get(pool)?.total_limit(self.conditions(now));
        let spare = limit.map_or(0.0, |limit| (limit - demand).max(0.0));
        (spare > 0.0 || self.share_state.is_settling(now)).then_some(spare)
    }

    /// Returns what to tell another gateway about rate limits, `None` if no digest is due, or if no upstream has named a limit
    /// lately. Must be called periodically.
    pub fn take_limit_digest(&mut self, now: ClockMillis) -> Option<LimitDigest> {
        if now < self.share_state.next_digest_at {
            return None;
        }
        let mut limits = self.rate_limits.list(DIGEST_AGE_LIMIT, now);
        let mut demands = Vec::new();
        let shared = self.rate_limits.iter_mut(now);
        let mut pools: Vec<PoolKey> = shared.map(|limit| limit.pool).collect();
        pools.sort_unstable();
        pools.dedup();
        for pool in pools {
            self.demand.list(pool, DIGEST_AGE_LIMIT, &mut demands, now);
        }
        if limits.is_empty() && demands.is_empty() {
            return None;
        }
        let interval = match self.share_state.is_settling(now) {
            true => FIRST_DIGEST_INTERVAL,
            false => DIGEST_INTERVAL,
        };
        self.share_state.next_digest_at = now + interval;
        self.share_state.digests += 1;
        keep_next(&mut limits, self.share_state.digests);
        keep_next(&mut demands, self.share_state.digests);
        Some(LimitDigest { limits, demands })
    }

    /// Adds what another gateway tells about rate limits. Upstreams that are not known here are skipped.
    pub fn merge_limit_digest(&mut self, digest: &LimitDigest, now: ClockMillis) {
        for entry in &digest.demands {
            let mut pools = self.pools.keys();
            if pools.any(|name| PoolKey::of(name) == entry.pool) {
                self.demand.merge(*entry, now);
            }
        }
        for entry in &digest.limits {
            let Some((pool, vm, incarnation)) = self.find_upstream(*entry) else {
                continue;
            };
            let target = LimitTarget {
                vm: &vm,
                incarnation,
                pool,
            };
            let change = self.rate_limits.merge(target, *entry, now);
            self.finish_limit_change(&vm, change, now);
        }
    }

    fn find_upstream(&self, entry: LimitEntry) -> Option<(PoolKey, VmName, ProcessIncarnation)> {
        for (name, pool) in &self.pools {
            if let Some((vm, incarnation)) = pool.find(entry.life) {
                return Some((PoolKey::of(name), vm.clone(), incarnation));
            }
        }
        None
    }
}

/// Keeps [`LIMIT_DIGEST_LIMIT`] entries, other ones in each of successive digests.
fn keep_next<T>(entries: &mut Vec<T>, digest: usize) {
    let count = entries.len();
    if count > LIMIT_DIGEST_LIMIT {
        entries.rotate_left(digest * LIMIT_DIGEST_LIMIT % count);
        entries.truncate(LIMIT_DIGEST_LIMIT);
    }
}
