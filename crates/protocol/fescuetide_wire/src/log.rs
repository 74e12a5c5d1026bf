//! The HTTP API of the log service, and the records of the class stream.
//!
//! `POST /streams/{name}` appends the body as a record and returns [`AppendReply`].
//! `GET /streams/{name}?from=N&limit=K` returns up to `K` records from offset `N` as [`ReadReply`].

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

/// The name of the log stream that contains class changes and snapshots.
pub const CLASS_STREAM: &str = "classes";

/// The response to an append.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AppendReply {
    /// The offset of the appended record.
    pub offset: u64,
}

/// The response to a read.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ReadReply {
    /// The offset of the oldest retained record.
    pub first: u64,
    /// The offset that the next appended record will get.
    pub next: u64,
    /// The records, starting at the requested offset.
    pub records: Vec<RecordWire>,
}

impl ReadReply {
    /// Decodes the response to a read of the class stream from offset `requested`. Records that cannot be decoded become
    /// [`StreamEntry::Unreadable`].
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

/// A record of a log stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordWire {
    /// The offset of the record.
    pub offset: u64,
    /// The record as JSON text.
    pub data: String,
}

/// A record of the class stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClassRecord {
    /// A change to a class.
    Change(ChangeWire),
    /// The class table at an offset, so that new readers do not have to replay the stream from its start.
    Snapshot(ClassSnapshot),
}

/// A change to a class, as stored in the class stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangeWire {
    /// The id of the change.
    pub id: ChangeId,
    /// The changed class.
    pub class: ClassName,
    /// The class version that the change is based on.
    pub based_on: u64,
    /// The new targets, or `None` to remove the class.
    pub targets: Option<ClassTargets>,
    /// The operator who published the change.
    pub author: String,
    /// The time of publication in milliseconds since the Unix epoch.
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
