//! Class table, built from the log of changes.

use fescuetide_base::ApplyError;
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

/// Number of change ids kept for detecting repeated appends.
const RECENT_CHANGE_LIMIT: usize = 4_096;

/// Version and targets of a class.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassEntry {
    /// Version of the class, incremented with each accepted change. A removal also increments it and does not reset it.
    pub version: ClassVersion,
    /// Targets, or `None` if the class was removed.
    pub targets: Option<ClassTargets>,
}

/// State of a class table at an offset.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassSnapshot {
    /// Next offset to apply. The state covers all records below it.
    pub next_offset: LogOffset,
    /// All classes, including removed ones.
    pub entries: IndexMap<ClassName, ClassEntry>,
    /// Ids of recently applied changes, oldest first.
    pub recent: IndexSet<ChangeId>,
}

/// Current classes, built from the log of changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassTable {
    state: ClassSnapshot,
}

impl ClassTable {
    /// Applies the change at `offset`.
    ///
    /// # Errors
    ///
    /// Returns an error and leaves the table unchanged if `offset` is not the next one.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        change: &ClassChange,
    ) -> Result<ChangeVerdict, ApplyError> {
        self.advance(offset)?;
        if self.state.recent.contains(&change.id) {
            return Ok(ChangeVerdict::Repeated);
        }
        self.record_id(change.id);
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

    /// Advances past a record that is not a change.
    ///
    /// # Errors
    ///
    /// Returns an error and leaves the table unchanged if `offset` is not the next one.
    pub fn advance(&mut self, offset: LogOffset) -> Result<(), ApplyError> {
        let expected = self.state.next_offset;
        if offset < expected {
            return Err(ApplyError::AlreadyApplied(offset));
        }
        if offset > expected {
            return Err(ApplyError::OffsetGap {
                expected,
                found: offset,
            });
        }
        self.state.next_offset = LogOffset::new(offset.get() + 1);
        Ok(())
    }

    /// Replaces the state with `snapshot` if it is newer. Returns whether it was replaced.
    ///
    /// The caller must ensure that all records from the next offset of the snapshot on are still retained, or that the
    /// snapshot is the table of a peer that follows the same log.
    pub fn restore(&mut self, snapshot: ClassSnapshot) -> bool {
        if snapshot.next_offset <= self.state.next_offset {
            return false;
        }
        self.state = snapshot;
        true
    }

    /// Returns the state, to be written as a snapshot or sent to a peer.
    pub fn snapshot(&self) -> &ClassSnapshot {
        &self.state
    }

    /// Returns the next offset to apply.
    pub fn next_offset(&self) -> LogOffset {
        self.state.next_offset
    }

    /// Returns the version and targets of a class, or `None` if it does not exist.
    pub fn get(&self, name: &ClassName) -> Option<(ClassVersion, ClassTargets)> {
        let entry = self.state.entries.get(name)?;
        Some((entry.version, entry.targets?))
    }

    /// Returns the version of a class, or 0 if it never existed.
    pub fn version_of(&self, name: &ClassName) -> ClassVersion {
        self.state
            .entries
            .get(name)
            .map_or(ClassVersion::default(), |entry| entry.version)
    }

    /// Iterates over the existing classes.
    pub fn iter(&self) -> impl Iterator<Item = (&ClassName, ClassVersion, ClassTargets)> {
        self.state
            .entries
            .iter()
            .filter_map(|(name, entry)| Some((name, entry.version, entry.targets?)))
    }

    fn record_id(&mut self, id: ChangeId) {
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
