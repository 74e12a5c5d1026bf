//! The class table of the control thread, built from the class log or copied from a peer.
//!
//! A class sets the service objectives of its requests: what share may be late, lost or duplicated, and whether a
//! request may run again. Operators publish changes to the class log, which is the class stream of the log service.

use crossbeam::channel::Sender;
use fescuetide_base::ClockMillis;
use fescuetide_base::LogOffset;
use fescuetide_base::SpanMillis;
use fescuetide_base::StableHash;
use fescuetide_classes::ChangeVerdict;
use fescuetide_classes::ClassChange;
use fescuetide_classes::ClassFollower;
use fescuetide_classes::ClassSnapshot;
use fescuetide_classes::ClassTable;
use fescuetide_classes::FollowPosition;
use fescuetide_classes::SnapshotSchedule;
use fescuetide_classes::SnapshotSettings;
use fescuetide_classes::StreamPage;

use crate::RouterShared;
use crate::class_log::ClassLogCommand;
use crate::class_log::ClassLogEvent;

/// Result of the latest read of the class log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LogState {
    /// No read has finished yet.
    Unread,
    /// The last read succeeded and left the follower at this position.
    Read(FollowPosition),
    /// The last read failed.
    Failed,
}

/// Owns the class table and decides when to read the log, write snapshots and query peers.
pub(crate) struct ClassControl {
    follower: ClassFollower,
    schedule: SnapshotSchedule,
    commands: Sender<ClassLogCommand>,
    log: LogState,
    complete: bool,
    /// Offset of the last published table.
    published_offset: LogOffset,
    /// Highest offset reported by a peer.
    peer_offset: LogOffset,
    /// Highest peer offset for which an immediate read was requested.
    requested_offset: LogOffset,
}

impl ClassControl {
    pub(crate) fn new(shared: &RouterShared, commands: Sender<ClassLogCommand>) -> Self {
        let settings = SnapshotSettings {
            record_limit: shared.settings.snapshot_records,
            interval: SpanMillis::new(shared.settings.snapshot_interval_ms),
            jitter: SpanMillis::new(shared.settings.snapshot_jitter_ms),
        };
        Self {
            follower: ClassFollower::default(),
            schedule: SnapshotSchedule::new(settings, ClockMillis::now()),
            commands,
            log: LogState::Unread,
            complete: false,
            published_offset: LogOffset::default(),
            peer_offset: LogOffset::default(),
            requested_offset: LogOffset::default(),
        }
    }

    pub(crate) fn next_offset(&self) -> LogOffset {
        self.follower.table().next_offset()
    }

    pub(crate) fn table(&self) -> &ClassTable {
        self.follower.table()
    }

    pub(crate) fn snapshot(&self) -> &ClassSnapshot {
        self.follower.table().snapshot()
    }

    /// Returns whether the table has reached the end of the log once, so that it may serve requests and peers.
    pub(crate) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns the table to publish, which is empty until it is complete. Returns `None` and counts a violation if its
    /// offset is below the last published one.
    pub(crate) fn publish(&mut self, shared: &RouterShared) -> Option<ClassTable> {
        if !self.complete {
            return Some(ClassTable::default());
        }
        let offset = self.next_offset();
        if offset < self.published_offset {
            shared.metrics.count("classes.offset_violation");
            tracing::error!(%offset, published = %self.published_offset, "class offset fell; the older table is not used");
            return None;
        }
        self.published_offset = offset;
        shared.metrics.gauge("classes.offset", offset.get());
        Some(self.follower.table().clone())
    }

    /// Handles an event from the class log. Returns whether the published table must be updated.
    pub(crate) fn handle_event(&mut self, shared: &RouterShared, event: ClassLogEvent) -> bool {
        match event {
            ClassLogEvent::Page(page) => self.apply_page(shared, &page),
            ClassLogEvent::ReadFailed => {
                self.set_log(shared, LogState::Failed);
                false
            }
        }
    }

    fn apply_page(&mut self, shared: &RouterShared, page: &StreamPage) -> bool {
        let report = self.follower.fold(page);
        for (_, change, verdict) in &report.verdicts {
            log_change_verdict(change, verdict);
        }
        self.set_log(shared, LogState::Read(report.position));
        let was_complete = self.complete;
        self.complete |= report.position == FollowPosition::Current;
        let offset = self.follower.read_offset();
        let command = match report.position {
            FollowPosition::Behind => ClassLogCommand::ReadNow(offset),
            FollowPosition::Current | FollowPosition::Gap | FollowPosition::Regressed => {
                ClassLogCommand::ReadAtInterval(offset)
            }
        };
        self.send(command);
        self.complete && (report.moved || !was_complete)
    }

    fn set_log(&mut self, shared: &RouterShared, state: LogState) {
        if state == LogState::Read(FollowPosition::Regressed) {
            shared.metrics.count("class_log.regressed");
        }
        if state == LogState::Read(FollowPosition::Gap) {
            shared.metrics.count("class_log.gap");
        }
        if self.log == state {
            return;
        }
        let offset = self.next_offset();
        match state {
            LogState::Failed => {
                tracing::warn!(%offset, "reading the class log failed; the last known classes remain in use")
            }
            LogState::Read(FollowPosition::Gap) => {
                tracing::warn!(%offset, "class log has a gap after the router's offset");
            }
            LogState::Read(FollowPosition::Regressed) => {
                tracing::error!(%offset, "class log ends below the router's offset: it has lost records");
            }
            LogState::Read(FollowPosition::Current) => {
                tracing::info!(%offset, "class log is read up to its end");
            }
            LogState::Read(FollowPosition::Behind) | LogState::Unread => {}
        }
        self.log = state;
    }

    /// Records the class offset of a peer and reads the log immediately if the peer is ahead.
    pub(crate) fn observe_peer_offset(&mut self, offset: u64) {
        let offset = LogOffset::new(offset);
        self.peer_offset = self.peer_offset.max(offset);
        if offset > self.next_offset() && offset > self.requested_offset {
            self.requested_offset = offset;
            self.send(ClassLogCommand::ReadNow(self.follower.read_offset()));
        }
    }

    /// Returns whether the table should be copied from a peer because the log cannot provide it.
    pub(crate) fn needs_peer_table(&self) -> bool {
        let is_behind = self.peer_offset > self.next_offset();
        match self.log {
            LogState::Unread | LogState::Read(FollowPosition::Behind) => false,
            LogState::Read(FollowPosition::Gap) => true,
            LogState::Failed => !self.complete || is_behind,
            // A log that ends before the offset of a peer has lost records.
            LogState::Read(FollowPosition::Current | FollowPosition::Regressed) => is_behind,
        }
    }

    /// Replaces the table with a peer's if that is newer. Returns whether the published table must be updated.
    pub(crate) fn adopt_peer_snapshot(
        &mut self,
        shared: &RouterShared,
        snapshot: ClassSnapshot,
    ) -> bool {
        if !self.follower.restore_from_peer(snapshot) {
            return false;
        }
        self.complete = true;
        shared.metrics.count("classes.taken_from_peer");
        tracing::info!(offset = %self.next_offset(), "class table is taken from a peer");
        self.send(ClassLogCommand::ReadNow(self.follower.read_offset()));
        true
    }

    /// Requests a snapshot of the table if one is due.
    pub(crate) fn write_snapshot(&mut self, shared: &RouterShared, now: ClockMillis) {
        if self.log != LogState::Read(FollowPosition::Current) {
            return;
        }
        let random = StableHash::new()
            .field(shared.settings.vm.as_str().as_bytes())
            .field(&self.next_offset().get().to_le_bytes())
            .finish();
        if self.schedule.should_write(&self.follower, random, now) {
            self.send(ClassLogCommand::Append(self.snapshot().clone()));
        }
    }

    fn send(&self, command: ClassLogCommand) {
        // Cannot fail: the class-log thread runs as long as the process.
        let _ = self.commands.send(command);
    }
}

fn log_change_verdict(change: &ClassChange, verdict: &ChangeVerdict) {
    match verdict {
        ChangeVerdict::Accepted(version) => {
            tracing::info!(class = %change.class, %version, "class change is applied");
        }
        ChangeVerdict::Rejected(findings) => {
            tracing::info!(class = %change.class, change = %change.id, %findings, "change is rejected");
        }
        ChangeVerdict::Repeated => {}
    }
}
