//! The log service's HTTP interface and the records that the system keeps there.
//!
//! `POST /streams/{name}` appends the body and answers [`AppendReply`].
//! `GET /streams/{name}?from=N&limit=K` answers [`ReadReply`].

use fescuetide_base::ChangeId;
use fescuetide_base::ClassName;
use fescuetide_base::ClassVersion;
use fescuetide_base::ClockMillis;
use fescuetide_base::LogOffset;
use fescuetide_classes::ChangeAction;
use fescuetide_classes::ClassChange;
use fescuetide_classes::ClassSnapshot;
use fescuetide_classes::ClassTargets;
use fescuetide_classes::StreamEntry;
use fescuetide_classes::StreamPage;
use serde::Deserialize;
use serde::Serialize;

/// The stream of class changes and snapshots.
pub const CLASS_STREAM: &str = "classes";

/// The answer to an append.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AppendReply {
    /// The record's offset.
    pub offset: u64,
}

/// The answer to a read.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ReadReply {
    /// The oldest offset that can still be read.
    pub first: u64,
    /// The offset of the next append.
    pub next: u64,
    /// Records from the requested offset on.
    pub records: Vec<RecordWire>,
}

impl ReadReply {
    /// The page of the class stream that this is the reply for, after a read from `requested`.
    pub fn to_page(&self, requested: LogOffset) -> StreamPage {
        let mut entries = Vec::with_capacity(self.records.len());
        for record in &self.records {
            let entry = match serde_json::from_str(&record.data) {
                Ok(ClassRecord::Change(wire)) => StreamEntry::Change(wire.into()),
                Ok(ClassRecord::Snapshot(snapshot)) => StreamEntry::Snapshot(snapshot),
                Err(_) => StreamEntry::Unreadable,
            };
            entries.push((LogOffset::new(record.offset), entry));
        }
        StreamPage {
            requested,
            first: LogOffset::new(self.first),
            next: LogOffset::new(self.next),
            entries,
        }
    }
}

/// One record of a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordWire {
    /// Its offset.
    pub offset: u64,
    /// Its text, in JSON.
    pub data: String,
}

/// A record of the class stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClassRecord {
    /// A change.
    Change(ChangeWire),
    /// The state up to an offset, so that a new reader need not read from the start.
    Snapshot(ClassSnapshot),
}

/// A change of a class on the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangeWire {
    /// Identifies the change.
    pub id: ChangeId,
    /// The class.
    pub class: ClassName,
    /// The version it is based on.
    pub based_on: u64,
    /// The new targets, or nothing to remove the class.
    pub targets: Option<ClassTargets>,
    /// Who published it.
    pub author: String,
    /// When, in ms since the Unix epoch.
    pub at_ms: u64,
}

impl From<ClassChange> for ChangeWire {
    fn from(change: ClassChange) -> Self {
        Self {
            id: change.id,
            class: change.class,
            based_on: change.based_on.get(),
            targets: match change.action {
                ChangeAction::Set(targets) => Some(targets),
                ChangeAction::Remove => None,
            },
            author: change.author,
            at_ms: change.at.as_millis(),
        }
    }
}

impl From<ChangeWire> for ClassChange {
    fn from(wire: ChangeWire) -> Self {
        Self {
            id: wire.id,
            class: wire.class,
            based_on: ClassVersion::new(wire.based_on),
            action: match wire.targets {
                Some(targets) => ChangeAction::Set(targets),
                None => ChangeAction::Remove,
            },
            author: wire.author,
            at: ClockMillis::new(wire.at_ms),
        }
    }
}
