//! Selection of the upstream for a request.

use std::cmp::Reverse;

use fescuetide_base::ClockMillis;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::RequestRate;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_fleet::VersionKey;
use fescuetide_routing::score_upstream;

use crate::FlowSettings;

/// How many times as many requests as usual go at first to upstreams that do not recover after a rate limit, to spare those that do.
/// Below the load cap by a margin for arrivals that are not even.
const SPARING_MULTIPLE: f64 = 1.5;

/// Load up to which upstreams that do not recover get all requests.
const SPARING_ALLOWANCE: u32 = 4;

/// How an upstream recovers after a rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RecoveryState {
    /// Time until it is to get the next request from this gateway. Until then it is spared.
    pub(crate) wait: SpanMillis,
    /// Part of the time of the recovery that has passed, from 0 to 1.
    pub(crate) progress: f64,
    /// The requests that it is to get from all gateways together.
    pub(crate) rate: RequestRate,
}

/// An upstream that a request may be sent to.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamCandidate<'a> {
    pub(crate) vm: &'a VmName,
    pub(crate) incarnation: ProcessIncarnation,
    /// The version of its software.
    pub(crate) version: VersionKey,
    /// The stable hash of the upstream's name.
    pub(crate) hash: u64,
    /// Estimated number of outstanding requests.
    pub(crate) load: u32,
    /// Age of the load report that the estimate rests on, `None` if the load of other gateways is not known.
    pub(crate) load_age: Option<SpanMillis>,
    /// Maximum number of outstanding requests.
    pub(crate) capacity: u32,
    /// Whether it is in this gateway's availability zone.
    pub(crate) is_same_zone: bool,
    /// Whether its failure rate is high, so that it is used only if all others are full.
    pub(crate) is_failing: bool,
    /// Whether it probably has the shared prompt prefix cached.
    pub(crate) has_prefix: bool,
    /// How it recovers after a rate limit, `None` if it does not.
    pub(crate) recovery: Option<RecoveryState>,
}

/// A shared prompt prefix and how much it is wanted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefixDemand {
    /// The hash of the prefix.
    pub(crate) hash: u64,
    /// Number of upstreams among which the requests with the prefix are divided.
    pub(crate) holder_count: usize,
}

/// Chooses an upstream, or returns `None` if all are full.
///
/// Requests with a shared prompt prefix are routed by rendezvous hashing with bounded loads (Mirrokni, Thorup,
/// Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018): the highest ranked upstream whose load is below a
/// multiple of the mean. Upstreams that already have the prefix cached rank first, so that a new upstream does not take
/// over prefixes that are cached elsewhere. When a surge for one prefix overflows an upstream, all gateways agree on
/// the next one. Requests with a popular prefix are divided among as many of its highest ranked upstreams as its share of all
/// requests needs, before any load is known. All other requests go to the least loaded upstream.
///
/// Upstreams that recover after a rate limit are spared as far as the others are not overloaded for that. If all recover, none is spared.
pub(crate) fn choose_upstream<'a>(
    candidates: &'a [UpstreamCandidate<'a>],
    wanted: Option<PrefixDemand>,
    tie_break_seed: u64,
    settings: &FlowSettings,
) -> Option<&'a UpstreamCandidate<'a>> {
    let sum: u32 = candidates.iter().map(|candidate| candidate.load).sum();
    let mean = f64::from(sum) / candidates.len().max(1) as f64;
    let used = leave_out_spared(candidates, tie_break_seed);
    let has_capacity = |candidate: &&UpstreamCandidate<'a>| candidate.load < candidate.capacity;
    let is_healthy = |candidate: &&UpstreamCandidate<'a>| !candidate.is_failing;
    if let Some(wanted) = wanted {
        let cap = load_cap(mean, settings);
        let below_cap = used
            .iter()
            .copied()
            .filter(has_capacity)
            .filter(is_healthy)
            .filter(|candidate| is_below_cap(candidate, cap, tie_break_seed));
        let score =
            |candidate: &&UpstreamCandidate<'a>| score_upstream(wanted.hash, candidate.hash);
        let preferred = match wanted.holder_count {
            0 | 1 => below_cap.max_by_key(|candidate| (candidate.has_prefix, score(candidate))),
            count => choose_holder(below_cap.collect(), count, score, tie_break_seed),
        };
        if preferred.is_some() {
            return preferred;
        }
    }
    used.into_iter()
        .filter(has_capacity)
        .min_by_key(|candidate| {
            let order = score_upstream(tie_break_seed, candidate.hash);
            (
                candidate.is_failing,
                candidate.load,
                !candidate.is_same_zone,
                order,
            )
        })
}

/// The part of the requests that goes to the upstreams that do not recover. At the end of the recovery, they get no more than usual, so
/// that they need not be relieved then.
fn part_of_others(candidates: &[UpstreamCandidate<'_>]) -> f64 {
    let recoveries = candidates.iter().filter_map(|other| other.recovery);
    let progress = recoveries.map(|state| state.progress).fold(0.0, f64::max);
    let multiple = SPARING_MULTIPLE - (SPARING_MULTIPLE - 1.0) * progress;
    let others = candidates.iter().filter(|other| other.recovery.is_none());
    multiple * others.count() as f64 / candidates.len().max(1) as f64
}

/// Leaves out the upstreams that are spared, or for a part of the requests all but one of these. It is the one whose turn comes first; if
/// this gateway has no part of their rates, it is drawn by them. Draws divide the requests of all gateways without any of them knowing
/// what the others send.
fn leave_out_spared<'a>(
    candidates: &'a [UpstreamCandidate<'a>],
    tie_break_seed: u64,
) -> Vec<&'a UpstreamCandidate<'a>> {
    if candidates.iter().all(|other| other.recovery.is_some()) {
        return candidates.iter().collect();
    }
    let mut used = Vec::with_capacity(candidates.len());
    let mut spared = Vec::new();
    for candidate in candidates {
        match candidate
            .recovery
            .filter(|state| state.wait.as_millis() > 0)
        {
            None => used.push(candidate),
            Some(state) => spared.push((state, candidate)),
        }
    }
    spared.retain(|(_, other)| other.load < other.capacity);
    if spared.is_empty() {
        return used;
    }
    let has_room = |load: u32| {
        used.iter()
            .any(|other| other.load < other.capacity.min(load))
    };
    let is_for_others = draw(tie_break_seed, PART_DRAW) < part_of_others(candidates);
    let uses_others = has_room(SPARING_ALLOWANCE) || (is_for_others && has_room(u32::MAX));
    // The first of several events that come at these rates.
    let time_of_event = |(state, other): &(RecoveryState, &UpstreamCandidate<'a>)| {
        -draw(tie_break_seed, other.hash).ln() / state.rate.as_per_second()
    };
    let next = spared.iter().min_by(|one, other| {
        let turn = one.0.wait.cmp(&other.0.wait);
        turn.then(time_of_event(one).total_cmp(&time_of_event(other)))
    });
    match next {
        Some((_, next)) if !uses_others => vec![*next],
        _ => used,
    }
}

/// A number from 0 to 1 that follows from `seed` and is independent for each `key`.
fn draw(seed: u64, key: u64) -> f64 {
    score_upstream(seed, key) as f64 / u64::MAX as f64
}

/// The draw of the part by which the load cap is lowered.
const REDUCTION_DRAW: u64 = 0;

/// The draw of whether a request goes to an upstream that is spared.
const PART_DRAW: u64 = 1;

/// Part of the load cap by which it is lowered at most for an upstream whose load report is old.
const CAP_REDUCTION: f64 = 0.3;

/// Age of a load report from which on the load cap may be lowered by all of [`CAP_REDUCTION`].
const FULL_REDUCTION_AGE: SpanMillis = SpanMillis::new(500);

/// Whether an upstream is below the load cap. The older its report, the more requests other gateways may have sent there
/// since, so the cap is lowered by a random part. If all gateways compared an old report with the same cap, all would send
/// requests there until the next report, and then none would.
fn is_below_cap(candidate: &UpstreamCandidate<'_>, cap: u32, seed: u64) -> bool {
    let age = candidate.load_age.unwrap_or_default();
    let doubt = age.min(FULL_REDUCTION_AGE).as_millis() as f64;
    let part = draw(seed, REDUCTION_DRAW);
    let reduction = CAP_REDUCTION * part * doubt / FULL_REDUCTION_AGE.as_millis() as f64;
    f64::from(candidate.load) < f64::from(cap) * (1.0 - reduction)
}

/// Chooses one of the `count` upstreams with the highest scores, by `seed`.
fn choose_holder<'a>(
    mut candidates: Vec<&'a UpstreamCandidate<'a>>,
    count: usize,
    score: impl Fn(&&UpstreamCandidate<'a>) -> u64,
    seed: u64,
) -> Option<&'a UpstreamCandidate<'a>> {
    candidates.sort_by_cached_key(|candidate| Reverse(score(candidate)));
    candidates.truncate(count);
    let order = |candidate: &&UpstreamCandidate<'a>| score_upstream(seed, candidate.hash);
    candidates.into_iter().max_by_key(order)
}

/// For this long after an upstream was discovered, it may not have cached the prefixes for which it ranks highest.
const JOIN_PERIOD: SpanMillis = SpanMillis::new(30_000);

/// An upstream that may have a shared prefix cached.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownUpstream<'a> {
    pub(crate) vm: &'a VmName,
    /// The stable hash of the upstream's name.
    pub(crate) hash: u64,
    /// When this gateway discovered it.
    pub(crate) discovered_at: ClockMillis,
}

/// Returns the upstream to which other gateways have probably sent a shared prefix: the one that ranks highest for it.
///
/// Returns `None` if that is `chosen`, unless `chosen` was discovered within [`JOIN_PERIOD`]. Then the highest ranked
/// of the upstreams that were discovered before `chosen` is returned. This matters during a rolling release, when a
/// gateway that has not seen a prefix yet may choose an upstream that has just joined: the prefix can be copied from
/// the returned upstream.
pub(crate) fn expected_holder<'a>(
    known: &[KnownUpstream<'a>],
    chosen: &VmName,
    shared: u64,
    now: ClockMillis,
) -> Option<&'a VmName> {
    let rank = |upstream: &&KnownUpstream<'a>| score_upstream(shared, upstream.hash);
    let own = known.iter().find(|upstream| upstream.vm == chosen)?;
    let best = known.iter().max_by_key(rank)?;
    if best.vm != chosen {
        return Some(best.vm);
    }
    if now.since(own.discovered_at) >= JOIN_PERIOD {
        return None;
    }
    let older = known
        .iter()
        .filter(|upstream| upstream.discovered_at < own.discovered_at);
    older.max_by_key(rank).map(|upstream| upstream.vm)
}

/// The load at which an upstream accepts no more requests for a shared prefix, given the mean load of its pool.
pub(crate) fn load_cap(mean: f64, settings: &FlowSettings) -> u32 {
    (settings.load_multiple * mean).floor() as u32 + settings.load_allowance
}
