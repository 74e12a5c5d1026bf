//! What gateways tell each other, and the log, about the origins of streams.

use std::net::SocketAddr;

use crate::OriginEntry;
use crate::StreamKey;
use crate::StreamOrigin;
use crate::VersionReading;

/// What a gateway tells or asks another one about the origins of streams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginMessage {
    /// Where streams began, also as the answer to a question.
    Told(Vec<OriginEntry>),
    /// The question where streams began.
    Sought(Vec<StreamKey>),
    /// The answer that this is not known.
    Unknown {
        /// The streams.
        streams: Vec<StreamKey>,
        /// Whether the gateway that answers knows of one version only in each pool.
        has_one_version: bool,
    },
    /// Where streams began, for the gateway that writes it to the log.
    ToWrite(Vec<OriginEntry>),
    /// The streams whose origins are in the log now.
    Written(Vec<StreamKey>),
    /// Versions that the log has records of.
    Versions(Vec<StreamOrigin>),
    /// Versions whose records were removed from the log.
    Forgotten(Vec<StreamOrigin>),
}

/// A call to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginCommand {
    /// Append where streams began. [`OriginLogEvent::Appended`] follows.
    AppendOrigins(Vec<OriginEntry>),
    /// Append the record of a version. [`OriginLogEvent::VersionRecorded`] follows if that succeeds.
    RecordVersion(StreamOrigin),
    /// Remove the record of a version. [`OriginLogEvent::VersionForgotten`] follows.
    ForgetVersion(StreamOrigin),
    /// Read what is new. [`OriginLogEvent::Read`] or [`OriginLogEvent::ReadFailed`] follows.
    Read,
}

/// What became of calls to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginLogEvent {
    /// Whether origins were appended.
    Appended(bool),
    /// The log has a record of a version now.
    VersionRecorded(StreamOrigin),
    /// The removal of the record of a version has ended.
    VersionForgotten {
        /// The version.
        origin: StreamOrigin,
        /// Whether the log has no record of it now. Otherwise that is not known.
        is_removed: bool,
    },
    /// The versions were read after the start.
    Started(VersionReading),
    /// All that was in the log when the read began.
    Read {
        /// The versions.
        versions: VersionReading,
        /// Origins that no read returned before.
        origins: Vec<OriginEntry>,
    },
    /// A read failed.
    ReadFailed,
}

/// What the process is to do for an [`OriginExchange`](crate::OriginExchange).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginOutput {
    /// Send a message to a gateway. It may be lost.
    Send(SocketAddr, OriginMessage),
    /// Call the log.
    Call(OriginCommand),
}
