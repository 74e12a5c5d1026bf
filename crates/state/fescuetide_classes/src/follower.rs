//! Reader of the class stream that folds pages of records and restores snapshots.

use fescuetide_base::LogOffset;

use crate::ChangeVerdict;
use crate::ClassChange;
use crate::ClassSnapshot;
use crate::ClassTable;

/// One record of the class stream.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamEntry {
    /// A change of a class.
    Change(ClassChange),
    /// A snapshot of the class table.
    Snapshot(ClassSnapshot),
    /// A record that cannot be decoded. It has no effect.
    Unreadable,
}

/// Result of one read of the class stream.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamPage {
    /// Requested start offset.
    pub requested: LogOffset,
    /// Oldest retained offset.
    pub first: LogOffset,
    /// Offset of the next append.
    pub next: LogOffset,
    /// Records from the requested offset on, in order.
    pub entries: Vec<(LogOffset, StreamEntry)>,
}

/// State of a reader relative to the stream after folding a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowPosition {
    /// All records of the stream are folded.
    Current,
    /// More records are available.
    Behind,
    /// Records that the reader needs have expired, and no usable snapshot covers them.
    Gap,
    /// The stream ends before the reader's offset. This never happens with an append-only log, so it has lost records.
    Regressed,
}

/// Result of folding a page.
#[derive(Clone, Debug, PartialEq)]
pub struct FollowReport {
    /// State of the reader relative to the stream.
    pub position: FollowPosition,
    /// Whether the offset of the table advanced.
    pub moved: bool,
    /// Folded changes with their offsets and verdicts.
    pub verdicts: Vec<(LogOffset, ClassChange, ChangeVerdict)>,
}

/// Follows the class stream and maintains the table folded from it.
#[derive(Clone, Debug, Default)]
pub struct ClassFollower {
    table: ClassTable,
    /// Offset at which the search for a snapshot continues. `None` if no records are missing.
    scan: Option<LogOffset>,
    first: LogOffset,
    next: LogOffset,
    complete: Option<LogOffset>,
    from_oldest: bool,
}

impl ClassFollower {
    /// Creates a reader that starts from the oldest usable snapshot instead of the newest. It folds as many changes as
    /// possible, for tools that show the history of changes.
    pub fn from_oldest() -> Self {
        Self {
            from_oldest: true,
            ..Self::default()
        }
    }

    /// Returns the folded table.
    pub fn table(&self) -> &ClassTable {
        &self.table
    }

    /// Returns the offset at which the next read must start.
    pub fn read_offset(&self) -> LogOffset {
        self.scan.unwrap_or_else(|| self.table.next_offset())
    }

    /// Returns the oldest retained offset as of the last page.
    pub fn first_offset(&self) -> LogOffset {
        self.first
    }

    /// Returns whether all records up to the last known end of the stream are folded.
    pub fn is_current(&self) -> bool {
        self.scan.is_none() && self.table.next_offset() >= self.next
    }

    /// Returns the offset of the newest complete snapshot seen. A complete snapshot covers all records before itself,
    /// so it remains usable for as long as it is retained.
    pub fn complete_offset(&self) -> Option<LogOffset> {
        self.complete
    }

    /// Replaces the table with that of a peer if the latter is newer. Returns whether it was replaced.
    pub fn restore_from_peer(&mut self, snapshot: ClassSnapshot) -> bool {
        if !self.table.restore(snapshot) {
            return false;
        }
        self.scan = None;
        true
    }

    /// Folds a page of records into the table.
    pub fn fold(&mut self, page: &StreamPage) -> FollowReport {
        let before = self.table.next_offset();
        let mut verdicts = Vec::new();
        let position = self.fold_page(page, &mut verdicts);
        FollowReport {
            position,
            moved: self.table.next_offset() > before,
            verdicts,
        }
    }

    fn fold_page(
        &mut self,
        page: &StreamPage,
        verdicts: &mut Vec<(LogOffset, ClassChange, ChangeVerdict)>,
    ) -> FollowPosition {
        let offset = self.table.next_offset();
        if page.next < offset {
            if self.scan.is_none() && page.requested < offset {
                // This page was requested before the table was replaced with that of a peer.
                return FollowPosition::Behind;
            }
            return FollowPosition::Regressed;
        }
        self.first = page.first;
        self.next = page.next;
        if offset < page.first && !self.restore_snapshot(page) {
            return self.continue_scan(page);
        }
        self.scan = None;
        self.fold_entries(page, verdicts);
        if self.is_current() {
            FollowPosition::Current
        } else {
            FollowPosition::Behind
        }
    }

    fn fold_entries(
        &mut self,
        page: &StreamPage,
        verdicts: &mut Vec<(LogOffset, ClassChange, ChangeVerdict)>,
    ) {
        for (offset, entry) in &page.entries {
            if *offset < self.table.next_offset() {
                continue;
            }
            let folded = match entry {
                StreamEntry::Change(change) => self.table.apply(*offset, change).map(|verdict| {
                    verdicts.push((*offset, change.clone(), verdict));
                }),
                StreamEntry::Snapshot(snapshot) => {
                    self.note_complete(*offset, snapshot);
                    self.table.advance(*offset)
                }
                StreamEntry::Unreadable => self.table.advance(*offset),
            };
            if folded.is_err() {
                // The page lacks a record. The next read starts at its offset.
                return;
            }
        }
    }

    /// Restores the newest usable snapshot of the page, or the oldest one with `from_oldest`. Returns whether there was
    /// one.
    fn restore_snapshot(&mut self, page: &StreamPage) -> bool {
        let mut chosen: Option<&ClassSnapshot> = None;
        for (offset, entry) in &page.entries {
            let StreamEntry::Snapshot(snapshot) = entry else {
                continue;
            };
            if !is_usable(snapshot, *offset, page.first) {
                continue;
            }
            self.note_complete(*offset, snapshot);
            let is_newer = chosen.is_some_and(|chosen| chosen.next_offset < snapshot.next_offset);
            if chosen.is_none() || is_newer != self.from_oldest {
                chosen = Some(snapshot);
            }
        }
        match chosen {
            Some(snapshot) => self.table.restore(snapshot.clone()),
            None => false,
        }
    }

    fn continue_scan(&mut self, page: &StreamPage) -> FollowPosition {
        let scanned = match page.entries.last() {
            Some((last, _)) => LogOffset::new(last.get() + 1),
            None => page.first,
        };
        if scanned >= page.next {
            // The stream has no usable snapshot yet, so the search starts over.
            self.scan = Some(page.first);
            return FollowPosition::Gap;
        }
        self.scan = Some(scanned);
        FollowPosition::Behind
    }

    fn note_complete(&mut self, offset: LogOffset, snapshot: &ClassSnapshot) {
        if snapshot.next_offset == offset {
            self.complete = self.complete.max(Some(offset));
        }
    }
}

/// Returns whether a snapshot is usable, that is, whether all records after those it covers are still retained.
fn is_usable(snapshot: &ClassSnapshot, offset: LogOffset, first: LogOffset) -> bool {
    snapshot.next_offset >= first && snapshot.next_offset <= offset
}
