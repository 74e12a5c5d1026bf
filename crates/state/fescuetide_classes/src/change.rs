//! Changes of classes and their verdicts.

use fescuetide_base::ChangeId;
use fescuetide_base::ClassName;
use fescuetide_base::ClassVersion;
use fescuetide_base::ClockMillis;
use fescuetide_base::FindingList;
use serde::Deserialize;
use serde::Serialize;

use crate::ClassTargets;

/// What a change does to its class.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChangeAction {
    /// Creates the class or revises its targets.
    Set(ClassTargets),
    /// Removes the class.
    Remove,
}

/// A change of one class as an operator publishes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassChange {
    /// Identifies the change, so that a repeated append counts once.
    pub id: ChangeId,
    /// The class to change.
    pub class: ClassName,
    /// The version the operator saw; 0 when the class did not exist.
    pub based_on: ClassVersion,
    /// What to do.
    pub action: ChangeAction,
    /// Who published the change.
    pub author: String,
    /// When the operator's tool made the change.
    pub at: ClockMillis,
}

/// What folding a change led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeVerdict {
    /// In force as this version.
    Accepted(ClassVersion),
    /// Without effect, for these reasons.
    Rejected(FindingList),
    /// The same change was folded before.
    Repeated,
}
