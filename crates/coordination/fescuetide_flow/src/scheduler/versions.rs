//! What this gateway knows of the versions of upstreams, and what it writes to the log about them.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_fleet::VersionKey;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::RequestScheduler;
use crate::FlowAction;
use crate::PoolKey;
use crate::StreamOrigin;
use crate::origins::ORIGIN_RETENTION;
use crate::pool::PoolState;
use crate::versions::RECORD_RETRY;

/// Time from the moment at which a list that lacks a version is too old until the version may be recorded, for what
/// messages and threads take.
const SETTLING_MARGIN: SpanMillis = SpanMillis::new(300);

/// Time after the start in which streams are taken up that began before it; longer than callers wait for a stream.
const EARLIER_STREAMS_TIME: SpanMillis = SpanMillis::new(20_000);

/// Maximum number of records of versions in pools without upstreams.
const UNLISTED_LIMIT: usize = 1_024;

/// The versions that the log has records of.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionReading {
    /// The pools and versions.
    pub versions: Vec<StreamOrigin>,
    /// Those whose record is from before the log came back from an older copy. If there are any, records of others may be missing.
    pub stale: Vec<StreamOrigin>,
    /// Whether the log has come back from an older copy since it was first read, so that what it lacks may have been lost.
    pub is_restored: bool,
}

/// A record of a version in a pool that is not known.
#[derive(Clone, Copy, Debug)]
struct UnlistedRecord {
    is_stale: bool,
    since: ClockMillis,
    /// When it was last requested to be removed.
    removal_requested_at: Option<ClockMillis>,
}

impl UnlistedRecord {
    fn is_obsolete(&self, now: ClockMillis) -> bool {
        now.since(self.since) >= ORIGIN_RETENTION
    }
}

/// Whether this gateway knows at which versions streams can have begun.
#[derive(Clone, Debug, Default)]
pub(super) struct VersionKnowledge {
    /// Whether the records of versions were read since the start.
    has_reading: bool,
    /// Until when streams may be taken up that began before this gateway knew of all versions.
    doubtful_until: ClockMillis,
    /// When the list of upstreams was last known to be that of the log.
    listed_at: ClockMillis,
    /// When the records of versions were first read.
    read_at: ClockMillis,
    /// The records of versions that were read first.
    first_records: IndexSet<StreamOrigin>,
    /// Records of versions in pools that have no upstream in the list.
    unlisted: IndexMap<StreamOrigin, UnlistedRecord>,
}

impl VersionKnowledge {
    /// The only version of a pool that was recorded when this gateway started, if streams from before are still taken up. Other
    /// versions have been recorded since, but what began at them is told to others when it is sent.
    pub(super) fn only_version_before(
        &self,
        pool: PoolKey,
        now: ClockMillis,
    ) -> Option<VersionKey> {
        if !self.is_complete(now) || now.since(self.read_at) >= EARLIER_STREAMS_TIME {
            return None;
        }
        let mut records = self.first_records.iter();
        let first = records.find(|origin| origin.pool == pool)?;
        let is_only = !records.any(|origin| origin.pool == pool);
        is_only.then_some(first.version)
    }

    /// Whether all versions are known at which streams can have begun until the list of upstreams was read.
    pub(super) fn is_complete(&self, now: ClockMillis) -> bool {
        self.has_reading && now >= self.doubtful_until
    }
}

impl RequestScheduler {
    /// Records when the list of upstreams was last known to be that of the log.
    pub fn note_listing_time(&mut self, listed_at: ClockMillis) {
        let known = &mut self.version_knowledge.listed_at;
        *known = listed_at.max(*known);
    }

    /// Adds the versions that the log has records of.
    pub fn note_version_reading(&mut self, reading: &VersionReading, now: ClockMillis) {
        let knowledge = &mut self.version_knowledge;
        if !reading.stale.is_empty() && !knowledge.has_reading {
            knowledge.doubtful_until = now + ORIGIN_RETENTION;
        }
        if !knowledge.has_reading {
            knowledge.read_at = now;
            knowledge.first_records = reading.versions.iter().copied().collect();
        }
        knowledge.has_reading = true;
        if !reading.is_restored {
            self.drop_unrecorded(reading, now);
        }
        for origin in &reading.versions {
            self.note_record(*origin, false, now);
        }
        for origin in &reading.stale {
            self.note_record(*origin, true, now);
        }
        self.tell_origins(now);
    }

    /// Drops what is known from records only that the log does not have any more.
    fn drop_unrecorded(&mut self, reading: &VersionReading, now: ClockMillis) {
        let mut recorded: IndexSet<StreamOrigin> = reading.versions.iter().copied().collect();
        recorded.extend(&reading.stale);
        let unlisted = &mut self.version_knowledge.unlisted;
        unlisted.retain(|origin, _| recorded.contains(origin));
        for (name, pool) in &mut self.pools {
            let key = PoolKey::of(name);
            let of_pool = recorded.iter().filter(|origin| origin.pool == key);
            let versions = of_pool.map(|origin| origin.version).collect();
            pool.versions.note_reading(&versions, now);
        }
    }

    /// Records that the log has lost the record of a version, since no stream that began there can be taken up any more.
    pub fn note_record_removed(&mut self, origin: StreamOrigin, now: ClockMillis) {
        self.version_knowledge.unlisted.swap_remove(&origin);
        if let Some(pool) = self.pool_with_key(origin.pool) {
            pool.versions.note_removed(origin.version, now);
        }
        self.tell_origins(now);
    }

    /// Whether the log has a record of a version at which no stream can have begun that may still be taken up. The list of upstreams
    /// is recent enough to tell.
    pub(crate) fn is_obsolete(&self, origin: StreamOrigin, now: ClockMillis) -> bool {
        if !self.knows_versions(now) {
            return false;
        }
        let unlisted = self.version_knowledge.unlisted.get(&origin);
        let mut pools = self.pools.iter();
        unlisted.is_some_and(|record| record.is_obsolete(now))
            || pools.any(|(name, pool)| {
                PoolKey::of(name) == origin.pool && pool.versions.is_obsolete(origin.version, now)
            })
    }

    /// Records that the log has a record of a version.
    pub fn note_recorded(&mut self, origin: StreamOrigin, now: ClockMillis) {
        self.note_record(origin, false, now);
        self.tell_origins(now);
    }

    fn note_record(&mut self, origin: StreamOrigin, is_stale: bool, now: ClockMillis) {
        let has_room = self.version_knowledge.unlisted.len() < UNLISTED_LIMIT;
        match self.pool_with_key(origin.pool) {
            Some(pool) if is_stale => pool.versions.note_stale_record(origin.version, now),
            Some(pool) => pool.versions.note_recorded(origin.version, now),
            None if has_room => {
                let unlisted = self.version_knowledge.unlisted.entry(origin);
                let record = unlisted.or_insert(UnlistedRecord {
                    is_stale,
                    since: now,
                    removal_requested_at: None,
                });
                record.is_stale &= is_stale;
            }
            None => {}
        }
    }

    /// Adds the records of versions in pools that are listed now.
    pub(super) fn place_unlisted(&mut self, now: ClockMillis) {
        for (origin, record) in std::mem::take(&mut self.version_knowledge.unlisted) {
            if self.pool_with_key(origin.pool).is_some() {
                self.note_record(origin, record.is_stale, now);
                continue;
            }
            self.version_knowledge.unlisted.insert(origin, record);
        }
    }

    /// Whether the log is known to have a record of a version.
    pub fn is_recorded(&self, origin: StreamOrigin) -> bool {
        let mut pools = self.pools.iter();
        pools.any(|(name, pool)| {
            PoolKey::of(name) == origin.pool && pool.versions.is_recorded(origin.version)
        })
    }

    /// Records that the log may have lost what this gateway knows of it, which is then written again.
    pub fn note_log_restored(&mut self, now: ClockMillis) {
        if !self.version_knowledge.has_reading {
            return;
        }
        for pool in self.pools.values_mut() {
            pool.versions.forget_records();
            pool.tells_origins = false;
        }
        self.tell_origins(now);
    }

    /// Whether this gateway knows of one version only in each pool, and would have noticed others as long as the log can be read.
    pub fn has_one_version(&self, now: ClockMillis) -> bool {
        let mut pools = self.pools.values();
        self.version_knowledge.is_complete(now)
            && pools.all(|pool| pool.versions.only_known(now).is_some())
    }

    /// Whether all versions are known at which streams can have begun until now.
    pub(super) fn knows_versions(&self, now: ClockMillis) -> bool {
        let knowledge = &self.version_knowledge;
        let listing_age = now.since(knowledge.listed_at);
        knowledge.is_complete(now) && listing_age <= self.settings.listing_limit
    }

    /// Records versions that serve their pools, as other gateways tell. The list of upstreams may not have them yet.
    pub(super) fn note_seen_versions(
        &mut self,
        origins: &IndexSet<StreamOrigin>,
        now: ClockMillis,
    ) {
        for origin in origins {
            if let Some(pool) = self.pool_with_key(origin.pool) {
                pool.versions.note_seen(origin.version, now);
            }
        }
        self.tell_origins(now);
    }

    /// Requests that the log gets the versions that it lacks, and loses those that it needs no more, again and again until it has
    /// done so.
    pub(super) fn record_versions(&mut self, now: ClockMillis) {
        if !self.version_knowledge.is_complete(now) {
            return;
        }
        for (origin, record) in &mut self.version_knowledge.unlisted {
            let is_requested = record
                .removal_requested_at
                .is_some_and(|at| now.since(at) < RECORD_RETRY);
            if record.is_obsolete(now) && !is_requested {
                record.removal_requested_at = Some(now);
                self.actions.push_back(FlowAction::ForgetVersion(*origin));
            }
        }
        let settling_time = self.settings.listing_limit + SETTLING_MARGIN;
        for (name, pool) in &mut self.pools {
            let pool_key = PoolKey::of(name);
            for version in pool.versions.take_unrecorded(settling_time, now) {
                let origin = StreamOrigin {
                    pool: pool_key,
                    version,
                };
                self.actions.push_back(FlowAction::RecordVersion(origin));
            }
            for version in pool.versions.take_obsolete(now) {
                let origin = StreamOrigin {
                    pool: pool_key,
                    version,
                };
                self.actions.push_back(FlowAction::ForgetVersion(origin));
            }
        }
    }

    fn pool_with_key(&mut self, key: PoolKey) -> Option<&mut PoolState> {
        let mut pools = self.pools.iter_mut();
        let pool = pools.find(|(name, _)| PoolKey::of(name) == key);
        pool.map(|(_, pool)| pool)
    }
}
