//! Changes of classes and the results of folding them.

use fescuetide_base::ChangeId;
use fescuetide_base::ClassName;
use fescuetide_base::ClassVersion;
use fescuetide_base::ClockMillis;
use fescuetide_base::FindingList;
use serde::Deserialize;
use serde::Serialize;

use crate::ClassTargets;

/// Operation of a change.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChangeAction {
    /// Creates the class or replaces its targets.
    Set(ClassTargets),
    /// Removes the class.
    Remove,
}

/// A change of one class, as published by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassChange {
    /// Unique id, which makes a repeated append idempotent.
    pub id: ChangeId,
    /// The class to change.
    pub class: ClassName,
    /// Expected current version of the class, or 0 if the class does not exist yet.
    pub based_on: ClassVersion,
    /// Operation to apply.
    pub action: ChangeAction,
    /// Operator who published the change.
    pub author: String,
    /// When the operator's tool created the change.
    pub at: ClockMillis,
}

/// Result of folding a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeVerdict {
    /// The change took effect and created this version.
    Accepted(ClassVersion),
    /// The change had no effect, for these reasons.
    Rejected(FindingList),
    /// A change with the same id was already folded.
    Repeated,
}
