//! Refusals, each with the evidence that the request did not run.

use std::fmt;

use fescuetide_base::SpanMillis;
use fescuetide_claims::KeyEvidence;

/// Why a request is known not to have run. Only this crate creates it, from the history of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunEvidence(EvidenceKind);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EvidenceKind {
    NeverSent,
    DeclinedByUpstream,
    KeyNeverRan,
}

impl RunEvidence {
    /// Derives the evidence from a history: whether any upstream may have begun, and how many declined. `None` when the
    /// request may have run.
    pub(crate) fn of_history(may_have_run: bool, sent_count: u32) -> Option<Self> {
        match (may_have_run, sent_count) {
            (true, _) => None,
            (false, 0) => Some(Self(EvidenceKind::NeverSent)),
            (false, _) => Some(Self(EvidenceKind::DeclinedByUpstream)),
        }
    }

    /// Derives the evidence from what is known of the claims on a request's key. `None` when it may have run under one.
    pub(crate) fn of_key(evidence: KeyEvidence) -> Option<Self> {
        let is_not_run = evidence.is_not_run();
        is_not_run.then_some(Self(EvidenceKind::KeyNeverRan))
    }
}

impl fmt::Display for RunEvidence {
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
    /// No upstream of its pools is known or may be used.
    NoUpstream,
    /// All upstreams are full for longer than the request can wait.
    Overloaded,
    /// Upstreams declined it.
    Declined,
    /// It was sent to as many upstreams as its route allows, or the retry budget is used up.
    NoRetryLeft,
    /// It crashes the upstreams that run it.
    CrashesUpstreams,
}

impl RefusalCause {
    /// The cause as a word for logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoUpstream => "no_upstream",
            Self::Overloaded => "overloaded",
            Self::Declined => "declined",
            Self::NoRetryLeft => "no_retry_left",
            Self::CrashesUpstreams => "crashes_upstreams",
        }
    }
}

/// A promise that a request has not run and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowRefusal {
    /// Why the promise is true.
    pub evidence: RunEvidence,
    /// Why the request is refused.
    pub cause: RefusalCause,
    /// When it is worth to come again.
    pub retry_after: SpanMillis,
}
