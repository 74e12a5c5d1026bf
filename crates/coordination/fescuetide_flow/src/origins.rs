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
pub(crate) const ORIGIN_RETENTION: SpanMillis = SpanMillis::new(60_000);

/// Maximum number of streams that are remembered. Those that began first are forgotten first.
const ORIGIN_LIMIT: usize = 32_768;

/// The upstreams that can continue a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StreamOrigin {
    /// The pool of the upstream that sent the first event.
    pub pool: PoolKey,
    /// The version of its software.
    pub version: VersionKey,
}

/// The origin of one stream.
///
/// It is told when the stream is first sent to an upstream, so that it is known elsewhere before its first event is. If another
/// version begins the stream in the end, the origin is told again with a higher number of moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OriginEntry {
    /// The stream.
    pub stream: StreamKey,
    /// Where it began or will begin.
    pub origin: StreamOrigin,
    /// How often the gateway that sent it has changed the version.
    pub moves: u8,
}

/// How it became known where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginSource {
    /// This gateway relayed the stream.
    ThisGateway,
    /// Another gateway told.
    OtherGateway,
    /// The log has it.
    Log,
    /// Only one version has served as long as the stream may live.
    OnlyVersion,
    /// The log has no origin of the stream, and a record of one version only.
    OnlyRecordedVersion,
    /// Neither the log nor a gateway knows the stream, so it is from before this gateway started, when one version was recorded.
    OnlyVersionBefore,
    /// The log could not be read, and the gateways that answered know of one version only.
    OtherGatewaysAgree,
}

impl OriginSource {
    /// The label used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ThisGateway => "this_gateway",
            Self::OtherGateway => "other_gateway",
            Self::Log => "log",
            Self::OnlyVersion => "only_version",
            Self::OnlyRecordedVersion => "only_recorded_version",
            Self::OnlyVersionBefore => "only_version_before",
            Self::OtherGatewaysAgree => "other_gateways_agree",
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct OriginRecord {
    origin: StreamOrigin,
    moves: u8,
    at: ClockMillis,
    source: OriginSource,
}

impl OriginRecord {
    fn is_recent(&self, now: ClockMillis) -> bool {
        now.since(self.at) < ORIGIN_RETENTION
    }

    fn entry(&self, stream: StreamKey) -> OriginEntry {
        OriginEntry {
            stream,
            origin: self.origin,
            moves: self.moves,
        }
    }
}

/// The origins of streams that began lately here, or about which other gateways told.
#[derive(Clone, Debug, Default)]
pub(crate) struct OriginTable {
    records: IndexMap<StreamKey, OriginRecord>,
    /// Records from before `renewed_at`, which are dropped together.
    older: IndexMap<StreamKey, OriginRecord>,
    /// When the older records were last dropped.
    renewed_at: ClockMillis,
}

impl OriginTable {
    /// Records where a stream begins that this gateway sends or relays. Returns what to tell others.
    pub(crate) fn note_own(
        &mut self,
        stream: StreamKey,
        origin: StreamOrigin,
        now: ClockMillis,
    ) -> OriginEntry {
        let known = self.find(stream, now);
        let moves = match known {
            Some(known) if known.origin == origin => known.moves,
            Some(known) => known.moves.saturating_add(1),
            None => 0,
        };
        let record = OriginRecord {
            origin,
            moves,
            at: now,
            source: OriginSource::ThisGateway,
        };
        self.insert(stream, record, now);
        record.entry(stream)
    }

    /// Records what another gateway or the log tells, unless more recent news is known.
    pub(crate) fn merge(&mut self, entry: OriginEntry, source: OriginSource, now: ClockMillis) {
        let known = self.find(entry.stream, now);
        let told = OriginRecord {
            origin: entry.origin,
            moves: entry.moves,
            at: now,
            source,
        };
        let record = match known {
            Some(known) if known.moves >= told.moves => OriginRecord { at: now, ..known },
            _ => told,
        };
        self.insert(entry.stream, record, now);
    }

    fn insert(&mut self, stream: StreamKey, record: OriginRecord, now: ClockMillis) {
        let is_full = self.records.len() >= ORIGIN_LIMIT / 2;
        if is_full || now.since(self.renewed_at) >= ORIGIN_RETENTION {
            self.older = std::mem::take(&mut self.records);
            self.renewed_at = now;
        }
        self.older.swap_remove(&stream);
        self.records.insert(stream, record);
    }

    fn find(&self, stream: StreamKey, now: ClockMillis) -> Option<OriginRecord> {
        let record = self.records.get(&stream);
        let record = record.or_else(|| self.older.get(&stream)).copied();
        record.filter(|record| record.is_recent(now))
    }

    /// Where a stream began, if that is known.
    pub(crate) fn get(&self, stream: StreamKey, now: ClockMillis) -> Option<OriginEntry> {
        let record = self.find(stream, now)?;
        Some(record.entry(stream))
    }

    /// How it became known where a stream began, if that is known.
    pub(crate) fn source(&self, stream: StreamKey, now: ClockMillis) -> Option<OriginSource> {
        self.find(stream, now).map(|record| record.source)
    }

    /// The streams of a pool that this gateway relayed.
    pub(crate) fn own_streams(
        &self,
        pool: PoolKey,
        now: ClockMillis,
    ) -> impl Iterator<Item = OriginEntry> {
        let records = self.older.iter().chain(&self.records);
        let own = records.filter(move |(_, record)| {
            let is_own = record.source == OriginSource::ThisGateway;
            is_own && record.origin.pool == pool && record.is_recent(now)
        });
        own.map(|(stream, record)| record.entry(*stream))
    }
}
