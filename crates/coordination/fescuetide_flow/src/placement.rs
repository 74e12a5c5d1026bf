//! Selection of the upstream for a request.

use fescuetide_base::ClockMillis;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_routing::score_upstream;

use crate::FlowSettings;

/// An upstream that a request may be sent to.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamCandidate<'a> {
    pub(crate) vm: &'a VmName,
    pub(crate) incarnation: ProcessIncarnation,
    /// The stable hash of the upstream's name.
    pub(crate) hash: u64,
    /// Estimated number of outstanding requests.
    pub(crate) load: u32,
    /// Maximum number of outstanding requests.
    pub(crate) capacity: u32,
    /// Whether it is in this gateway's availability zone.
    pub(crate) is_same_zone: bool,
    /// Whether its failure rate is high, so that it is used only if all others are full.
    pub(crate) is_failing: bool,
    /// Whether it probably has the shared prompt prefix cached.
    pub(crate) has_prefix: bool,
}

/// Chooses an upstream, or returns `None` if all are full.
///
/// Requests with a shared prompt prefix are routed by rendezvous hashing with bounded loads (Mirrokni, Thorup,
/// Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018): the highest ranked upstream whose load is below a
/// multiple of the mean. Upstreams that already have the prefix cached rank first, so that a new upstream does not take
/// over prefixes that are cached elsewhere. When a surge for one prefix overflows an upstream, all gateways agree on
/// the next one. All other requests go to the least loaded upstream.
pub(crate) fn choose_upstream<'a>(
    candidates: &'a [UpstreamCandidate<'a>],
    shared: Option<u64>,
    tie_break_seed: u64,
    settings: &FlowSettings,
) -> Option<&'a UpstreamCandidate<'a>> {
    let has_capacity = |candidate: &&UpstreamCandidate<'a>| candidate.load < candidate.capacity;
    let is_healthy = |candidate: &&UpstreamCandidate<'a>| !candidate.is_failing;
    if let Some(shared) = shared {
        let cap = load_cap(candidates, settings);
        let preferred = candidates
            .iter()
            .filter(has_capacity)
            .filter(is_healthy)
            .filter(|candidate| candidate.load < cap)
            .max_by_key(|candidate| {
                let score = score_upstream(shared, candidate.hash);
                (candidate.has_prefix, score)
            });
        if preferred.is_some() {
            return preferred;
        }
    }
    candidates
        .iter()
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

/// The load cap: the load at which an upstream accepts no more requests for a shared prefix.
fn load_cap(candidates: &[UpstreamCandidate<'_>], settings: &FlowSettings) -> u32 {
    let sum: u32 = candidates.iter().map(|candidate| candidate.load).sum();
    let mean = f64::from(sum) / candidates.len().max(1) as f64;
    (settings.load_multiple * mean).floor() as u32 + settings.load_allowance
}
