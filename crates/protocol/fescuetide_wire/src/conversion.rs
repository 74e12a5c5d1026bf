//! Conversions between wire types and the equivalent types of `fescuetide_flow` and `fescuetide_members`.
//!
//! The types differ in name, but not in meaning. `OfferCondition` is sent as [`AdmitCondition`], [`RefusalReason`] is
//! received as `DeclineReason`, and [`ClaimReply`] as `ClaimAnswer`. `CallVerdict` is the result of a request inside a
//! router, and [`CallOutcome`] is the result reported to the caller.

use fescuetide_claims::ClaimEntry;
use fescuetide_flow::CallVerdict;
use fescuetide_flow::ClaimAnswer;
use fescuetide_flow::DeclineReason;
use fescuetide_flow::OfferCondition;
use fescuetide_members::VmEntry;

use crate::api::CallOutcome;
use crate::claim::ClaimReply;
use crate::frame::AdmitCondition;
use crate::frame::PrefixSource;
use crate::frame::RefusalReason;

impl From<OfferCondition> for AdmitCondition {
    fn from(condition: OfferCondition) -> Self {
        match condition {
            OfferCondition::Held => Self::Held,
            OfferCondition::BelowMean => Self::BelowMean,
            OfferCondition::Always => Self::Always,
        }
    }
}

impl From<RefusalReason> for DeclineReason {
    fn from(reason: RefusalReason) -> Self {
        match reason {
            RefusalReason::OverBound => Self::OverBound,
            RefusalReason::NotHeld => Self::NotHeld,
            RefusalReason::AboveMean => Self::AboveMean,
            RefusalReason::TooLate => Self::TooLate,
            RefusalReason::Leaving => Self::Leaving,
            RefusalReason::Sealed => Self::Sealed,
            RefusalReason::OtherIncarnation => Self::OtherIncarnation,
            RefusalReason::KeySeen => Self::KeySeen,
            RefusalReason::Suspect => Self::Suspect,
            RefusalReason::UpstreamDown => Self::UpstreamDown,
            RefusalReason::KeyExpired => Self::KeyExpired,
        }
    }
}

impl From<ClaimReply> for ClaimAnswer {
    fn from(reply: ClaimReply) -> Self {
        match reply {
            ClaimReply::Claimed => Self::Claimed,
            ClaimReply::Held { claim, caught_up } => Self::ClaimedByOther {
                claim: Box::new(ClaimEntry::from(*claim)),
                caught_up,
            },
            ClaimReply::Free => Self::Free,
            ClaimReply::Unknown => Self::Unknown,
            ClaimReply::Unavailable {
                retry_after,
                is_free,
            } => Self::Unavailable {
                retry_after,
                is_free,
            },
        }
    }
}

impl From<CallVerdict> for CallOutcome {
    fn from(verdict: CallVerdict) -> Self {
        match verdict {
            CallVerdict::Completed => Self::Completed,
            CallVerdict::NotRun(_) => Self::NotRun,
            CallVerdict::Failed => Self::Failed,
            CallVerdict::Unknown => Self::Unknown,
        }
    }
}

impl From<VmEntry> for PrefixSource {
    fn from(vm: VmEntry) -> Self {
        Self {
            vm: vm.name,
            data: vm.data,
        }
    }
}
