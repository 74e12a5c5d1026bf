//! A reader of the class stream: folds pages of records and starts from snapshots.

use fescuetide_base::LogOffset;

use crate::ChangeVerdict;
use crate::ClassChange;
use crate::ClassSnapshot;
use crate::ClassTable;

/// One record of the class stream.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamEntry {
    /// A change.
    Change(ClassChange),
    /// The state up to an offset.
    Snapshot(ClassSnapshot),
    /// A record that cannot be read and has no effect.
    Unreadable,
}

/// What one read of the class stream returned.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamPage {
    /// The offset that the read started from.
    pub asked: LogOffset,
    /// The oldest offset that can still be read.
    pub first: LogOffset,
    /// The offset of the next append.
    pub next: LogOffset,
    /// Records from the asked offset on, in order.
    pub entries: Vec<(LogOffset, StreamEntry)>,
}

/// Where a reader stands after a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowPosition {
    /// All records of the stream are folded.
    Current,
    /// More records can be read.
    Behind,
    /// Records that the reader needs have expired, and no snapshot replaces them.
    Gap,
    /// The stream ends below the reader's offset. An append-only log never does this, so it has lost records.
    Regressed,
}

/// What folding a page led to.
#[derive(Clone, Debug, PartialEq)]
pub struct FollowReport {
    /// Where the reader stands.
    pub position: FollowPosition,
    /// Whether the table's offset rose.
    pub moved: bool,
    /// The folded changes with their offsets and verdicts.
    pub verdicts: Vec<(LogOffset, ClassChange, ChangeVerdict)>,
}

/// Follows the class stream and holds the table folded from it.
#[derive(Clone, Debug, Default)]
pub struct ClassFollower {
    table: ClassTable,
    /// Where the search for a snapshot goes on, while records are missing.
    scan: Option<LogOffset>,
    first: LogOffset,
    next: LogOffset,
    sealed: Option<LogOffset>,
    from_oldest: bool,
}

impl ClassFollower {
    /// A reader that starts from the oldest snapshot that counts instead of the newest, and so folds as many changes
    /// as it can.
    pub fn from_oldest() -> Self {
        Self {
            from_oldest: true,
            ..Self::default()
        }
    }

    /// The table.
    pub fn table(&self) -> &ClassTable {
        &self.table
    }

    /// The offset that the next read starts from.
    pub fn read_offset(&self) -> LogOffset {
        self.scan.unwrap_or_else(|| self.table.next_offset())
    }

    /// The oldest offset that could be read at the last page.
    pub fn first_offset(&self) -> LogOffset {
        self.first
    }

    /// Whether every record known of is folded.
    pub fn is_current(&self) -> bool {
        self.scan.is_none() && self.table.next_offset() >= self.next
    }

    /// The offset of the newest sealed snapshot seen: one that covers all records before itself, so that it counts
    /// for as long as it can be read.
    pub fn sealed_offset(&self) -> Option<LogOffset> {
        self.sealed
    }

    /// Takes over the table of a peer when it is newer. Returns whether it did.
    pub fn take_peer(&mut self, snapshot: ClassSnapshot) -> bool {
        if !self.table.restore(snapshot) {
            return false;
        }
        self.scan = None;
        true
    }

    /// Folds a page.
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
            if self.scan.is_none() && page.asked < offset {
                // The page was read before the table of a peer was taken over.
                return FollowPosition::Behind;
            }
            return FollowPosition::Regressed;
        }
        self.first = page.first;
        self.next = page.next;
        if offset < page.first && !self.restore_snapshot(page) {
            return self.scan_on(page);
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
                    self.note_sealed(*offset, snapshot);
                    self.table.advance(*offset)
                }
                StreamEntry::Unreadable => self.table.advance(*offset),
            };
            if folded.is_err() {
                // A record is missing from the page; the next read starts at it.
                return;
            }
        }
    }

    /// Takes over the newest snapshot of the page that counts, or the oldest one. Returns whether there was one.
    fn restore_snapshot(&mut self, page: &StreamPage) -> bool {
        let mut chosen: Option<&ClassSnapshot> = None;
        for (offset, entry) in &page.entries {
            let StreamEntry::Snapshot(snapshot) = entry else {
                continue;
            };
            if !is_chained(snapshot, *offset, page.first) {
                continue;
            }
            self.note_sealed(*offset, snapshot);
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

    fn scan_on(&mut self, page: &StreamPage) -> FollowPosition {
        let scanned = match page.entries.last() {
            Some((last, _)) => LogOffset::new(last.get() + 1),
            None => page.first,
        };
        if scanned >= page.next {
            // The stream has no snapshot that counts yet; the next search starts over.
            self.scan = Some(page.first);
            return FollowPosition::Gap;
        }
        self.scan = Some(scanned);
        FollowPosition::Behind
    }

    fn note_sealed(&mut self, offset: LogOffset, snapshot: &ClassSnapshot) {
        if snapshot.next_offset == offset {
            self.sealed = self.sealed.max(Some(offset));
        }
    }
}

/// The chain rule: a snapshot counts only if every record after those it covers can still be read.
fn is_chained(snapshot: &ClassSnapshot, offset: LogOffset, first: LogOffset) -> bool {
    snapshot.next_offset >= first && snapshot.next_offset <= offset
}
