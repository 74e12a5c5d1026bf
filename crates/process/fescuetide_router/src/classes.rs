//! The class table of the control thread: folded from the log, or taken from a peer.

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
use crate::class_log::ClassNews;
use crate::class_log::ClassOrder;

/// State of the class log as the router last saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LogState {
    /// Nothing was read yet.
    Unread,
    /// The last read worked and left the reader here.
    Read(FollowPosition),
    /// The last read failed.
    Failed,
}

/// The class table with what decides on reading, on snapshots and on asking peers.
pub(crate) struct ClassControl {
    follower: ClassFollower,
    schedule: SnapshotSchedule,
    orders: Sender<ClassOrder>,
    log: LogState,
    complete: bool,
    published: LogOffset,
    peer_offset: LogOffset,
    pulled_offset: LogOffset,
}

impl ClassControl {
    pub(crate) fn new(shared: &RouterShared, orders: Sender<ClassOrder>) -> Self {
        let settings = SnapshotSettings {
            record_limit: shared.settings.snapshot_records,
            interval: SpanMillis::new(shared.settings.snapshot_interval_ms),
            jitter: SpanMillis::new(shared.settings.snapshot_jitter_ms),
        };
        Self {
            follower: ClassFollower::default(),
            schedule: SnapshotSchedule::new(settings, ClockMillis::now()),
            orders,
            log: LogState::Unread,
            complete: false,
            published: LogOffset::default(),
            peer_offset: LogOffset::default(),
            pulled_offset: LogOffset::default(),
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

    /// Whether the table holds all records up to some end of the log, so that it may serve requests and peers.
    pub(crate) fn is_complete(&self) -> bool {
        self.complete
    }

    /// The table to publish, empty until it is complete. An offset below the one published last counts as a
    /// violation and publishes nothing.
    pub(crate) fn publish(&mut self, shared: &RouterShared) -> Option<ClassTable> {
        if !self.complete {
            return Some(ClassTable::default());
        }
        let offset = self.next_offset();
        if offset < self.published {
            shared.metrics.count("classes.offset_violation");
            tracing::error!(%offset, published = %self.published, "class offset fell; the older table is not used");
            return None;
        }
        self.published = offset;
        shared.metrics.gauge("classes.offset", offset.get());
        Some(self.follower.table().clone())
    }

    /// Takes in news from the class log. Returns whether the table to publish changed.
    pub(crate) fn take_news(&mut self, shared: &RouterShared, news: ClassNews) -> bool {
        match news {
            ClassNews::Page(page) => self.take_page(shared, &page),
            ClassNews::ReadFailed => {
                self.set_log(shared, LogState::Failed);
                false
            }
        }
    }

    fn take_page(&mut self, shared: &RouterShared, page: &StreamPage) -> bool {
        let report = self.follower.fold(page);
        for (_, change, verdict) in &report.verdicts {
            log_verdict(change, verdict);
        }
        self.set_log(shared, LogState::Read(report.position));
        let was_complete = self.complete;
        self.complete |= report.position == FollowPosition::Current;
        let offset = self.follower.read_offset();
        let order = match report.position {
            FollowPosition::Behind => ClassOrder::Pull(offset),
            FollowPosition::Current | FollowPosition::Gap | FollowPosition::Regressed => {
                ClassOrder::Follow(offset)
            }
        };
        self.send(order);
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
                tracing::warn!(%offset, "class log does not answer; classes stay in force")
            }
            LogState::Read(FollowPosition::Gap) => {
                tracing::warn!(%offset, "class log has a gap after the router's offset");
            }
            LogState::Read(FollowPosition::Regressed) => {
                tracing::error!(%offset, "class log ends below the router's offset: it has lost records");
            }
            LogState::Read(FollowPosition::Current) => {
                tracing::info!(%offset, "class log is followed");
            }
            LogState::Read(FollowPosition::Behind) | LogState::Unread => {}
        }
        self.log = state;
    }

    /// Takes note of a peer's offset and reads the log when it is higher than the own one.
    pub(crate) fn note_peer_offset(&mut self, offset: u64) {
        let offset = LogOffset::new(offset);
        self.peer_offset = self.peer_offset.max(offset);
        if offset > self.next_offset() && offset > self.pulled_offset {
            self.pulled_offset = offset;
            self.send(ClassOrder::Pull(self.follower.read_offset()));
        }
    }

    /// Whether the table should come from a peer, since the log cannot provide it.
    pub(crate) fn wants_peer_table(&self) -> bool {
        let is_behind = self.peer_offset > self.next_offset();
        match self.log {
            LogState::Unread | LogState::Read(FollowPosition::Behind) => false,
            LogState::Read(FollowPosition::Gap) => true,
            LogState::Failed => !self.complete || is_behind,
            // A log that ends below a peer's offset has lost records.
            LogState::Read(FollowPosition::Current | FollowPosition::Regressed) => is_behind,
        }
    }

    /// Takes over a peer's table when it is newer. Returns whether the table to publish changed.
    pub(crate) fn restore_from_peer(
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
        self.send(ClassOrder::Pull(self.follower.read_offset()));
        true
    }

    /// Appends a snapshot when one is due.
    pub(crate) fn write_snapshot(&mut self, shared: &RouterShared, now: ClockMillis) {
        if self.log != LogState::Read(FollowPosition::Current) {
            return;
        }
        let random = StableHash::new()
            .field(shared.settings.vm.as_str().as_bytes())
            .field(&self.next_offset().get().to_le_bytes())
            .finish();
        if self.schedule.should_write(&self.follower, random, now) {
            self.send(ClassOrder::Append(self.snapshot().clone()));
        }
    }

    fn send(&self, order: ClassOrder) {
        // The class-log thread ends only with the process.
        let _ = self.orders.send(order);
    }
}

fn log_verdict(change: &ClassChange, verdict: &ChangeVerdict) {
    match verdict {
        ChangeVerdict::Accepted(version) => {
            tracing::info!(class = %change.class, %version, "class is in force");
        }
        ChangeVerdict::Rejected(findings) => {
            tracing::info!(class = %change.class, change = %change.id, %findings, "change is rejected");
        }
        ChangeVerdict::Repeated => {}
    }
}
