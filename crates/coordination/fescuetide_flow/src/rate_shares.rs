//! How the gateways divide the rate limits of upstreams among themselves.
//!
//! An upstream's limit holds for all gateways together. Each uses the part that corresponds to its part of the requests for the
//! pool, so gateways tell each other the rates at which such requests arrive. Nobody decides: all compute the same parts
//! from the same rates, and what they know differs only by the time that a rate needs to spread.

use fescuetide_base::ClockMillis;
use fescuetide_base::RequestRate;
use fescuetide_base::SpanMillis;
use fescuetide_base::StableHash;
use fescuetide_base::UpstreamLife;
use fescuetide_routing::score_upstream;
use indexmap::IndexMap;

use crate::PoolKey;
use crate::decaying_count::DecayingCount;

/// Time over which the rate of arriving requests is averaged.
const ARRIVAL_WINDOW: SpanMillis = SpanMillis::new(2_000);

/// Time after which a gateway that tells no rate counts as gone, if others tell theirs.
const SILENCE_LIMIT: SpanMillis = SpanMillis::new(5_000);

/// Part of the mean rate that each gateway counts with at least, so that one without requests gets some tokens for its next
/// ones.
const MIN_DEMAND_PART: f64 = 0.1;

/// Maximum number of other gateways whose rates are kept.
const GATEWAY_LIMIT: usize = 1_024;

/// Number of gateways that share a limit of zero. Each may hold one unused token, and an upstream bears a burst of 5
/// requests above its limit.
pub(crate) const MIN_SHARERS: usize = 5;

/// Gateways that share a limit in addition, for each request per second. In the 4 s in which upstreams count, they bear twice
/// as many requests above the limit.
const SHARERS_PER_RATE: f64 = 0.8;

/// Factor of the rates within which gateways count the same when those are chosen that share a limit, so that small changes do
/// not change the choice.
const RATE_STEP: f64 = 2.0;

/// Identifies a gateway among those that share rate limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GatewayId(u32);

impl GatewayId {
    /// Creates the id from its number.
    pub const fn new(id: u32) -> Self {
        Self(id)
    }

    /// Returns the number.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Computes the id of a gateway from its name, such as its address.
    pub fn of(name: &str) -> Self {
        Self(StableHash::hash_bytes(name.as_bytes()) as u32)
    }
}

/// The rate at which requests for a pool arrive at a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DemandEntry {
    /// The gateway.
    pub gateway: GatewayId,
    /// The pool.
    pub pool: PoolKey,
    /// The rate.
    pub rate: RequestRate,
    /// Time since it was measured.
    pub age: SpanMillis,
}

/// A rate that another gateway has told.
#[derive(Clone, Copy, Debug)]
struct ReportedDemand {
    rate: RequestRate,
    at: ClockMillis,
}

/// The rates at which requests for one pool arrive.
#[derive(Clone, Debug)]
struct PoolDemand {
    own: DecayingCount,
    others: IndexMap<GatewayId, ReportedDemand>,
}

impl Default for PoolDemand {
    fn default() -> Self {
        Self {
            own: DecayingCount::new(ARRIVAL_WINDOW),
            others: IndexMap::new(),
        }
    }
}

/// A gateway's part of the limit of an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitShare {
    /// The part, from 0 to 1.
    pub(crate) part: f64,
    /// Number of gateways that share the limit.
    pub(crate) sharers: usize,
}

impl Default for LimitShare {
    fn default() -> Self {
        Self {
            part: 1.0,
            sharers: 1,
        }
    }
}

/// The rates of one pool at all gateways, as used to divide limits.
#[derive(Clone, Debug)]
pub(crate) struct DemandView {
    /// Rates per second. The first one is that of this gateway.
    rates: Vec<(GatewayId, f64)>,
}

impl DemandView {
    /// The sum of all rates, per second.
    pub(crate) fn total(&self) -> f64 {
        self.rates.iter().map(|(_, rate)| rate).sum()
    }

    /// This gateway's part of the limit of an upstream, from 0 to 1.
    ///
    /// `spare` is by how much the limits of the pool exceed what is asked, per second, `None` if they do not. Then each gateway
    /// gets what it asks, and the rest is divided half equally, half in proportion. Otherwise, so many gateways share the limit that their unused tokens
    /// cannot exceed it by much: those that rank first by weighted rendezvous hashing.
    pub(crate) fn share(
        &self,
        life: UpstreamLife,
        limit: RequestRate,
        spare: Option<f64>,
    ) -> LimitShare {
        let gateways = self.rates.len();
        let Some(&(own, own_rate)) = self.rates.first() else {
            return LimitShare::default();
        };
        let sharers = sharer_count(limit);
        if spare.is_some() || gateways <= sharers {
            let (total, spare) = (self.total(), spare.unwrap_or(0.0));
            let equal_part = spare / 2.0 / gateways as f64;
            let proportional_part = spare / 2.0 * own_rate / total;
            return LimitShare {
                part: (own_rate + equal_part + proportional_part) / (total + spare),
                sharers: gateways,
            };
        }
        let mut ranked: Vec<(f64, GatewayId, f64)> = Vec::with_capacity(self.rates.len());
        for (gateway, rate) in &self.rates {
            ranked.push((rank(life, *gateway, *rate), *gateway, *rate));
        }
        ranked.select_nth_unstable_by(sharers - 1, |left, right| left.0.total_cmp(&right.0));
        ranked.truncate(sharers);
        let is_sharer = ranked.iter().any(|(_, gateway, _)| *gateway == own);
        let sum: f64 = ranked.iter().map(|(_, _, rate)| rate).sum();
        LimitShare {
            part: if is_sharer { own_rate / sum } else { 0.0 },
            sharers,
        }
    }
}

/// The number of gateways that share a limit. The larger it is, the more unused tokens it bears.
fn sharer_count(limit: RequestRate) -> usize {
    MIN_SHARERS + (limit.as_per_second() * SHARERS_PER_RATE) as usize
}

/// The rank of a gateway among those that may share the limit of an upstream; the lowest rank is the first. A gateway with
/// twice the rate is twice as likely to be first (weighted rendezvous hashing: Schindelhauer and Schomaker, "Weighted
/// Distributed Hash Tables", 2005).
fn rank(life: UpstreamLife, gateway: GatewayId, rate: f64) -> f64 {
    let hash = score_upstream(u64::from(life.get()), u64::from(gateway.get()));
    let point = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    let weight = RATE_STEP.powf(rate.log(RATE_STEP).round());
    -point.ln() / weight
}

/// The rates at which requests arrive at all gateways.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetDemand {
    own: GatewayId,
    peers: Vec<GatewayId>,
    pools: IndexMap<PoolKey, PoolDemand>,
}

impl FleetDemand {
    /// Sets the ids of this gateway and of all others that are known.
    pub(crate) fn set_gateways(&mut self, own: GatewayId, peers: Vec<GatewayId>) {
        self.own = own;
        self.peers = peers;
    }

    /// Records a request for a pool.
    pub(crate) fn note_arrival(&mut self, pool: PoolKey, now: ClockMillis) {
        self.pools.entry(pool).or_default().own.add(now);
    }

    /// The rate of requests for a pool that arrive at this gateway, per second.
    pub(crate) fn own_rate(&self, pool: PoolKey, now: ClockMillis) -> f64 {
        let demand = self.pools.get(&pool);
        demand.map_or(0.0, |demand| demand.own.per_second(now))
    }

    /// Applies a rate that a gateway tells, unless a newer one is known.
    pub(crate) fn merge(&mut self, entry: DemandEntry, now: ClockMillis) {
        let at = ClockMillis::new(now.as_millis().saturating_sub(entry.age.as_millis()));
        if entry.gateway == self.own {
            return;
        }
        let demand = self.pools.entry(entry.pool).or_default();
        demand
            .others
            .retain(|_, reported| now.since(reported.at) < SILENCE_LIMIT);
        let known = demand.others.get(&entry.gateway);
        if known.is_some_and(|known| known.at >= at) {
            return;
        }
        if known.is_none() && demand.others.len() >= GATEWAY_LIMIT {
            return;
        }
        let rate = entry.rate;
        demand
            .others
            .insert(entry.gateway, ReportedDemand { rate, at });
    }

    /// Appends the rates of a pool to `entries`, without those that are as old as `limit`.
    pub(crate) fn list(
        &self,
        pool: PoolKey,
        limit: SpanMillis,
        entries: &mut Vec<DemandEntry>,
        now: ClockMillis,
    ) {
        entries.push(DemandEntry {
            gateway: self.own,
            pool,
            rate: RequestRate::per_second(self.own_rate(pool, now)),
            age: SpanMillis::default(),
        });
        let Some(demand) = self.pools.get(&pool) else {
            return;
        };
        for (gateway, reported) in &demand.others {
            let age = now.since(reported.at);
            if age >= limit {
                continue;
            }
            entries.push(DemandEntry {
                gateway: *gateway,
                pool,
                rate: reported.rate,
                age,
            });
        }
    }

    /// The rates of a pool, with an estimate for gateways that tell none. Rates have been exchanged since `since`.
    ///
    /// A gateway that tells none counts with the mean of the others. Once others have told theirs for some time, it counts as
    /// gone. One that hears of no other at all keeps to an equal part.
    pub(crate) fn view(&self, pool: PoolKey, since: ClockMillis, now: ClockMillis) -> DemandView {
        let mut rates = vec![(self.own, self.own_rate(pool, now))];
        if let Some(demand) = self.pools.get(&pool) {
            for (gateway, reported) in &demand.others {
                if now.since(reported.at) < SILENCE_LIMIT {
                    rates.push((*gateway, reported.rate.as_per_second()));
                }
            }
        }
        let sum: f64 = rates.iter().map(|(_, rate)| rate).sum();
        let mean = sum / rates.len() as f64;
        let counts_silent = rates.len() == 1 || now.since(since) < SILENCE_LIMIT;
        for peer in &self.peers {
            let is_known = rates.iter().any(|(gateway, _)| gateway == peer);
            if counts_silent && !is_known {
                rates.push((*peer, mean));
            }
        }
        let min = match mean > 0.0 {
            true => mean * MIN_DEMAND_PART,
            false => 1.0,
        };
        for (_, rate) in &mut rates {
            *rate = rate.max(min);
        }
        DemandView { rates }
    }
}
