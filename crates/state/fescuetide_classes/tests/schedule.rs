//! Tests of snapshot scheduling.

use fescuetide_base::prelude::*;
use fescuetide_classes::SnapshotSchedule;
use fescuetide_classes::SnapshotSettings;
use fescuetide_classes::StreamEntry;
use fescuetide_classes::StreamPage;
use fescuetide_classes::prelude::*;

fn settings() -> SnapshotSettings {
    SnapshotSettings {
        record_limit: 4,
        interval: SpanMillis::new(60_000),
        jitter: SpanMillis::new(0),
    }
}

fn fold(follower: &mut ClassFollower, first: u64, entries: Vec<StreamEntry>) {
    let requested = follower.read_offset();
    let next = LogOffset::new(requested.get() + entries.len() as u64);
    let mut page = StreamPage {
        requested,
        first: LogOffset::new(first),
        next,
        entries: Vec::new(),
    };
    for (index, entry) in entries.into_iter().enumerate() {
        page.entries
            .push((LogOffset::new(requested.get() + index as u64), entry));
    }
    follower.fold(&page);
}

/// Guards against relying on a snapshot before which a change was appended after its capture: it becomes unusable as
/// soon as the change expires.
#[test]
fn incomplete_snapshot_is_written_again() {
    let mut follower = ClassFollower::default();
    let start = ClockMillis::new(0);
    let mut schedule = SnapshotSchedule::new(settings(), start);
    fold(&mut follower, 0, vec![StreamEntry::Unreadable; 3]);
    assert!(!schedule.should_write(&follower, 0, start));
    fold(&mut follower, 0, vec![StreamEntry::Unreadable; 1]);
    assert!(schedule.should_write(&follower, 0, start));
    let captured = follower.table().snapshot().clone();
    let incomplete = vec![StreamEntry::Unreadable, StreamEntry::Snapshot(captured)];
    fold(&mut follower, 0, incomplete);
    assert!(!schedule.should_write(&follower, 0, start));
    let later = start + SpanMillis::new(2_000);
    assert!(schedule.should_write(&follower, 0, later));
    let complete = StreamEntry::Snapshot(follower.table().snapshot().clone());
    fold(&mut follower, 0, vec![complete]);
    assert!(!schedule.should_write(&follower, 0, later + SpanMillis::new(10_000)));
}

/// Guards against the newest snapshot expiring when nothing changes for longer than the retention of the log.
#[test]
fn snapshot_is_renewed_by_age() {
    let mut follower = ClassFollower::default();
    let mut schedule = SnapshotSchedule::new(settings(), ClockMillis::new(0));
    fold(&mut follower, 0, vec![StreamEntry::Unreadable]);
    let complete = StreamEntry::Snapshot(follower.table().snapshot().clone());
    fold(&mut follower, 0, vec![complete]);
    assert!(!schedule.should_write(&follower, 0, ClockMillis::new(59_000)));
    assert!(!schedule.should_write(&follower, 0, ClockMillis::new(118_000)));
    assert!(schedule.should_write(&follower, 0, ClockMillis::new(119_000)));
}

/// Guards against a log without a usable snapshot, from which a new reader cannot start.
#[test]
fn expired_snapshot_is_replaced_at_once() {
    let mut follower = ClassFollower::default();
    let mut schedule = SnapshotSchedule::new(settings(), ClockMillis::new(0));
    fold(&mut follower, 0, vec![StreamEntry::Unreadable; 2]);
    assert!(!schedule.should_write(&follower, 0, ClockMillis::new(0)));
    fold(&mut follower, 2, Vec::new());
    assert!(schedule.should_write(&follower, 0, ClockMillis::new(0)));
}

/// Guards against replacing a snapshot only after it has expired, which leaves new readers without one in the meantime.
#[test]
fn snapshot_is_replaced_before_it_expires() {
    let mut follower = ClassFollower::default();
    let now = ClockMillis::new(0);
    let mut schedule = SnapshotSchedule::new(settings(), now);
    fold(&mut follower, 0, vec![StreamEntry::Unreadable; 2]);
    let complete = StreamEntry::Snapshot(follower.table().snapshot().clone());
    fold(&mut follower, 1, vec![complete, StreamEntry::Unreadable]);
    assert!(!schedule.should_write(&follower, 0, now));
    fold(&mut follower, 2, vec![StreamEntry::Unreadable]);
    assert!(schedule.should_write(&follower, 0, now));
}
