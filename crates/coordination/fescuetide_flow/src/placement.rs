//! Selection of the upstream for a request.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_routing::score_upstream;

use crate::FlowSettings;

/// An upstream that a request may be sent to.
#[derive(Clone, Debug)]
pub(crate) struct PlaceCandidate<'a> {
    pub(crate) vm: &'a VmName,
    /// The stable hash of the upstream's name.
    pub(crate) hash: u64,
    /// Estimated number of outstanding requests.
    pub(crate) load: u32,
    /// Maximum number of outstanding requests.
    pub(crate) room: u32,
    /// Whether it is in this router's availability zone.
    pub(crate) is_near: bool,
    /// Whether its failure rate is high, so that it is used only if all others are full.
    pub(crate) is_doubtful: bool,
    /// Whether it probably has the shared prompt prefix cached.
    pub(crate) is_holder: bool,
}

/// Chooses an upstream, or returns `None` if all are full.
///
/// Requests with a shared prompt prefix are routed by rendezvous hashing with bounded loads (Mirrokni, Thorup,
/// Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018): the highest ranked upstream whose load is below a
/// multiple of the mean. Upstreams that already have the prefix cached rank first, so that a new upstream does not take
/// over prefixes that are cached elsewhere. When a surge for one prefix overflows an upstream, all routers agree on the
/// next one. All other requests go to the least loaded upstream.
pub(crate) fn choose_upstream<'a>(
    candidates: &'a [PlaceCandidate<'a>],
    shared: Option<u64>,
    turn: u64,
    settings: &FlowSettings,
) -> Option<&'a PlaceCandidate<'a>> {
    let open = |candidate: &&PlaceCandidate<'a>| candidate.load < candidate.room;
    let sound = |candidate: &&PlaceCandidate<'a>| !candidate.is_doubtful;
    if let Some(shared) = shared {
        let limit = load_limit(candidates, settings);
        let home = candidates
            .iter()
            .filter(open)
            .filter(sound)
            .filter(|candidate| candidate.load < limit)
            .max_by_key(|candidate| {
                let score = score_upstream(shared, candidate.hash);
                (candidate.is_holder, score)
            });
        if home.is_some() {
            return home;
        }
    }
    candidates.iter().filter(open).min_by_key(|candidate| {
        let order = score_upstream(turn, candidate.hash);
        (
            candidate.is_doubtful,
            candidate.load,
            !candidate.is_near,
            order,
        )
    })
}

/// An upstream that was discovered more recently than this may not have cached the prefixes it ranks first for.
const JOIN_SPAN: SpanMillis = SpanMillis::new(30_000);

/// An upstream that may have a shared prefix cached.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RankedUpstream<'a> {
    pub(crate) vm: &'a VmName,
    /// The stable hash of the upstream's name.
    pub(crate) hash: u64,
    /// When this router discovered it.
    pub(crate) known_since: ClockMillis,
}

/// Returns the upstream that is likely to have a shared prefix cached according to its rank, if it is not `chosen`: the
/// highest ranked upstream, or the best of the older ones if `chosen` itself ranks highest and has just joined.
///
/// During a rolling release, a router that has not seen a prefix yet may choose an upstream that joined recently. The
/// prefix can then be copied from the returned upstream.
pub(crate) fn expected_holder<'a>(
    known: &[RankedUpstream<'a>],
    chosen: &VmName,
    shared: u64,
    now: ClockMillis,
) -> Option<&'a VmName> {
    let rank = |upstream: &&RankedUpstream<'a>| score_upstream(shared, upstream.hash);
    let own = known.iter().find(|upstream| upstream.vm == chosen)?;
    let best = known.iter().max_by_key(rank)?;
    if best.vm != chosen {
        return Some(best.vm);
    }
    if now.since(own.known_since) >= JOIN_SPAN {
        return None;
    }
    let older = known
        .iter()
        .filter(|upstream| upstream.known_since < own.known_since);
    older.max_by_key(rank).map(|upstream| upstream.vm)
}

/// The load at which an upstream accepts no more requests for a shared prefix.
fn load_limit(candidates: &[PlaceCandidate<'_>], settings: &FlowSettings) -> u32 {
    let sum: u32 = candidates.iter().map(|candidate| candidate.load).sum();
    let mean = f64::from(sum) / candidates.len().max(1) as f64;
    (settings.load_multiple * mean).floor() as u32 + settings.load_allowance
}
