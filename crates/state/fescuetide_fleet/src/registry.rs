//! How gateways find each other through the log.
//!
//! Each gateway keeps a record with its address in the log and lists the records of others. A record only says whom to ask: a gateway
//! counts as live after a sign of life (see [`PeerTable`](crate::PeerTable)). A gateway that starts and hears from no other writes its
//! record and then lists those of others, so one of any two such gateways finds the other. Those that know others do so later, spread
//! over time, since a few records suffice to be found.

use std::net::SocketAddr;

use fescuetide_base::ClockMillis;
use fescuetide_base::DrawSequence;
use fescuetide_base::SpanMillis;
use fescuetide_base::StableHash;
use indexmap::IndexSet;

/// Time between two writes of a gateway's record.
const RENEWAL_INTERVAL: SpanMillis = SpanMillis::new(120_000);

/// Time after which a record that was not renewed is removed. The clocks of gateways may differ by seconds.
const RECORD_LIFETIME: SpanMillis = SpanMillis::new(3 * RENEWAL_INTERVAL.as_millis());

/// Age up to which the gateway of a record most probably lives.
const FRESH_AGE: SpanMillis = SpanMillis::new(RENEWAL_INTERVAL.as_millis() * 5 / 4);

/// Time between two listings of any gateways, so that their number does not matter for the log.
const LISTING_SPACING_MS: u64 = 5_000;

/// Shortest time between two listings of a gateway that knows others.
const MIN_LISTING_INTERVAL: SpanMillis = SpanMillis::new(30_000);

/// Time between two listings of a gateway that knows no other.
const LONELY_LISTING_INTERVAL: SpanMillis = SpanMillis::new(10_000);

/// Time in which a gateway that starts may hear from its seeds before it uses the log.
const SEED_TIME: SpanMillis = SpanMillis::new(500);

/// Time between the first writes of any gateways that start at once and know each other.
const WRITE_STAGGER_MS: u64 = 500;

/// Shortest time between two writes. Several readers of the log notice that it has come back from an older copy.
const WRITE_SPACING: SpanMillis = SpanMillis::new(500);

/// Delay after the first failed call. It doubles with each further one.
const FIRST_RETRY_DELAY: SpanMillis = SpanMillis::new(1_000);

/// Longest delay after a failed call.
const MAX_RETRY_DELAY: SpanMillis = SpanMillis::new(8_000);

/// The record of a gateway in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayEntry {
    /// The address of its peer interface.
    pub address: SocketAddr,
    /// When the record was written, by the clock of the gateway.
    pub renewed_at: ClockMillis,
}

impl GatewayEntry {
    /// Whether the record is to be removed, since its gateway has not renewed it.
    pub fn is_expired(&self, now: ClockMillis) -> bool {
        now.since(self.renewed_at) >= RECORD_LIFETIME
    }

    fn is_fresh(&self, now: ClockMillis) -> bool {
        now.since(self.renewed_at) < FRESH_AGE
    }
}

/// What a gateway does next at the log to be found and to find others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistryStep {
    /// Write its own record.
    Write,
    /// List the records of all gateways.
    List,
}

/// When a gateway writes its record and lists those of others.
#[derive(Clone, Debug)]
pub struct RegistrySchedule {
    /// When it is decided how urgent the first steps are, `None` once that is done.
    starts_at: Option<ClockMillis>,
    write_at: ClockMillis,
    written_at: Option<ClockMillis>,
    list_at: ClockMillis,
    /// No call is made before this time, since the last one failed.
    blocked_until: ClockMillis,
    retry_delay: SpanMillis,
    draws: DrawSequence,
}

impl RegistrySchedule {
    /// Creates the schedule of a gateway that starts. `seed` makes gateways act at different times.
    pub fn new(seed: u64, now: ClockMillis) -> Self {
        let starts_at = now + SEED_TIME;
        Self {
            starts_at: Some(starts_at),
            write_at: starts_at,
            written_at: None,
            list_at: starts_at,
            blocked_until: now,
            retry_delay: FIRST_RETRY_DELAY,
            draws: DrawSequence::new(seed),
        }
    }

    /// When the next step is due.
    pub fn next_at(&self) -> ClockMillis {
        self.write_at.min(self.list_at).max(self.blocked_until)
    }

    /// The step that is due, if any. `peer_count` is the number of other gateways that are known to live.
    pub fn take_step(&mut self, peer_count: usize, now: ClockMillis) -> Option<RegistryStep> {
        if let Some(starts_at) = self.starts_at {
            if now < starts_at {
                return None;
            }
            self.starts_at = None;
            if peer_count > 0 {
                let stagger_ms = (peer_count as u64 + 1) * WRITE_STAGGER_MS;
                let wait = self.draws.next_number() % stagger_ms;
                self.write_at = now + SpanMillis::new(wait);
                self.list_at = now + self.spread(listing_interval(peer_count));
            }
        }
        if now < self.blocked_until {
            return None;
        }
        if now >= self.write_at {
            return Some(RegistryStep::Write);
        }
        (now >= self.list_at).then_some(RegistryStep::List)
    }

    /// Records that the own record was written.
    pub fn note_written(&mut self, now: ClockMillis) {
        self.note_success(now);
        self.written_at = Some(now);
        self.write_at = now + self.spread(RENEWAL_INTERVAL);
    }

    /// Records that the records were listed, and whether they include that of this gateway.
    pub fn note_listed(&mut self, has_own: bool, peer_count: usize, now: ClockMillis) {
        self.note_success(now);
        self.list_at = now + self.spread(listing_interval(peer_count));
        if !has_own && self.written_at.is_some() {
            self.write_again(now);
        }
    }

    /// Records that a call failed.
    pub fn note_failed(&mut self, now: ClockMillis) {
        self.blocked_until = now + self.retry_delay;
        self.retry_delay = (self.retry_delay + self.retry_delay).min(MAX_RETRY_DELAY);
    }

    /// Records that the log may have lost the record of this gateway, and those of others. Their gateways write them again at the
    /// same time.
    pub fn note_restored(&mut self, now: ClockMillis) {
        if self.starts_at.is_some() {
            return;
        }
        self.write_again(now);
        let wait = self.spread(MIN_LISTING_INTERVAL);
        self.list_at = self.list_at.min(now + wait);
    }

    fn write_again(&mut self, now: ClockMillis) {
        let spaced = self.written_at.map_or(now, |at| at + WRITE_SPACING);
        self.write_at = spaced.max(now);
    }

    fn note_success(&mut self, now: ClockMillis) {
        self.blocked_until = now;
        self.retry_delay = FIRST_RETRY_DELAY;
    }

    /// A time between three quarters and five quarters of `span`.
    fn spread(&mut self, span: SpanMillis) -> SpanMillis {
        let millis = span.as_millis();
        let draw = self.draws.next_number() % (millis / 2).max(1);
        SpanMillis::new(millis * 3 / 4 + draw)
    }
}

fn listing_interval(peer_count: usize) -> SpanMillis {
    match peer_count {
        0 => LONELY_LISTING_INTERVAL,
        count => {
            let gateways = count as u64 + 1;
            MIN_LISTING_INTERVAL.max(SpanMillis::new(gateways * LISTING_SPACING_MS))
        }
    }
}

/// The gateways to ask first, of those that have records, without `own`, which is this one. Those whose records are fresh come first.
///
/// Every other one is chosen in an order that is the same at all gateways, so that a few are asked by all and soon know all. The
/// others are chosen at random, since the former may be gone.
pub fn order_candidates(
    entries: &[GatewayEntry],
    own: SocketAddr,
    seed: u64,
    now: ClockMillis,
) -> IndexSet<SocketAddr> {
    let others = entries.iter().filter(|entry| entry.address != own);
    let mut common: Vec<GatewayEntry> = others.copied().collect();
    common.retain(|entry| !entry.is_expired(now));
    let mut random = common.clone();
    DrawSequence::new(seed ^ now.as_millis()).shuffle(&mut random);
    random.sort_by_key(|entry| !entry.is_fresh(now));
    common.sort_by_cached_key(|entry| {
        let name = entry.address.to_string();
        let rank = StableHash::hash_bytes(name.as_bytes());
        (!entry.is_fresh(now), rank)
    });
    let mut ordered = IndexSet::with_capacity(common.len());
    for (one, other) in common.iter().zip(&random) {
        ordered.insert(one.address);
        ordered.insert(other.address);
    }
    ordered
}
