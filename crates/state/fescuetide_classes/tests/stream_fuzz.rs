//! Stateful fuzz test of class stream readers against an oracle that folds the complete history.
//!
//! `fescuetide_fuzz` describes how to run more cases and how to reproduce a run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::LazyLock;

use fescuetide_base::prelude::*;
use fescuetide_classes::FollowPosition;
use fescuetide_classes::StreamEntry;
use fescuetide_classes::StreamPage;
use fescuetide_classes::prelude::*;
use fescuetide_fuzz::fuzz_config;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

const READERS: usize = 3;
const CASE_COUNT: u32 = 400;
const SEED: u64 = 5_600;

static CONFIG: LazyLock<Config> = LazyLock::new(|| fuzz_config(CASE_COUNT, SEED));

#[derive(Clone, Debug)]
enum Step {
    /// Publishes a change based on a version that is `lag` behind. A writer that loses the reply appends it `copies`
    /// times.
    Publish {
        class: u8,
        lag: u64,
        within: u64,
        remove: bool,
        copies: u8,
    },
    /// Publishes concurrent changes that are based on the same version.
    Race {
        class: u8,
        operators: u8,
    },
    ReadPage {
        reader: usize,
        limit: usize,
    },
    CatchUp {
        reader: usize,
        limit: usize,
    },
    /// Replaces a reader's table with that of a peer while one of its reads is in flight.
    RestoreFromPeer {
        reader: usize,
        peer: usize,
    },
    Restart {
        reader: usize,
    },
    /// Captures the state of a snapshot writer that is paused before it appends the snapshot.
    Capture {
        reader: usize,
    },
    AppendCaptured,
    Expire {
        keep: u64,
    },
}

/// Complete history of the stream. A snapshot is `None`.
#[derive(Clone, Debug, Default)]
struct History {
    records: Vec<Option<ClassChange>>,
    first: usize,
}

type OracleTable = BTreeMap<String, (u64, Option<ClassTargets>)>;

impl History {
    /// Returns the offsets of the accepted changes and the table up to `end`.
    fn fold(&self, end: usize) -> (BTreeSet<usize>, OracleTable) {
        let mut table = OracleTable::new();
        let mut accepted = BTreeSet::new();
        let mut seen = BTreeSet::new();
        for (offset, record) in self.records[..end].iter().enumerate() {
            let Some(change) = record else { continue };
            if !seen.insert(change.id) {
                continue;
            }
            let name = change.class.to_string();
            let version = table.get(&name).map_or(0, |entry| entry.0);
            let targets = match change.action {
                ChangeAction::Set(targets) => Some(targets),
                ChangeAction::Remove => None,
            };
            let valid = targets.is_none_or(|targets| targets.lateness.within.as_millis() > 0);
            if valid && change.based_on.get() == version {
                table.insert(name, (version + 1, targets));
                accepted.insert(offset);
            }
        }
        (accepted, table)
    }

    fn push(&mut self, class: u8, lag: u64, action: ChangeAction) {
        let name = format!("class-{class}");
        let version = self
            .fold(self.records.len())
            .1
            .get(&name)
            .map_or(0, |entry| entry.0);
        self.records.push(Some(ClassChange {
            id: ChangeId::from_u128(self.records.len() as u128 + 1),
            class: name.parse().expect("class name"),
            based_on: ClassVersion::new(version.saturating_sub(lag)),
            action,
            author: "operator".to_owned(),
            at: ClockMillis::new(0),
        }));
    }
}

fn targets_within(millis: u64) -> ChangeAction {
    let lateness = LatenessTarget {
        within: SpanMillis::new(millis),
        ..Default::default()
    };
    ChangeAction::Set(ClassTargets {
        lateness,
        ..Default::default()
    })
}

struct HistoryMachine;

impl ReferenceStateMachine for HistoryMachine {
    type State = History;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<History> {
        Just(History::default()).boxed()
    }

    fn transitions(_: &History) -> BoxedStrategy<Step> {
        let reader = || 0..READERS;
        prop_oneof![
            4 => (0..3_u8, 0..2_u64, 0..50_u64, prop::bool::weighted(0.2), 1..3_u8).prop_map(
                |(class, lag, within, remove, copies)| Step::Publish { class, lag, within, remove, copies }),
            2 => (0..3_u8, 2..4_u8).prop_map(|(class, operators)| Step::Race { class, operators }),
            3 => (reader(), 1..4_usize).prop_map(|(reader, limit)| Step::ReadPage { reader, limit }),
            3 => (reader(), 1..9_usize).prop_map(|(reader, limit)| Step::CatchUp { reader, limit }),
            1 => (reader(), reader()).prop_map(|(reader, peer)| Step::RestoreFromPeer { reader, peer }),
            1 => reader().prop_map(|reader| Step::Restart { reader }),
            2 => reader().prop_map(|reader| Step::Capture { reader }),
            2 => Just(Step::AppendCaptured),
            1 => (0..6_u64).prop_map(|keep| Step::Expire { keep }),
        ]
        .boxed()
    }

    fn apply(mut state: History, step: &Step) -> History {
        match *step {
            Step::Publish {
                class,
                lag,
                within,
                remove,
                copies,
            } => {
                let action = if remove {
                    ChangeAction::Remove
                } else {
                    targets_within(within)
                };
                state.push(class, lag, action);
                for _ in 1..copies {
                    let repeated = state.records.last().cloned().flatten();
                    state.records.push(repeated);
                }
            }
            Step::Race { class, operators } => {
                let start = state.records.len();
                state.push(class, 0, targets_within(1));
                for operator in 1..operators {
                    let mut change = state.records[start].clone().expect("a change");
                    change.id = ChangeId::from_u128(state.records.len() as u128 + 1);
                    change.action = targets_within(1 + u64::from(operator));
                    state.records.push(Some(change));
                }
                let winners = state.fold(state.records.len()).0.split_off(&start);
                assert_eq!(winners.len(), 1, "the oracle accepts one change");
            }
            Step::AppendCaptured => state.records.push(None),
            Step::Expire { keep } => {
                let end = state.records.len();
                state.first = state.first.max(end.saturating_sub(keep as usize));
            }
            _ => {}
        }
        state
    }
}

#[derive(Default)]
struct Stream {
    entries: Vec<StreamEntry>,
    readers: [ClassFollower; READERS],
    captured: ClassSnapshot,
    highest: [u64; READERS],
}

fn read(stream: &Stream, first: usize, requested: LogOffset, limit: usize) -> StreamPage {
    let start = first
        .max(requested.get() as usize)
        .min(stream.entries.len());
    let end = stream.entries.len().min(start + limit);
    let mut entries = Vec::new();
    for offset in start..end {
        entries.push((
            LogOffset::new(offset as u64),
            stream.entries[offset].clone(),
        ));
    }
    let next = LogOffset::new(stream.entries.len() as u64);
    StreamPage {
        requested,
        first: LogOffset::new(first as u64),
        next,
        entries,
    }
}

/// Folds a page and compares each verdict with the oracle.
fn fold_page(
    stream: &mut Stream,
    history: &History,
    reader: usize,
    page: &StreamPage,
) -> FollowPosition {
    let before = stream.readers[reader].table().next_offset().get() as usize;
    let report = stream.readers[reader].fold(page);
    let (accepted, _) = history.fold(history.records.len());
    for (offset, change, verdict) in report.verdicts {
        let earlier = &history.records[..offset.get() as usize];
        let is_repeated = earlier
            .iter()
            .flatten()
            .any(|record| record.id == change.id);
        assert_eq!(
            verdict == ChangeVerdict::Repeated,
            is_repeated,
            "offset {offset}"
        );
        let is_accepted = matches!(verdict, ChangeVerdict::Accepted(_));
        assert_eq!(
            is_accepted,
            accepted.contains(&(offset.get() as usize)),
            "offset {offset}"
        );
    }
    let after = stream.readers[reader].table().next_offset().get() as usize;
    assert!(
        after == before || after >= history.first,
        "reader moved to offset {after}, but records from there to {} have expired",
        history.first
    );
    report.position
}

fn catch_up(stream: &mut Stream, history: &History, reader: usize, limit: usize) {
    let end = stream.entries.len();
    let mut reachable =
        stream.readers[reader].table().next_offset().get() as usize >= history.first;
    for entry in &stream.entries[history.first..] {
        if let StreamEntry::Snapshot(snapshot) = entry {
            reachable |= snapshot.next_offset.get() as usize >= history.first;
        }
    }
    let mut position = FollowPosition::Behind;
    let mut gaps = 0;
    for _ in 0..3 * (end + 2) {
        let requested = stream.readers[reader].read_offset();
        let page = read(stream, history.first, requested, limit);
        position = fold_page(stream, history, reader, &page);
        // A search that started before the snapshot was appended may miss it once.
        gaps += u32::from(position == FollowPosition::Gap);
        if position == FollowPosition::Current || gaps == 2 {
            break;
        }
    }
    if reachable {
        assert_eq!(position, FollowPosition::Current);
        assert_eq!(
            stream.readers[reader].table().next_offset().get() as usize,
            end
        );
    } else {
        assert_eq!(position, FollowPosition::Gap);
    }
}

struct StreamTest;

impl StateMachineTest for StreamTest {
    type SystemUnderTest = Stream;
    type Reference = HistoryMachine;

    fn init_test(_: &History) -> Stream {
        Stream::default()
    }

    fn apply(mut stream: Stream, history: &History, step: Step) -> Stream {
        match step {
            Step::ReadPage { reader, limit } => {
                let requested = stream.readers[reader].read_offset();
                let page = read(&stream, history.first, requested, limit);
                fold_page(&mut stream, history, reader, &page);
            }
            Step::CatchUp { reader, limit } => catch_up(&mut stream, history, reader, limit),
            Step::RestoreFromPeer { reader, peer } => {
                let requested = stream.readers[reader].read_offset();
                let page = read(&stream, history.first, requested, 2);
                let snapshot = stream.readers[peer].table().snapshot().clone();
                stream.readers[reader].restore_from_peer(snapshot);
                let position = fold_page(&mut stream, history, reader, &page);
                assert_ne!(
                    position,
                    FollowPosition::Regressed,
                    "the log lost no records"
                );
            }
            Step::Restart { reader } => {
                stream.readers[reader] = match reader {
                    0 => ClassFollower::from_oldest(),
                    _ => ClassFollower::default(),
                };
                stream.highest[reader] = 0;
            }
            Step::Capture { reader } => {
                stream.captured = stream.readers[reader].table().snapshot().clone();
            }
            Step::AppendCaptured => {
                stream
                    .entries
                    .push(StreamEntry::Snapshot(stream.captured.clone()));
            }
            Step::Publish { .. } | Step::Race { .. } | Step::Expire { .. } => {
                for record in history.records[stream.entries.len()..].iter().flatten() {
                    stream.entries.push(StreamEntry::Change(record.clone()));
                }
            }
        }
        for (reader, highest) in stream.readers.iter().zip(&mut stream.highest) {
            let offset = reader.table().next_offset().get();
            assert!(
                offset >= *highest,
                "reader went back from offset {highest} to {offset}"
            );
            *highest = offset;
        }
        stream
    }

    fn check_invariants(stream: &Stream, history: &History) {
        for reader in &stream.readers {
            let offset = reader.table().next_offset().get();
            let mut found = OracleTable::new();
            for (name, entry) in &reader.table().snapshot().entries {
                found.insert(name.to_string(), (entry.version.get(), entry.targets));
            }
            assert_eq!(
                found,
                history.fold(offset as usize).1,
                "table at offset {offset}"
            );
        }
    }
}

prop_state_machine! {
    #![proptest_config(CONFIG.clone())]

    /// Guards against diverging readers, accepted changes that revert, concurrent changes of which none or several are
    /// accepted, and snapshots that hide a change.
    #[test]
    fn readers_agree_with_the_whole_history(sequential 1..60 => StreamTest);
}
