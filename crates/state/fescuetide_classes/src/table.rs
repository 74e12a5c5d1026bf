//! The class table and its fold over the log.

use std::fmt;

use fescuetide_base::ChangeId;
use fescuetide_base::ClassName;
use fescuetide_base::ClassVersion;
use fescuetide_base::FindingList;
use fescuetide_base::LogOffset;
use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use crate::ChangeAction;
use crate::ChangeVerdict;
use crate::ClassChange;
use crate::ClassTargets;

/// How many change ids are kept to recognise repeated appends.
const RECENT_CHANGE_LIMIT: usize = 4_096;

/// One class with its version.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassEntry {
    /// The version of the targets, rising by 1 with each accepted change. It goes on rising over a removal.
    pub version: ClassVersion,
    /// The targets, or `None` when the class has been removed.
    pub targets: Option<ClassTargets>,
}

/// The state of a class table up to an offset.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassSnapshot {
    /// The next offset to fold: all records below it are covered.
    pub next_offset: LogOffset,
    /// All classes, removed ones included.
    pub entries: IndexMap<ClassName, ClassEntry>,
    /// Ids of recently folded changes, oldest first.
    pub recent: IndexSet<ChangeId>,
}

/// Why a record or snapshot could not be folded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FoldError {
    /// Records between the table's offset and this one are missing.
    OffsetGap {
        /// The offset the table needs next.
        expected: LogOffset,
        /// The offset that was offered.
        found: LogOffset,
    },
    /// The record lies below the table's offset and was folded before.
    AlreadyFolded(LogOffset),
}

impl fmt::Display for FoldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OffsetGap { expected, found } => {
                write!(
                    f,
                    "log records from offset {expected} to {found} are missing"
                )
            }
            Self::AlreadyFolded(offset) => write!(f, "log offset {offset} was folded before"),
        }
    }
}

impl std::error::Error for FoldError {}

/// The classes in force, folded from the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassTable {
    state: ClassSnapshot,
}

impl ClassTable {
    /// Folds the change at `offset`.
    ///
    /// # Errors
    ///
    /// Fails without effect when `offset` is not the next one.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        change: &ClassChange,
    ) -> Result<ChangeVerdict, FoldError> {
        self.advance(offset)?;
        if self.state.recent.contains(&change.id) {
            return Ok(ChangeVerdict::Repeated);
        }
        self.remember(change.id);
        let version = self.version_of(&change.class);
        let list = check_change(change, version);
        if !list.is_empty() {
            return Ok(ChangeVerdict::Rejected(list));
        }
        let version = ClassVersion::new(version.get() + 1);
        let targets = match change.action {
            ChangeAction::Set(targets) => Some(targets),
            ChangeAction::Remove => None,
        };
        self.state
            .entries
            .insert(change.class.clone(), ClassEntry { version, targets });
        Ok(ChangeVerdict::Accepted(version))
    }

    /// Passes over a record that is not a change.
    ///
    /// # Errors
    ///
    /// Fails without effect when `offset` is not the next one.
    pub fn advance(&mut self, offset: LogOffset) -> Result<(), FoldError> {
        let expected = self.state.next_offset;
        if offset < expected {
            return Err(FoldError::AlreadyFolded(offset));
        }
        if offset > expected {
            return Err(FoldError::OffsetGap {
                expected,
                found: offset,
            });
        }
        self.state.next_offset = LogOffset::new(offset.get() + 1);
        Ok(())
    }

    /// Takes over `snapshot` when it is newer than the table. Returns whether it did.
    ///
    /// The caller has checked the chain rule: every record from the snapshot's next offset on can still be read, or
    /// the snapshot comes from the table of a peer that follows the same log.
    pub fn restore(&mut self, snapshot: ClassSnapshot) -> bool {
        if snapshot.next_offset <= self.state.next_offset {
            return false;
        }
        self.state = snapshot;
        true
    }

    /// The state to write as a snapshot or to hand to a peer.
    pub fn snapshot(&self) -> &ClassSnapshot {
        &self.state
    }

    /// The next offset to fold.
    pub fn next_offset(&self) -> LogOffset {
        self.state.next_offset
    }

    /// The class in force under `name`.
    pub fn get(&self, name: &ClassName) -> Option<(ClassVersion, ClassTargets)> {
        let entry = self.state.entries.get(name)?;
        Some((entry.version, entry.targets?))
    }

    /// The version of a class, 0 when it never existed.
    pub fn version_of(&self, name: &ClassName) -> ClassVersion {
        self.state
            .entries
            .get(name)
            .map_or(ClassVersion::default(), |entry| entry.version)
    }

    /// The classes in force.
    pub fn iter(&self) -> impl Iterator<Item = (&ClassName, ClassVersion, ClassTargets)> {
        self.state
            .entries
            .iter()
            .filter_map(|(name, entry)| Some((name, entry.version, entry.targets?)))
    }

    fn remember(&mut self, id: ChangeId) {
        self.state.recent.insert(id);
        if self.state.recent.len() > RECENT_CHANGE_LIMIT {
            self.state.recent.shift_remove_index(0);
        }
    }
}

fn check_change(change: &ClassChange, version: ClassVersion) -> FindingList {
    let mut list = FindingList::default();
    if change.based_on != version {
        list.add(
            format!("class {}", change.class),
            format!(
                "change is based on version {}, but version {version} is in force",
                change.based_on
            ),
        );
    }
    match change.action {
        ChangeAction::Set(targets) => {
            if let Err(findings) = targets.check(change.class.as_str()) {
                list.extend(findings);
            }
        }
        ChangeAction::Remove => {}
    }
    list
}
