//! Errors of folding the records of a log into a state.

use std::fmt;

use crate::LogOffset;

/// Error of applying a record at an unexpected offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyError {
    /// Records between the next offset of the state and this record are missing.
    OffsetGap {
        /// Next offset of the state.
        expected: LogOffset,
        /// Offset of the record.
        found: LogOffset,
    },
    /// The record at this offset was already applied.
    AlreadyApplied(LogOffset),
}

impl fmt::Display for ApplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OffsetGap { expected, found } => {
                write!(
                    f,
                    "expected the log record at offset {expected}, found {found}"
                )
            }
            Self::AlreadyApplied(offset) => {
                write!(f, "log record at offset {offset} was already applied")
            }
        }
    }
}

impl std::error::Error for ApplyError {}
