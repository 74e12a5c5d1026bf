//! Tests of eras of the log, and of the table of upstreams when the log has come back from an older copy.

use fescuetide_base::ClockMillis;
use fescuetide_base::LogEra;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_fleet::EraDefect;
use fescuetide_fleet::EraTracker;
use fescuetide_fleet::EraVerdict;
use fescuetide_fleet::SoftwareVersion;
use fescuetide_fleet::UpstreamChange;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_fleet::UpstreamState;
use fescuetide_fleet::UpstreamTable;

/// Time by which an entry of the copy counts if the upstream does not write it again.
const GRACE: SpanMillis = SpanMillis::new(5_000);

const NOW: ClockMillis = ClockMillis::new(1_000_000);

fn entry(incarnation: u64, state: UpstreamState) -> UpstreamEntry {
    UpstreamEntry {
        name: "vm".parse().unwrap(),
        incarnation: ProcessIncarnation::new(incarnation),
        pool: "engines".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        version: SoftwareVersion::default(),
        slots: 4,
        state,
    }
}

/// A table that knows one upstream, and restores a copy with another entry of it.
fn restore(known: UpstreamEntry, copied: UpstreamEntry) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    table.apply(UpstreamChange::Written(known), false, NOW);
    table.restore(vec![copied], NOW);
    table
}

fn known(table: &UpstreamTable) -> Vec<UpstreamEntry> {
    table.iter().cloned().collect()
}

/// Guards against an upstream that stays excluded because the copy is the truth: it was started again from an older state.
#[test]
fn older_entry_counts_when_it_is_not_contradicted_in_time() {
    let (leaving, ready) = (
        entry(1, UpstreamState::Leaving),
        entry(1, UpstreamState::Ready),
    );
    let mut table = restore(leaving.clone(), ready.clone());
    table.expire(NOW + SpanMillis::new(GRACE.as_millis() - 1));
    assert_eq!(known(&table), [leaving]);
    table.expire(NOW + GRACE);
    assert_eq!(known(&table), [ready]);
}

/// Guards against an older entry that counts although the upstream has written its state since, or the log has removed it.
#[test]
fn older_entry_does_not_count_once_the_upstream_has_written_again() {
    let (leaving, ready) = (
        entry(1, UpstreamState::Leaving),
        entry(1, UpstreamState::Ready),
    );
    let mut table = restore(leaving.clone(), ready.clone());
    table.apply(UpstreamChange::Written(leaving.clone()), false, NOW);
    table.expire(NOW + GRACE);
    assert_eq!(known(&table), std::slice::from_ref(&leaving));
    let mut table = restore(leaving, ready.clone());
    table.apply(UpstreamChange::Removed(ready.name), false, NOW);
    table.expire(NOW + GRACE);
    assert_eq!(known(&table), []);
}

/// Guards against an upstream that counts as restarted because the copy has its incarnation before, and against a newer
/// incarnation that is ignored.
#[test]
fn incarnations_do_not_go_back() {
    let (first, second) = (
        entry(1, UpstreamState::Ready),
        entry(2, UpstreamState::Ready),
    );
    let kept = known(&restore(second.clone(), first.clone()));
    assert_eq!(kept, std::slice::from_ref(&second));
    assert_eq!(known(&restore(first, second.clone())), [second]);
}

/// Guards against upstreams that are dropped because of a second restore while they write their entries again.
#[test]
fn second_restore_extends_the_time_for_missing_entries() {
    let mut table = UpstreamTable::default();
    let ready = entry(1, UpstreamState::Ready);
    table.apply(UpstreamChange::Written(ready.clone()), false, NOW);
    table.restore(Vec::new(), NOW);
    let second = NOW + SpanMillis::new(1_500);
    table.restore(Vec::new(), second);
    table.expire(second + SpanMillis::new(1_500));
    assert_eq!(known(&table), [ready]);
    table.expire(second + SpanMillis::new(2_000));
    assert_eq!(known(&table), []);
}

/// Guards against eras that are missing, malformed or fall and are taken for a valid position, and against a reader that lists
/// anew for ever because of them.
#[test]
fn defects_of_an_era_are_doubtful_once() {
    let mut tracker = EraTracker::default();
    assert_eq!(tracker.note(Some("7")), EraVerdict::Unchanged);
    let fallen = EraDefect::Fallen(LogEra::new(3));
    let defects = [
        (None, EraDefect::Missing),
        (Some(""), EraDefect::Malformed),
        (Some("3"), fallen),
        (Some("-1"), EraDefect::Malformed),
    ];
    for (field, defect) in defects {
        assert_eq!(tracker.note(field), EraVerdict::Doubtful(defect));
        assert_eq!(tracker.note(field), EraVerdict::Unchanged);
    }
    assert_eq!(tracker.note(Some("7")), EraVerdict::Unchanged);
    let (before, after) = (Some(LogEra::new(7)), LogEra::new(8));
    let restored = EraVerdict::Restored { before, after };
    assert_eq!(tracker.note(Some(" 8 ")), restored);
}

/// Guards against a log without eras whose readers list anew, and against eras that begin in the middle.
#[test]
fn log_without_eras_never_changes_them() {
    let mut tracker = EraTracker::default();
    for _ in 0..3 {
        assert_eq!(tracker.note(None), EraVerdict::Unchanged);
    }
    let (before, after) = (None, LogEra::new(1));
    assert_eq!(
        tracker.note(Some("1")),
        EraVerdict::Restored { before, after }
    );
}
