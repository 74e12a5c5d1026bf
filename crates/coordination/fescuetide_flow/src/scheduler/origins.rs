//! Streams that callers take up, which go on only at the version that began them.

use fescuetide_base::ClockMillis;
use fescuetide_base::PoolName;
use fescuetide_fleet::VersionKey;
use fescuetide_fleet::WorkKind;

use super::NO_UPSTREAM_RETRY_DELAY;
use super::RequestScheduler;
use crate::FlowAction;
use crate::FlowKey;
use crate::PoolKey;
use crate::RefusalCause;
use crate::StreamKey;
use crate::StreamOrigin;
use crate::flow::FlowState;

impl RequestScheduler {
    /// Where a stream began, if this gateway knows it.
    pub fn origin(&self, stream: StreamKey, now: ClockMillis) -> Option<StreamOrigin> {
        self.origins.get(stream, now)
    }

    /// Adds where a stream began, as another gateway tells, and continues requests that take it up.
    pub fn note_origin(&mut self, stream: StreamKey, origin: StreamOrigin, now: ClockMillis) {
        self.note_version(origin, now);
        self.origins.merge(stream, origin, now);
        for key in self.take_seekers(stream) {
            self.continue_at(key, origin, now);
        }
    }

    /// Adds a version that serves a pool, as another gateway tells. The list of upstreams that this gateway knows may not have it
    /// yet.
    pub fn note_version(&mut self, origin: StreamOrigin, now: ClockMillis) {
        for (name, pool) in &mut self.pools {
            if PoolKey::of(name) == origin.pool {
                pool.note_version(origin.version, now);
            }
        }
        self.tell_origins(now);
    }

    /// Refuses the requests that take up a stream, since no gateway knows where it began.
    pub fn give_up_origin(&mut self, stream: StreamKey, now: ClockMillis) {
        for key in self.take_seekers(stream) {
            let cause = RefusalCause::UnknownStream;
            self.refuse_or_fail(key, cause, NO_UPSTREAM_RETRY_DELAY, now);
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

    /// Places a request that takes up a stream, or asks other gateways where the stream began.
    pub(super) fn take_up_stream(&mut self, key: FlowKey, now: ClockMillis) {
        let Some(flow) = self.flows.get(&key) else {
            return;
        };
        let stream = flow.request.stream;
        if let Some(origin) = self.origins.get(stream, now) {
            self.continue_at(key, origin, now);
            return;
        }
        if let FlowState::Waiting(pool) = &flow.state
            && let Some(version) = self.only_version(pool, now)
        {
            self.flows[&key].version = Some(version);
            self.place(key, now);
            return;
        }
        self.seeking.insert(key, stream);
        self.actions.push_back(FlowAction::SeekOrigin(stream));
    }

    /// Places a request at the upstreams that can continue its stream.
    fn continue_at(&mut self, key: FlowKey, origin: StreamOrigin, now: ClockMillis) {
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
        self.place(key, now);
    }

    fn only_version(&self, pool: &PoolName, now: ClockMillis) -> Option<VersionKey> {
        self.pools.get(pool)?.only_version(now)
    }

    /// Records where a stream began, when its first event is relayed or its caller has taken it up.
    pub(super) fn note_first_event(&mut self, key: FlowKey, now: ClockMillis) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        if flow.is_origin_noted || flow.request.kind != WorkKind::ResumableStream {
            return;
        }
        let FlowState::Running(attempt) = &flow.state else {
            return;
        };
        let origin = StreamOrigin {
            pool: PoolKey::of(&attempt.pool),
            version: attempt.version,
        };
        let pool = self.pools.get(&attempt.pool);
        let tells_origins = pool.is_some_and(|pool| pool.tells_origins);
        let stream = flow.request.stream;
        flow.is_origin_noted = true;
        flow.version = Some(origin.version);
        self.origins.note_own(stream, origin, now);
        if tells_origins {
            let action = FlowAction::TellOrigin(stream, origin);
            self.actions.push_back(action);
        }
    }

    /// Tells other gateways where this gateway's streams began, if their pool has just got a second version. Streams that
    /// begin from now on are told when they do.
    pub(super) fn tell_origins(&mut self, now: ClockMillis) {
        for (name, pool) in &mut self.pools {
            let has_several = pool.only_version(now).is_none();
            let is_new = has_several && !pool.tells_origins;
            pool.tells_origins = has_several;
            if !is_new {
                continue;
            }
            for (stream, origin) in self.origins.own_streams(PoolKey::of(name), now) {
                let action = FlowAction::TellOrigin(stream, origin);
                self.actions.push_back(action);
            }
        }
    }
}
