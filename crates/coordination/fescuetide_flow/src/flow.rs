//! The history and state of one request.

use fescuetide_base::ClockMillis;
use fescuetide_base::PoolName;
use fescuetide_base::VmName;

use crate::RunEvidence;
use crate::WorkRequest;

/// An attempt that is under way.
#[derive(Clone, Debug)]
pub(crate) struct FlowAttempt {
    pub(crate) pool: PoolName,
    pub(crate) vm: VmName,
    pub(crate) ordered_at: ClockMillis,
    /// Whether a byte of the request went out.
    pub(crate) is_sent: bool,
    /// When the last part of a stream came, `None` before its head.
    pub(crate) last_part: Option<ClockMillis>,
}

/// Where a request is.
#[derive(Clone, Debug)]
pub(crate) enum FlowState {
    /// In the queue of a pool.
    Waiting(PoolName),
    /// At an upstream.
    Running(FlowAttempt),
}

/// A request with its history.
#[derive(Clone, Debug)]
pub(crate) struct RequestFlow {
    pub(crate) request: WorkRequest,
    pub(crate) state: FlowState,
    /// Attempts of which a byte went out.
    pub(crate) sent_count: u32,
    /// Whether an upstream may have begun to run it.
    pub(crate) may_have_run: bool,
    /// Whether the caller has the head of a stream.
    pub(crate) is_relayed: bool,
    /// Whether the process holds the whole answer of an upstream that failed.
    pub(crate) has_answer: bool,
    /// Upstreams that are not asked again.
    pub(crate) tried: Vec<VmName>,
}

impl RequestFlow {
    pub(crate) fn new(request: WorkRequest, pool: PoolName) -> Self {
        Self {
            request,
            state: FlowState::Waiting(pool),
            sent_count: 0,
            may_have_run: false,
            is_relayed: false,
            has_answer: false,
            tried: Vec::new(),
        }
    }

    /// Whether the request may be sent once more, as far as its own history decides.
    pub(crate) fn may_send(&self) -> bool {
        let is_safe = self.request.kind.is_repeatable() || !self.may_have_run;
        is_safe && self.sent_count < self.request.attempt_limit
    }

    /// The evidence that it did not run, if there is any.
    pub(crate) fn evidence(&self) -> Option<RunEvidence> {
        RunEvidence::of_history(self.may_have_run, self.sent_count)
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
