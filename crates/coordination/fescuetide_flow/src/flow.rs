//! The history and state of one request.

use std::sync::Arc;

use fescuetide_base::ClockMillis;
use fescuetide_base::PoolName;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::UpstreamLife;
use fescuetide_base::VmName;
use fescuetide_fleet::VersionKey;
use fescuetide_fleet::WorkKind;
use fescuetide_limits::CrashCount;

use crate::NotRunEvidence;
use crate::WorkRequest;
use crate::crash::CrashRun;
use crate::pool::UpstreamFilter;

/// An attempt in progress.
#[derive(Clone, Debug)]
pub(crate) struct FlowAttempt {
    pub(crate) pool: PoolName,
    pub(crate) vm: VmName,
    /// The incarnation of the upstream when the attempt started.
    pub(crate) incarnation: ProcessIncarnation,
    /// The version of the software of the upstream.
    pub(crate) version: VersionKey,
    pub(crate) started_at: ClockMillis,
    /// The crashes of the request that were known when the attempt started.
    pub(crate) known_crashes: CrashCount,
    /// Whether the first byte of the request was written.
    pub(crate) is_sent: bool,
    /// When the last data of the stream arrived, `None` before its head.
    pub(crate) last_data_at: Option<ClockMillis>,
}

impl FlowAttempt {
    /// The attempt as far as it matters for the detection of requests that crash upstreams.
    pub(crate) fn crash_run(&self, request: &WorkRequest, heard_at: ClockMillis) -> CrashRun {
        CrashRun {
            fingerprint: request.fingerprint,
            parts: Arc::clone(&request.part_fingerprints),
            life: UpstreamLife::of(&self.vm, self.incarnation),
            known: self.known_crashes,
            started_at: self.started_at,
            heard_at,
        }
    }
}

/// The current state of a request.
#[derive(Clone, Debug)]
pub(crate) enum FlowState {
    /// Queued for a pool.
    Waiting(PoolName),
    /// Sent to an upstream.
    Running(FlowAttempt),
}

/// A request with its state and history.
#[derive(Clone, Debug)]
pub(crate) struct RequestFlow {
    pub(crate) request: WorkRequest,
    pub(crate) state: FlowState,
    /// Number of attempts whose first byte was written.
    pub(crate) sent_count: u32,
    /// Whether an upstream may have started to run the request.
    pub(crate) may_have_run: bool,
    /// Whether the head of a stream was relayed to the caller.
    pub(crate) is_relayed: bool,
    /// Whether the process holds a complete error response of an upstream.
    pub(crate) has_error_response: bool,
    /// The only version at which the stream can be continued, `None` before its first event.
    pub(crate) version: Option<VersionKey>,
    /// Whether it was recorded where the stream began.
    pub(crate) is_origin_noted: bool,
    /// The version at which the stream will begin, as other gateways were told.
    pub(crate) told_version: Option<VersionKey>,
    /// Upstreams that are not tried again.
    pub(crate) tried: Vec<VmName>,
    /// Number of upstreams that share the requests with this prompt prefix.
    pub(crate) holder_count: usize,
}

impl RequestFlow {
    pub(crate) fn new(request: WorkRequest, pool: PoolName) -> Self {
        Self {
            request,
            state: FlowState::Waiting(pool),
            sent_count: 0,
            may_have_run: false,
            is_relayed: false,
            has_error_response: false,
            version: None,
            is_origin_noted: false,
            told_version: None,
            tried: Vec::new(),
            holder_count: 1,
        }
    }

    /// Whether its kind, history and attempt limit allow another attempt, now that the upstream of the current one does not run
    /// it any more.
    pub(crate) fn may_send(&self) -> bool {
        let is_safe = self.request.kind.is_repeatable() || !self.may_have_run;
        is_safe && self.sent_count < self.request.attempt_limit
    }

    /// Whether its kind and history allow another attempt while the upstream of the current one may still run it.
    pub(crate) fn allows_second_run(&self) -> bool {
        let is_running = self.attempt().is_some_and(|attempt| attempt.is_sent);
        self.request.kind.is_repeatable() || !(self.may_have_run || is_running)
    }

    /// Whether some upstreams of its pool are not for this request.
    pub(crate) fn is_restricted(&self) -> bool {
        self.version.is_some() || !self.tried.is_empty()
    }

    /// The upstreams that the request may be sent to.
    pub(crate) fn filter(&self) -> UpstreamFilter<'_> {
        UpstreamFilter {
            tried: &self.tried,
            version: self.version,
            preferred_version: self.told_version,
            begins_stream: self.version.is_none() && self.request.kind == WorkKind::ResumableStream,
        }
    }

    /// Evidence that the request did not run, if any.
    pub(crate) fn evidence(&self) -> Option<NotRunEvidence> {
        NotRunEvidence::of_history(self.may_have_run, self.sent_count)
    }

    pub(crate) fn attempt(&self) -> Option<&FlowAttempt> {
        match &self.state {
            FlowState::Waiting(_) => None,
            FlowState::Running(attempt) => Some(attempt),
        }
    }

    pub(crate) fn attempt_mut(&mut self) -> Option<&mut FlowAttempt> {
        match &mut self.state {
            FlowState::Waiting(_) => None,
            FlowState::Running(attempt) => Some(attempt),
        }
    }
}
