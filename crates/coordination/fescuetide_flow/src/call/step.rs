//! What the process has to do next for a request.

use fescuetide_base::ClaimId;
use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_claims::ClaimEntry;
use fescuetide_claims::ProcessInstance;
use fescuetide_limits::AdmitRule;
use fescuetide_members::VmEntry;

use super::CallEnd;
use super::OfferCondition;

/// An offer of a request to a side process.
#[derive(Clone, Debug, PartialEq)]
pub struct CallOffer {
    /// The VM of the side process.
    pub vm: VmEntry,
    /// The highest load at which it may admit the request.
    pub rule: AdmitRule,
    /// What else it checks before it admits the request.
    pub condition: OfferCondition,
    /// Another VM whose engine holds the chat's prefix.
    pub copy_from: Option<VmEntry>,
    /// Whether an upstream crashed while it ran the request.
    pub is_suspect: bool,
    /// Time left until the first part of the response is late.
    pub slack: SpanMillis,
    /// Time left until the caller gives up.
    pub time_left: SpanMillis,
}

/// An order to have a claim on the request's key appended to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimOrder {
    /// The side process that is to run the request. Without one, the claim only asks who holds the key.
    pub target: Option<ProcessInstance>,
    /// The claim that this one replaces.
    pub replaces: Option<ClaimId>,
    /// When the answer is needed.
    pub due: ClockMillis,
}

/// An order to ask a side process about the request's key, and to bar the key there if it was never seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AskOrder {
    /// The VM of the side process.
    pub vm: VmEntry,
    /// The claim that names it.
    pub claim: ClaimEntry,
    /// How long the side process waits for a dispatch that may be on its way.
    pub wait: SpanMillis,
}

/// What the process has to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum CallStep {
    /// Wait until this time.
    Wait(ClockMillis),
    /// Open a connection to a side process to learn its incarnation.
    Connect(VmEntry),
    /// Have a claim appended.
    Claim(ClaimOrder),
    /// Ask the side process that a claim names.
    Ask(Box<AskOrder>),
    /// Offer the request. After a claim it goes over the connection that was opened for it.
    Offer(Box<CallOffer>),
    /// Wait for what comes of the attempt, at most until the caller gives up.
    Listen,
    /// Tell the side process that the attempt is not wanted any more.
    Cancel,
    /// The request has ended.
    End(Box<CallEnd>),
}
