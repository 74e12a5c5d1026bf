//! Refusals, each with evidence that the request did not run.

use std::fmt;

use fescuetide_base::SpanMillis;
use fescuetide_claims::KeyEvidence;

/// Evidence that a request did not run. Only this crate can construct it, from the history of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRunEvidence(EvidenceKind);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EvidenceKind {
    NeverSent,
    DeclinedByUpstream,
    KeyNeverRan,
}

impl NotRunEvidence {
    /// Derives the evidence from whether any upstream may have started the request and how often it was sent. Returns
    /// `None` if the request may have run.
    pub(crate) fn of_history(may_have_run: bool, sent_count: u32) -> Option<Self> {
        match (may_have_run, sent_count) {
            (true, _) => None,
            (false, 0) => Some(Self(EvidenceKind::NeverSent)),
            (false, _) => Some(Self(EvidenceKind::DeclinedByUpstream)),
        }
    }

    /// Derives the evidence from the claims on the request's idempotency key. Returns `None` if the request may have
    /// run under one of them.
    pub(crate) fn of_key(evidence: KeyEvidence) -> Option<Self> {
        let is_not_run = evidence.is_not_run();
        is_not_run.then_some(Self(EvidenceKind::KeyNeverRan))
    }
}

impl fmt::Display for NotRunEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.0 {
            EvidenceKind::NeverSent => "never_sent",
            EvidenceKind::DeclinedByUpstream => "declined_by_upstream",
            EvidenceKind::KeyNeverRan => "key_never_ran",
        })
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// None of the request's pools has a usable upstream.
    NoUpstream,
    /// All upstreams were full for longer than the request can wait.
    Overloaded,
    /// No upstream accepts requests from this gateway before the request would have to be refused.
    Paused,
    /// The upstreams have rate limits, which earlier requests use up for longer than the request can wait.
    RateLimited,
    /// The upstreams declined the request.
    Declined,
    /// It takes up a stream, upstreams of several versions serve, and no gateway knows which of them began it.
    UnknownStream,
    /// The request reached the attempt limit of its route, the retry budget is exhausted, or every upstream was tried.
    NoRetryLeft,
    /// The request crashes the upstreams that run it.
    CrashesUpstreams,
}

impl RefusalCause {
    /// The label used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoUpstream => "no_upstream",
            Self::Overloaded => "overloaded",
            Self::Paused => "paused",
            Self::RateLimited => "rate_limited",
            Self::Declined => "declined",
            Self::UnknownStream => "unknown_stream",
            Self::NoRetryLeft => "no_retry_left",
            Self::CrashesUpstreams => "crashes_upstreams",
        }
    }
}

/// A guarantee that a request has not run and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowRefusal {
    /// Evidence for the guarantee.
    pub evidence: NotRunEvidence,
    /// Why the request is refused.
    pub cause: RefusalCause,
    /// How long the caller should wait before retrying.
    pub retry_after: SpanMillis,
}
