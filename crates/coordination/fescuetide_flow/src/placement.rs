//! Which upstream a request is sent to.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_routing::score_upstream;

use crate::FlowSettings;

/// An upstream that may be chosen.
#[derive(Clone, Debug)]
pub(crate) struct PlaceCandidate<'a> {
    pub(crate) vm: &'a VmName,
    /// The stable hash of the upstream's name.
    pub(crate) hash: u64,
    /// Requests that it is expected to hold.
    pub(crate) load: u32,
    /// Requests that it may hold.
    pub(crate) room: u32,
    /// Whether it is in this router's availability zone.
    pub(crate) is_near: bool,
    /// Whether it should be avoided while others have room.
    pub(crate) is_doubtful: bool,
    /// Whether it is believed to keep the shared part of the prompt.
    pub(crate) is_holder: bool,
}

/// Chooses an upstream, `None` when all are full.
///
/// Requests that share parts of prompts are kept together by rendezvous hashing with bounded loads (Mirrokni, Thorup,
/// Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018): the first upstream in the order of the shared parts
/// that is below a multiple of the mean load. Upstreams that keep the parts already go before others, so that
/// one which joins takes over no parts that have a place. A surge for one part spills to the same second choice at every router.
/// All other requests go to the least loaded upstream.
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

/// An upstream that is known for less than this may lack parts that its rank would give it.
const JOIN_SPAN: SpanMillis = SpanMillis::new(30_000);

/// A known upstream by its rank for a shared part.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RankedUpstream<'a> {
    pub(crate) vm: &'a VmName,
    /// The stable hash of the upstream's name.
    pub(crate) hash: u64,
    /// When this router learned of it.
    pub(crate) known_since: ClockMillis,
}

/// The upstream that keeps a shared part by rank, if that is another one than `chosen`: one that ranks higher but was
/// passed over, or the next one when `chosen` has only just joined.
///
/// Answers a release, in which routers that have not seen the part yet find its place taken by a new upstream.
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

/// The load below which an upstream takes more work.
fn load_limit(candidates: &[PlaceCandidate<'_>], settings: &FlowSettings) -> u32 {
    let sum: u32 = candidates.iter().map(|candidate| candidate.load).sum();
    let mean = f64::from(sum) / candidates.len().max(1) as f64;
    (settings.load_multiple * mean).floor() as u32 + settings.load_allowance
}
