//! The ledger of one partition and its fold over the log.

use std::fmt;

use fescuetide_base::ClaimId;
use fescuetide_base::ClockMillis;
use fescuetide_base::LogOffset;
use fescuetide_base::SpanMillis;
use indexmap::IndexMap;

use crate::ClaimEntry;
use crate::ClaimKey;

/// For how long keys are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimWindow {
    /// The oldest age of a key. Must be below the time for which the log keeps records.
    pub age: SpanMillis,
    /// The largest difference between two clocks of callers and routers.
    pub skew: SpanMillis,
}

impl Default for ClaimWindow {
    fn default() -> Self {
        Self {
            age: SpanMillis::new(3_600_000),
            skew: SpanMillis::new(5_000),
        }
    }
}

/// What folding a claim led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// It is now the current claim of its key.
    Current,
    /// It has no effect, since another claim is current, or none for a claim that replaces one.
    Refused(Option<ClaimId>),
    /// The same claim was folded before; the repetition has no effect.
    Repeated,
}

/// What the ledger says about a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyStanding<'a> {
    /// No claim was made.
    Free,
    /// This claim is current.
    Held(&'a ClaimEntry),
    /// The key is outside of the window: whether a claim was made cannot be told.
    Unknown,
}

/// Why a record could not be folded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FoldError {
    /// Records between the ledger's offset and this one are missing.
    OffsetGap {
        /// The offset the ledger needs next.
        expected: LogOffset,
        /// The offset that was offered.
        found: LogOffset,
    },
    /// The record lies below the ledger's offset and was folded before.
    AlreadyFolded(LogOffset),
}

impl fmt::Display for FoldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OffsetGap { expected, found } => {
                write!(
                    f,
                    "claim records from offset {expected} to {found} are missing"
                )
            }
            Self::AlreadyFolded(offset) => write!(f, "log offset {offset} was folded before"),
        }
    }
}

impl std::error::Error for FoldError {}

#[derive(Clone, Debug, Default)]
struct KeyState {
    current: Option<ClaimEntry>,
    /// All claims folded for the key, so that a repeated append has no effect.
    ids: Vec<ClaimId>,
}

/// The claims of one partition, folded from the log.
#[derive(Clone, Debug)]
pub struct ClaimLedger {
    window: ClaimWindow,
    next_offset: LogOffset,
    /// Records up to this time may be missing.
    lost_until: Option<ClockMillis>,
    keys: IndexMap<ClaimKey, KeyState>,
}

impl ClaimLedger {
    /// Creates an empty ledger at offset 0.
    pub fn new(window: ClaimWindow) -> Self {
        Self {
            window,
            next_offset: LogOffset::default(),
            lost_until: None,
            keys: IndexMap::new(),
        }
    }

    /// Forgets everything and continues at `first`, the oldest offset that the log still has. Records below it were
    /// appended at `lost_until` or before.
    pub fn restart(&mut self, first: LogOffset, lost_until: ClockMillis) {
        self.next_offset = first;
        self.lost_until = Some(lost_until);
        self.keys.clear();
    }

    /// Folds the claims of the record at `offset` in their order.
    ///
    /// # Errors
    ///
    /// Fails without effect when `offset` is not the next one.
    pub fn fold(
        &mut self,
        offset: LogOffset,
        claims: &[ClaimEntry],
    ) -> Result<Vec<ClaimVerdict>, FoldError> {
        let expected = self.next_offset;
        if offset < expected {
            return Err(FoldError::AlreadyFolded(offset));
        }
        if offset > expected {
            return Err(FoldError::OffsetGap {
                expected,
                found: offset,
            });
        }
        self.next_offset = LogOffset::new(offset.get() + 1);
        let mut verdicts = Vec::with_capacity(claims.len());
        for claim in claims {
            verdicts.push(self.fold_claim(claim));
        }
        Ok(verdicts)
    }

    fn fold_claim(&mut self, claim: &ClaimEntry) -> ClaimVerdict {
        let state = self.keys.entry(claim.key.clone()).or_default();
        if state.ids.contains(&claim.id) {
            return ClaimVerdict::Repeated;
        }
        state.ids.push(claim.id);
        let current = state.current.as_ref().map(|current| current.id);
        if claim.supersedes != current {
            return ClaimVerdict::Refused(current);
        }
        state.current = Some(claim.clone());
        ClaimVerdict::Current
    }

    /// What is known about `key` at `now`.
    pub fn look_up(&self, key: &ClaimKey, now: ClockMillis) -> KeyStanding<'_> {
        if !self.covers(key, now) {
            return KeyStanding::Unknown;
        }
        match self.keys.get(key).and_then(|state| state.current.as_ref()) {
            Some(claim) => KeyStanding::Held(claim),
            None => KeyStanding::Free,
        }
    }

    /// Drops keys that are too old to be looked up again.
    pub fn expire(&mut self, now: ClockMillis) {
        let window = self.window;
        self.keys.retain(|key, _| !is_too_old(key, window, now));
    }

    /// The next offset to fold.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// How many keys are kept.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    fn covers(&self, key: &ClaimKey, now: ClockMillis) -> bool {
        let created = key.created_at();
        if created > now + self.window.skew || is_too_old(key, self.window, now) {
            return false;
        }
        // A claim on a key is appended after the key was created.
        self.lost_until
            .is_none_or(|lost| created > lost + self.window.skew)
    }
}

fn is_too_old(key: &ClaimKey, window: ClaimWindow, now: ClockMillis) -> bool {
    now.since(key.created_at()) > window.age
}
