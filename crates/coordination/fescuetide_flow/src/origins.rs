//! Where event streams began.
//!
//! Upstreams of several software versions can serve one pool, and a stream can only be continued at the version that began
//! it. A caller may take its stream up at any gateway, so gateways tell each other where streams began.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_fleet::VersionKey;
use indexmap::IndexMap;

use crate::PoolKey;
use crate::StreamKey;

/// How long an origin is remembered after the last part of its stream began; longer than callers wait for a stream.
const ORIGIN_RETENTION: SpanMillis = SpanMillis::new(60_000);

/// Maximum number of streams that are remembered. The one that began first is forgotten first.
const ORIGIN_LIMIT: usize = 16_384;

/// Maximum number of versions that are remembered.
const VERSION_LIMIT: usize = 64;

/// The upstreams that can continue a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The pool of the upstream that sent the first event.
    pub pool: PoolKey,
    /// The version of its software.
    pub version: VersionKey,
}

#[derive(Clone, Copy, Debug)]
struct OriginRecord {
    origin: StreamOrigin,
    at: ClockMillis,
    /// Whether this gateway relayed the stream.
    is_own: bool,
}

/// The origins of streams that began lately here, or about which other gateways told.
#[derive(Clone, Debug, Default)]
pub(crate) struct OriginTable {
    /// In the order of their times.
    records: IndexMap<StreamKey, OriginRecord>,
}

impl OriginTable {
    /// Records where a stream began of which this gateway relays an event.
    pub(crate) fn note_own(&mut self, stream: StreamKey, origin: StreamOrigin, now: ClockMillis) {
        self.insert(stream, origin, true, now);
    }

    /// Records what another gateway tells. What is known here stays.
    pub(crate) fn merge(&mut self, stream: StreamKey, origin: StreamOrigin, now: ClockMillis) {
        let known = self.get(stream, now);
        self.insert(stream, known.unwrap_or(origin), false, now);
    }

    fn insert(&mut self, stream: StreamKey, origin: StreamOrigin, is_own: bool, now: ClockMillis) {
        let known = self.records.shift_remove(&stream);
        self.drop_oldest(now);
        let record = OriginRecord {
            origin,
            at: now,
            is_own: is_own || known.is_some_and(|known| known.is_own),
        };
        self.records.insert(stream, record);
    }

    /// Removes a few records that are no longer needed. Only one is added at a time.
    fn drop_oldest(&mut self, now: ClockMillis) {
        for _ in 0..2 {
            let Some((_, oldest)) = self.records.first() else {
                return;
            };
            if is_recent(oldest, now) && self.records.len() < ORIGIN_LIMIT {
                return;
            }
            self.records.shift_remove_index(0);
        }
    }

    /// Where a stream began, if that is known.
    pub(crate) fn get(&self, stream: StreamKey, now: ClockMillis) -> Option<StreamOrigin> {
        let record = self.records.get(&stream)?;
        is_recent(record, now).then_some(record.origin)
    }

    /// The streams of a pool that this gateway relayed.
    pub(crate) fn own_streams(
        &self,
        pool: PoolKey,
        now: ClockMillis,
    ) -> impl Iterator<Item = (StreamKey, StreamOrigin)> {
        let own = self.records.iter().filter(move |(_, record)| {
            record.is_own && record.origin.pool == pool && is_recent(record, now)
        });
        own.map(|(stream, record)| (*stream, record.origin))
    }
}

fn is_recent(record: &OriginRecord, now: ClockMillis) -> bool {
    now.since(record.at) < ORIGIN_RETENTION
}

/// Versions of a pool whose upstreams have left, or that only other gateways know of yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct VersionHistory {
    /// When such an upstream last served.
    seen: IndexMap<VersionKey, ClockMillis>,
}

impl VersionHistory {
    /// Records that an upstream of a version served until now.
    pub(crate) fn note(&mut self, version: VersionKey, now: ClockMillis) {
        self.seen.retain(|_, at| now.since(*at) < ORIGIN_RETENTION);
        if self.seen.len() < VERSION_LIMIT {
            self.seen.insert(version, now);
        }
    }

    /// The versions at which streams that may still be taken up can have begun.
    pub(crate) fn recent(&self, now: ClockMillis) -> impl Iterator<Item = VersionKey> {
        let seen = self.seen.iter();
        let recent = seen.filter(move |(_, at)| now.since(**at) < ORIGIN_RETENTION);
        recent.map(|(version, _)| *version)
    }
}
