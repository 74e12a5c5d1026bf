//! Streams that callers take up, which go on only at the version that began them.

use fescuetide_base::ClockMillis;
use fescuetide_fleet::VersionKey;
use fescuetide_fleet::WorkKind;
use indexmap::IndexSet;

use super::NO_UPSTREAM_RETRY_DELAY;
use super::RequestScheduler;
use crate::FailedSearch;
use crate::FlowAction;
use crate::FlowKey;
use crate::FlowNotice;
use crate::OriginEntry;
use crate::OriginSource;
use crate::PoolKey;
use crate::RefusalCause;
use crate::StreamKey;
use crate::StreamOrigin;
use crate::VersionVotes;
use crate::flow::FlowState;
use crate::pool::PoolState;
use crate::versions::VersionTable;

impl RequestScheduler {
    /// Where a stream began, if this gateway knows it.
    pub fn origin(&self, stream: StreamKey, now: ClockMillis) -> Option<OriginEntry> {
        self.origins.get(stream, now)
    }

    /// Adds where streams began, as the log or another gateway tells, and continues requests that take them up.
    pub fn note_origins(
        &mut self,
        entries: &[OriginEntry],
        source: OriginSource,
        now: ClockMillis,
    ) {
        let versions: IndexSet<StreamOrigin> = entries.iter().map(|entry| entry.origin).collect();
        self.note_seen_versions(&versions, now);
        let sought: IndexSet<StreamKey> = self.seeking.values().copied().collect();
        for entry in entries {
            self.origins.merge(*entry, source, now);
            if !sought.contains(&entry.stream) {
                continue;
            }
            for key in self.take_seekers(entry.stream) {
                self.continue_at(key, entry.origin, source, now);
            }
        }
    }

    /// Continues the requests that take up a stream of which the log has no origin, if it can have begun at one version only.
    /// Must be called after [`note_version_reading`](Self::note_version_reading) with a read that began after the stream
    /// was taken up. Returns whether no request waits for the stream any more.
    pub fn settle_origin(&mut self, stream: StreamKey, now: ClockMillis) -> bool {
        if !self.version_knowledge.is_complete(now) {
            return false;
        }
        let source = OriginSource::OnlyRecordedVersion;
        self.continue_at_only(stream, VersionTable::only_possible, source, now)
    }

    /// Ends the search for the origin of a stream. Its requests are refused, unless the stream can only be from before this gateway
    /// started, when there was one version, or the log cannot be read and the other gateways that answer know of one version only.
    ///
    /// What this gateway knows by itself is no proof: while it cannot read the log, another gateway may have listed a new version
    /// and have begun the stream there.
    pub fn give_up_origin(&mut self, search: &FailedSearch, now: ClockMillis) {
        let VersionVotes { for_one, against } = search.votes;
        let is_vouched = against == 0 && for_one > 0;
        if search.is_log_read {
            self.continue_earlier(search.stream, now);
        }
        let source = OriginSource::OtherGatewaysAgree;
        if is_vouched && self.continue_at_only(search.stream, VersionTable::only_known, source, now)
        {
            return;
        }
        for key in self.take_seekers(search.stream) {
            let votes = search.votes;
            self.notices.push(FlowNotice::OriginUnknown { key, votes });
            let cause = RefusalCause::UnknownStream;
            self.refuse_or_fail(key, cause, NO_UPSTREAM_RETRY_DELAY, now);
        }
    }

    /// Continues the requests that take up a stream from before this gateway started, if there was one version only.
    fn continue_earlier(&mut self, stream: StreamKey, now: ClockMillis) {
        for key in self.take_seekers(stream) {
            let flow = self.flows.get(&key);
            let version = flow.and_then(|flow| match &flow.state {
                FlowState::Waiting(pool) => self
                    .version_knowledge
                    .only_version_before(PoolKey::of(pool), now),
                FlowState::Running(_) => None,
            });
            match version {
                Some(version) => {
                    self.place_at(key, version, OriginSource::OnlyVersionBefore, now);
                }
                None => {
                    self.seeking.insert(key, stream);
                }
            }
        }
    }

    /// Continues the requests that take up a stream at the version that `only` finds. Returns whether all could be continued.
    fn continue_at_only(
        &mut self,
        stream: StreamKey,
        only: impl Fn(&VersionTable, ClockMillis) -> Option<VersionKey>,
        source: OriginSource,
        now: ClockMillis,
    ) -> bool {
        let mut are_all_continued = true;
        for key in self.take_seekers(stream) {
            let pool = self.pool_of(key);
            let Some(version) = pool.and_then(|pool| only(&pool.versions, now)) else {
                are_all_continued = false;
                self.seeking.insert(key, stream);
                continue;
            };
            self.place_at(key, version, source, now);
        }
        are_all_continued
    }

    /// The pool that a request waits for.
    fn pool_of(&self, key: FlowKey) -> Option<&PoolState> {
        match &self.flows.get(&key)?.state {
            FlowState::Waiting(pool) => self.pools.get(pool),
            FlowState::Running(_) => None,
        }
    }

    fn place_at(
        &mut self,
        key: FlowKey,
        version: VersionKey,
        source: OriginSource,
        now: ClockMillis,
    ) {
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.version = Some(version);
            self.notices.push(FlowNotice::OriginFound { key, source });
            self.place(key, now);
        }
    }

    fn take_seekers(&mut self, stream: StreamKey) -> Vec<FlowKey> {
        let mut seekers = Vec::new();
        self.seeking.retain(|key, sought| {
            let is_seeker = *sought == stream;
            if is_seeker {
                seekers.push(*key);
            }
            !is_seeker
        });
        seekers
    }

    /// Places a request that takes up a stream, or finds out where the stream began.
    pub(super) fn take_up_stream(&mut self, key: FlowKey, now: ClockMillis) {
        let Some(flow) = self.flows.get(&key) else {
            return;
        };
        let stream = flow.request.stream;
        if let Some(known) = self.origins.get(stream, now)
            && let Some(source) = self.origins.source(stream, now)
        {
            self.continue_at(key, known.origin, source, now);
            return;
        }
        let only = self
            .pool_of(key)
            .and_then(|pool| pool.versions.only_known(now));
        if let Some(version) = only.filter(|_| self.knows_versions(now)) {
            self.place_at(key, version, OriginSource::OnlyVersion, now);
            return;
        }
        self.seeking.insert(key, stream);
        self.actions.push_back(FlowAction::SeekOrigin(stream));
    }

    /// Places a request at the upstreams that can continue its stream.
    fn continue_at(
        &mut self,
        key: FlowKey,
        origin: StreamOrigin,
        source: OriginSource,
        now: ClockMillis,
    ) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        flow.version = Some(origin.version);
        let mut pools = flow.request.pools.iter();
        let share = pools.find(|share| PoolKey::of(&share.pool) == origin.pool);
        let Some(share) = share else {
            // The route does not lead to the pool any more, and the upstreams of another one did not begin the stream.
            let cause = RefusalCause::NoUpstream;
            self.refuse_or_fail(key, cause, NO_UPSTREAM_RETRY_DELAY, now);
            return;
        };
        flow.state = FlowState::Waiting(share.pool.clone());
        self.place_at(key, origin.version, source, now);
    }

    /// Tells other gateways at which version a stream will begin that is being sent, if its pool has several. Its first event may
    /// reach its caller just before the gateways are lost.
    pub(super) fn note_sent_stream(&mut self, key: FlowKey, now: ClockMillis) {
        let tells_origins = self
            .pool_of_attempt(key)
            .is_some_and(|pool| pool.tells_origins);
        if tells_origins {
            self.note_own_stream(key, now);
        }
    }

    /// Records where a stream began, when its first event is relayed or its caller has taken it up.
    pub(super) fn note_first_event(&mut self, key: FlowKey, now: ClockMillis) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        if flow.is_origin_noted {
            return;
        }
        flow.is_origin_noted = true;
        flow.version = flow.attempt().map(|attempt| attempt.version);
        self.note_own_stream(key, now);
    }

    fn pool_of_attempt(&self, key: FlowKey) -> Option<&PoolState> {
        let attempt = self.flows.get(&key)?.attempt()?;
        self.pools.get(&attempt.pool)
    }

    /// Records the version of a stream's current attempt as its origin, and tells others of it, unless they were told already.
    fn note_own_stream(&mut self, key: FlowKey, now: ClockMillis) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let FlowState::Running(attempt) = &flow.state else {
            return;
        };
        if flow.request.kind != WorkKind::ResumableStream {
            return;
        }
        let origin = StreamOrigin {
            pool: PoolKey::of(&attempt.pool),
            version: attempt.version,
        };
        let pool = self.pools.get(&attempt.pool);
        let tells_origins = pool.is_some_and(|pool| pool.tells_origins);
        let entry = self.origins.note_own(flow.request.stream, origin, now);
        if tells_origins && flow.told_version != Some(origin.version) {
            flow.told_version = Some(origin.version);
            self.actions.push_back(FlowAction::TellOrigin(entry));
        }
    }

    /// Tells other gateways where this gateway's streams began, if their pool has just got a second version. Streams that
    /// begin from now on are told when they do.
    pub(super) fn tell_origins(&mut self, now: ClockMillis) {
        for (name, pool) in &mut self.pools {
            let has_several = pool.versions.only_known(now).is_none();
            let is_new = has_several && !pool.tells_origins;
            pool.tells_origins = has_several;
            if !is_new {
                continue;
            }
            for entry in self.origins.own_streams(PoolKey::of(name), now) {
                self.actions.push_back(FlowAction::TellOrigin(entry));
            }
        }
    }
}
