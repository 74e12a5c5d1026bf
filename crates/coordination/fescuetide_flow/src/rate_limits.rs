//! Rate limits that upstreams name in their responses.

use fescuetide_base::ClockMillis;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::RequestRate;
use fescuetide_base::SpanMillis;
use fescuetide_base::UpstreamLife;
use fescuetide_base::VmName;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_limits::RateBucket;
use indexmap::IndexMap;

use crate::PoolKey;
use crate::placement::RecoveryState;
use crate::rate_shares::LimitShare;
use crate::rate_shares::MIN_SHARERS;

/// For how long after a response that names a limit, responses that name none do not end it. They may have been written before.
const LIMIT_HOLD: SpanMillis = SpanMillis::new(1_000);

/// How long a limit counts that no response has named or ended.
const LIMIT_RETENTION: SpanMillis = SpanMillis::new(600_000);

/// For how long after the end of a limit the upstream is spared: the windows in which it counts requests began before the end. Until
/// then the end is remembered, so that older news of the limit does not bring it back.
const RECOVERY_TIME: SpanMillis = SpanMillis::new(5_000);

/// The lowest rate that is used. Without any requests, nobody would learn that a limit has ended.
const MIN_RATE: RequestRate = RequestRate::per_1000_s(250);

/// The longest time until a turn. Within it, the parts of the gateways may change.
const MAX_TURN_TIME: SpanMillis = SpanMillis::new(10_000);

/// Time for which an upstream's tokens accumulate, if that is more than [`MAX_SPARE_TOKENS`].
const BURST_TIME: SpanMillis = SpanMillis::new(500);

/// Unused tokens of a gateway for an upstream with a low limit.
const MAX_SPARE_TOKENS: f64 = 2.0;

/// Unused tokens of all gateways together, for each request per second of a limit. In the 4 s in which upstreams count, they
/// bear twice as many requests above the limit.
const SPARE_TOKENS_PER_RATE: f64 = 1.2;

/// What a gateway knows about the limit of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitEntry {
    /// The upstream.
    pub life: UpstreamLife,
    /// The requests that it takes from all gateways together, `None` if it has named a limit and names none any more.
    pub rate: Option<RequestRate>,
    /// Time since the response that says so.
    pub age: SpanMillis,
}

/// What changes for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitChange {
    /// A limit is named where there was none.
    Named(RequestRate),
    /// There is no limit any more.
    Ended,
}

/// An incarnation of an upstream and its pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitTarget<'a> {
    pub(crate) vm: &'a VmName,
    pub(crate) incarnation: ProcessIncarnation,
    pub(crate) pool: PoolKey,
}

/// The limit of one incarnation of an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpstreamLimit {
    incarnation: ProcessIncarnation,
    pub(crate) life: UpstreamLife,
    pub(crate) pool: PoolKey,
    /// The limit, `None` after its end.
    pub(crate) rate: Option<RequestRate>,
    /// The highest limit that was named since there was none.
    highest: RequestRate,
    /// When a response said so.
    at: ClockMillis,
    /// Whether the upstream is known at present. Its entry may be missing for a moment.
    is_listed: bool,
    /// This gateway's part.
    bucket: RateBucket,
}

impl UpstreamLimit {
    fn is_in_force(&self) -> bool {
        self.is_listed && self.rate.is_some()
    }

    fn is_remembered(&self, now: ClockMillis) -> bool {
        let retention = match self.rate {
            Some(_) => LIMIT_RETENTION,
            None => RECOVERY_TIME,
        };
        now.since(self.at) < retention
    }

    /// The requests per second that all gateways together send to the upstream, `None` without a bound. While it recovers, they are as many
    /// as its highest limit allowed.
    pub(crate) fn shared_rate(&self, now: ClockMillis) -> Option<RequestRate> {
        if self.rate.is_some() {
            return self.rate;
        }
        (now.since(self.at) < RECOVERY_TIME).then_some(self.highest)
    }

    /// Sets this gateway's part of the limit.
    pub(crate) fn set_share(&mut self, share: LimitShare, now: ClockMillis) {
        let Some(limit) = self.shared_rate(now) else {
            return;
        };
        let limit = limit.max(MIN_RATE).as_per_second();
        let rate = limit * share.part;
        if rate <= 0.0 {
            self.bucket.set(0.0, 0.0, now);
            return;
        }
        let burst = rate * BURST_TIME.as_millis() as f64 / 1_000.0;
        let allowed = MIN_SHARERS as f64 + SPARE_TOKENS_PER_RATE * limit;
        // One that recovers gets what the others have no room for besides its tokens, so none are saved.
        let depth = match self.rate {
            Some(_) => (allowed / share.sharers as f64).min(burst.max(MAX_SPARE_TOKENS)),
            None => 1.0,
        };
        self.bucket.set(rate, depth.max(1.0), now);
    }
}

/// This gateway's tokens for several upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SharedTokens {
    upstream_count: usize,
    tokens: f64,
    /// Tokens per second.
    rate: f64,
    first_at: Option<ClockMillis>,
}

impl SharedTokens {
    /// Adds the tokens for one upstream.
    pub(crate) fn add(&mut self, bucket: &RateBucket, now: ClockMillis) {
        self.upstream_count += 1;
        self.tokens += bucket.tokens(now);
        self.rate += bucket.rate();
        let next_at = bucket.next_at(now);
        self.first_at = match (self.first_at, next_at) {
            (Some(first), Some(next)) => Some(first.min(next)),
            (first, next) => first.or(next),
        };
    }

    /// When the request at a position of the queue gets a token, at most [`MAX_TURN_TIME`] from now. Returns `None` without any
    /// upstreams.
    pub(crate) fn turn_at(&self, position: usize, now: ClockMillis) -> Option<ClockMillis> {
        if self.upstream_count == 0 {
            return None;
        }
        let latest = now + MAX_TURN_TIME;
        let Some(first_at) = self.first_at else {
            return Some(latest);
        };
        let missing = position as f64 + 1.0 - self.tokens;
        let millis = (missing / self.rate * 1_000.0).ceil();
        let enough_at = now + SpanMillis::new(millis as u64);
        Some(first_at.max(enough_at).min(latest))
    }
}

/// The rate limits of all upstreams, and this gateway's parts of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct RateLimitTable {
    limits: IndexMap<VmName, UpstreamLimit>,
}

impl RateLimitTable {
    /// Records what a response of an upstream says about its limit, `None` if it names none. Returns what changes. A response
    /// of an earlier incarnation is ignored.
    pub(crate) fn note(
        &mut self,
        target: LimitTarget<'_>,
        rate: Option<RequestRate>,
        now: ClockMillis,
    ) -> Option<LimitChange> {
        if rate.is_none() {
            let known = self.limits.get(target.vm)?;
            let is_held = now.since(known.at) < LIMIT_HOLD;
            if is_held || known.rate.is_none() || known.incarnation != target.incarnation {
                return None;
            }
        }
        self.apply(target, rate, now, now)
    }

    /// Applies what another gateway knows, unless this one has newer news.
    pub(crate) fn merge(
        &mut self,
        target: LimitTarget<'_>,
        entry: LimitEntry,
        now: ClockMillis,
    ) -> Option<LimitChange> {
        let at = ClockMillis::new(now.as_millis().saturating_sub(entry.age.as_millis()));
        let known = self.limits.get(target.vm);
        if known.is_some_and(|known| known.incarnation == target.incarnation && known.at >= at) {
            return None;
        }
        self.apply(target, entry.rate, at, now)
    }

    fn apply(
        &mut self,
        target: LimitTarget<'_>,
        rate: Option<RequestRate>,
        at: ClockMillis,
        now: ClockMillis,
    ) -> Option<LimitChange> {
        self.limits.retain(|_, limit| limit.is_remembered(now));
        let known = self.limits.get(target.vm).copied();
        if known.is_some_and(|known| target.incarnation < known.incarnation) {
            return None;
        }
        let known = known.filter(|known| known.incarnation == target.incarnation);
        // The first token is there at once, so that an upstream with a low limit is not left unused.
        let bucket = known.map_or(RateBucket::new(0.0, 1.0, now), |known| known.bucket);
        let limit = UpstreamLimit {
            incarnation: target.incarnation,
            life: UpstreamLife::of(target.vm, target.incarnation),
            pool: target.pool,
            rate,
            highest: known
                .map_or(rate, |known| rate.max(Some(known.highest)))
                .unwrap_or_default(),
            at,
            is_listed: true,
            bucket,
        };
        self.limits.insert(target.vm.clone(), limit);
        match (known.and_then(|known| known.rate), rate) {
            (None, Some(rate)) => Some(LimitChange::Named(rate)),
            (Some(_), None) => Some(LimitChange::Ended),
            _ => None,
        }
    }

    /// Records which upstreams are known.
    pub(crate) fn note_listing(&mut self, is_listed: impl Fn(UpstreamLife) -> bool) {
        for limit in self.limits.values_mut() {
            limit.is_listed = is_listed(limit.life);
        }
    }

    /// Whether any upstream has a limit.
    pub(crate) fn has_limits(&self) -> bool {
        self.limits.values().any(UpstreamLimit::is_in_force)
    }

    /// Whether gateways share the requests to any upstream, which has a limit or recovers after one.
    pub(crate) fn has_shares(&self, now: ClockMillis) -> bool {
        let mut limits = self.limits.values();
        limits.any(|limit| limit.is_listed && limit.is_remembered(now))
    }

    /// The limits in force.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &UpstreamLimit> {
        self.limits.values().filter(|limit| limit.is_in_force())
    }

    /// The limits in force and those that have ended lately, to set this gateway's parts.
    pub(crate) fn iter_mut(
        &mut self,
        now: ClockMillis,
    ) -> impl Iterator<Item = &mut UpstreamLimit> {
        let limits = self.limits.values_mut();
        limits.filter(move |limit| limit.is_listed && limit.is_remembered(now))
    }

    /// What is known about limits, without what is as old as `age_limit`.
    pub(crate) fn list(&self, age_limit: SpanMillis, now: ClockMillis) -> Vec<LimitEntry> {
        let mut entries = Vec::new();
        for limit in self.limits.values() {
            let age = now.since(limit.at);
            if age >= age_limit {
                continue;
            }
            entries.push(LimitEntry {
                life: limit.life,
                rate: limit.rate,
                age,
            });
        }
        entries
    }

    /// The limit of an upstream, if it has named one.
    pub(crate) fn limit_of(
        &self,
        vm: &VmName,
        incarnation: ProcessIncarnation,
    ) -> Option<RequestRate> {
        self.find(vm, incarnation)?.rate
    }

    /// This gateway's part of the limit of an upstream, `None` without a limit.
    pub(crate) fn bucket_of(&self, entry: &UpstreamEntry) -> Option<&RateBucket> {
        let limit = self.find(&entry.name, entry.incarnation)?;
        limit.rate.is_some().then_some(&limit.bucket)
    }

    /// How an upstream recovers after a limit, `None` if it does not.
    pub(crate) fn recovery(
        &self,
        entry: &UpstreamEntry,
        now: ClockMillis,
    ) -> Option<RecoveryState> {
        let limit = self.find(&entry.name, entry.incarnation)?;
        if limit.rate.is_some() {
            return None;
        }
        let since = now.since(limit.at).as_millis() as f64;
        let turn = limit.bucket.next_at(now);
        Some(RecoveryState {
            wait: turn.map_or(MAX_TURN_TIME, |turn| turn.since(now)),
            progress: since / RECOVERY_TIME.as_millis() as f64,
            rate: limit.shared_rate(now)?.max(MIN_RATE),
        })
    }

    /// Takes a token for a request to an upstream, if it has a limit or recovers after one. One that recovers may get requests that
    /// the others have no room for, and gets fewer after them.
    pub(crate) fn take_token(
        &mut self,
        vm: &VmName,
        incarnation: ProcessIncarnation,
        now: ClockMillis,
    ) {
        if let Some(limit) = self.limits.get_mut(vm)
            && limit.incarnation == incarnation
        {
            limit.bucket.take_ahead(now);
        }
    }

    fn find(&self, vm: &VmName, incarnation: ProcessIncarnation) -> Option<&UpstreamLimit> {
        let limit = self.limits.get(vm)?;
        (limit.incarnation == incarnation).then_some(limit)
    }
}
