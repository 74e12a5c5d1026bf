//! What changes in what is known about suspects.

use std::fmt;

use fescuetide_base::VmName;
use fescuetide_limits::CrashEvidence;

/// What crash evidence is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectKind {
    /// A request that comes again.
    Request,
    /// A part of prompts that requests share.
    PromptPart,
}

impl fmt::Display for SuspectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request => write!(f, "request"),
            Self::PromptPart => write!(f, "prompt part"),
        }
    }
}

/// A change of what is known about a request or prompt part that may crash upstreams, for logs and counters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashEvent {
    /// The request, or one with the part, was running on an upstream that went down.
    Counted {
        /// Whether it is a request or a part of prompts.
        kind: SuspectKind,
        /// What is known now.
        evidence: CrashEvidence,
        /// The upstream.
        upstream: VmName,
        /// Whether it is refused from now on, or will be unless it completes soon.
        is_refused: bool,
    },
    /// The request was running on an upstream that went down, but this adds nothing to its crashes: it completes at other
    /// times, and the upstream went down together with another one that counts already.
    Coinciding {
        /// What is known.
        evidence: CrashEvidence,
        /// The upstream.
        upstream: VmName,
    },
    /// An upstream at which attempts broke accepts connections. A crash is counted only if the list of upstreams shows a restart.
    Accepting(VmName),
    /// The request, or one with the part, completed, so that its earlier crashes no longer count.
    Cleared {
        /// What is known now.
        evidence: CrashEvidence,
        /// Whether gateways were about to refuse it, or did so already.
        is_urgent: bool,
    },
    /// Another gateway reported crashes, or a completion.
    Learned(CrashEvidence),
    /// Another gateway reported crashes of what completed here recently, so they no longer count.
    Vouched(CrashEvidence),
}
