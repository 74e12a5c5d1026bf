//! Steps that the process executes for a request.

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
    /// The admission rule, which sets the maximum load for admission.
    pub rule: AdmitRule,
    /// An additional condition for admission.
    pub condition: OfferCondition,
    /// Another VM whose engine has the chat's prefix cached.
    pub copy_from: Option<VmEntry>,
    /// Whether the request is suspected of crashing upstreams.
    pub is_suspect: bool,
    /// Maximum time in the queue of the side process: the time left until the first response data is late or, after a
    /// lost attempt, until the caller times out.
    pub queue_limit: SpanMillis,
    /// Time left until the caller times out.
    pub time_left: SpanMillis,
}

/// A command to append a claim on the request's key to the log, or to look up the current one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimCommand {
    /// The side process that will run the request, or `None` to only look up the current claim. For a look-up, the
    /// process submits a claim that supersedes a non-existent claim, which a registrar never appends.
    pub target: Option<ProcessInstance>,
    /// The claim that this one supersedes. It is only appended while that claim is the current one.
    pub supersedes: Option<ClaimId>,
    /// When the reply is needed.
    pub due: ClockMillis,
}

/// A query to a side process about the request's key.
///
/// If the side process has never seen the key, it seals it: it then declines every offer with that key and never runs
/// the request. A router can also have it seal a single attempt, without the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyQuery {
    /// The VM of the side process.
    pub vm: VmEntry,
    /// The claim that names the side process.
    pub claim: ClaimEntry,
    /// How long the side process waits, before it seals the key, for an offer that may be in flight.
    pub wait: SpanMillis,
}

/// The next step for the process to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum CallStep {
    /// Wait until the given time.
    Wait(ClockMillis),
    /// Open a connection to a side process to learn its incarnation.
    Connect(VmEntry),
    /// Append a claim to the log or look up the current one.
    Claim(ClaimCommand),
    /// Query the side process that a claim names.
    QueryKey(Box<KeyQuery>),
    /// Offer the request. After a claim, the offer uses the connection that was opened before it.
    Offer(Box<CallOffer>),
    /// Wait for updates about the attempt, until the caller's deadline at most.
    Listen,
    /// Tell the side process to cancel the attempt.
    Cancel,
    /// The request has ended.
    End(Box<CallEnd>),
}
