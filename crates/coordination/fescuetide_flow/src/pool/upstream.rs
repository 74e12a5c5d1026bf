//! An upstream as a pool sees it, and what decides whether it gets a request.

use fescuetide_base::ClockMillis;
use fescuetide_base::StableHash;
use fescuetide_base::UpstreamLife;
use fescuetide_base::VmName;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_fleet::UpstreamState;
use fescuetide_fleet::VersionKey;

use crate::announcements::AnnouncementTable;
use crate::health::OutcomeTable;
use crate::load::UpstreamLoad;
use crate::placement::RecoveryState;
use crate::rate_limits::RateLimitTable;

/// Maximum number of requests queued at an upstream in addition to those in its slots.
const UPSTREAM_QUEUE_LIMIT: u32 = 8;

/// An upstream with its load as seen by this gateway.
#[derive(Clone, Debug)]
pub(crate) struct PoolUpstream {
    pub(super) entry: UpstreamEntry,
    pub(super) hash: u64,
    pub(super) key: UpstreamLife,
    pub(super) version: VersionKey,
    pub(super) load: UpstreamLoad,
    pub(super) last_data_at: ClockMillis,
    pub(super) discovered_at: ClockMillis,
}

impl PoolUpstream {
    pub(super) fn new(entry: UpstreamEntry, now: ClockMillis) -> Self {
        Self {
            hash: StableHash::hash_bytes(entry.name.as_str().as_bytes()),
            key: UpstreamLife::of(&entry.name, entry.incarnation),
            version: entry.version.key(),
            entry,
            load: UpstreamLoad::default(),
            last_data_at: ClockMillis::default(),
            discovered_at: now,
        }
    }

    pub(super) fn capacity(&self) -> u32 {
        self.entry.slots + self.entry.slots.min(UPSTREAM_QUEUE_LIMIT)
    }

    fn is_ready(&self) -> bool {
        self.entry.state == UpstreamState::Ready
    }
}

/// Which upstreams of a pool a request may be sent to, regardless of their condition.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UpstreamFilter<'a> {
    /// Upstreams that are not tried again.
    pub(crate) tried: &'a [VmName],
    /// The only version that can continue the request's stream, `None` if any can serve it.
    pub(crate) version: Option<VersionKey>,
    /// The version that is used as long as one of its upstreams is left, `None` for any.
    pub(crate) preferred_version: Option<VersionKey>,
    /// Whether the request begins a stream that callers may take up later.
    pub(crate) begins_stream: bool,
}

impl UpstreamFilter<'_> {
    pub(super) fn allows(&self, name: &VmName, upstream: &PoolUpstream) -> bool {
        let is_version = self
            .version
            .is_none_or(|version| version == upstream.version);
        is_version && !self.tried.contains(name)
    }
}

/// What is known about the condition of upstreams beyond their entries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpstreamConditions<'a> {
    pub(crate) outcomes: &'a OutcomeTable,
    pub(crate) announcements: &'a AnnouncementTable,
    pub(crate) rate_limits: &'a RateLimitTable,
    pub(crate) now: ClockMillis,
}

impl UpstreamConditions<'_> {
    /// Whether an upstream is ready and has not announced that it leaves.
    pub(super) fn is_ready(&self, upstream: &PoolUpstream) -> bool {
        upstream.is_ready() && !self.announcements.is_leaving(&upstream.entry, self.now)
    }

    /// Whether an upstream accepts requests, regardless of its load.
    pub(super) fn accepts_requests(&self, upstream: &PoolUpstream) -> bool {
        self.is_ready(upstream)
            && self.paused_until(upstream).is_none()
            && self.is_within_limit(upstream)
    }

    /// Whether this gateway's part of the rate limit of an upstream, if it has one, allows another request.
    fn is_within_limit(&self, upstream: &PoolUpstream) -> bool {
        let bucket = self.rate_limits.bucket_of(&upstream.entry);
        bucket.is_none_or(|bucket| bucket.has_token(self.now))
    }

    /// How an upstream recovers after a rate limit, `None` if it does not.
    pub(super) fn recovery(&self, upstream: &PoolUpstream) -> Option<RecoveryState> {
        self.rate_limits.recovery(&upstream.entry, self.now)
    }

    pub(super) fn paused_until(&self, upstream: &PoolUpstream) -> Option<ClockMillis> {
        self.announcements.paused_until(&upstream.entry, self.now)
    }
}
