//! Scheduling of snapshot writes.

use fescuetide_base::ClockMillis;
use fescuetide_base::LogOffset;
use fescuetide_base::SpanMillis;

use crate::ClassFollower;

/// Settings of snapshot writing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotSettings {
    /// Number of records since the newest snapshot after which a new one is due.
    pub record_limit: u64,
    /// Age of the newest snapshot after which a new one is due. Must be well below the retention of the log.
    pub interval: SpanMillis,
    /// Maximum random delay of a write, so that usually only one router writes a snapshot.
    pub jitter: SpanMillis,
}

impl Default for SnapshotSettings {
    fn default() -> Self {
        Self {
            record_limit: 256,
            interval: SpanMillis::new(600_000),
            jitter: SpanMillis::new(3_000),
        }
    }
}

/// Decides when this process writes a snapshot.
///
/// The decision depends only on records read from the log. A snapshot before which another record was appended after
/// its capture does not cover all records before itself. Such a snapshot is incomplete, so another one remains due. A
/// lost append reply therefore needs no special handling.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotSchedule {
    settings: SnapshotSettings,
    /// Offset of the newest complete snapshot.
    newest: Option<LogOffset>,
    /// When the newest complete snapshot was first seen.
    newest_at: ClockMillis,
    /// When to write the snapshot that is due.
    write_at: Option<ClockMillis>,
}

impl SnapshotSchedule {
    /// Creates a schedule that starts at `now`.
    pub fn new(settings: SnapshotSettings, now: ClockMillis) -> Self {
        Self {
            settings,
            newest: None,
            newest_at: now,
            write_at: None,
        }
    }

    /// Returns whether to append a snapshot of the follower's table now and, if so, schedules a retry. `random` selects
    /// the delay within the jitter.
    pub fn should_write(
        &mut self,
        follower: &ClassFollower,
        random: u64,
        now: ClockMillis,
    ) -> bool {
        if follower.complete_offset() != self.newest {
            self.newest = follower.complete_offset();
            self.newest_at = now;
            self.write_at = None;
        }
        if !self.is_due(follower, now) {
            self.write_at = None;
            return false;
        }
        let wait = SpanMillis::new(random % (self.settings.jitter.as_millis() + 1));
        let write_at = *self.write_at.get_or_insert(now + wait);
        if now < write_at {
            return false;
        }
        // A snapshot remains due until a complete one is read back. If this one is lost or incomplete, write another
        // one after the maximum delay of all routers, the delay of this router, and 1 s.
        self.write_at = Some(now + self.settings.jitter + wait + SpanMillis::new(1_000));
        true
    }

    fn is_due(&self, follower: &ClassFollower, now: ClockMillis) -> bool {
        let next = follower.table().next_offset();
        if next.get() == 0 || !follower.is_current() {
            return false;
        }
        if now.since(self.newest_at) >= self.settings.interval {
            return true;
        }
        let first = follower.first_offset();
        match self.newest {
            Some(offset) if offset >= first => {
                let after = next.get().saturating_sub(offset.get() + 1);
                let before = offset.get() - first.get();
                // Once records expire, renew a snapshot that lies in the older half of the retained records, so that a
                // new one exists before it expires.
                after > self.settings.record_limit || (first.get() > 0 && after > before)
            }
            _ => first.get() > 0 || next.get() >= self.settings.record_limit,
        }
    }
}
