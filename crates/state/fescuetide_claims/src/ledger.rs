//! Claim ledger of a partition, built from the log.

use fescuetide_base::ApplyError;
use fescuetide_base::ClaimId;
use fescuetide_base::ClockMillis;
use fescuetide_base::LogOffset;
use fescuetide_base::SpanMillis;
use indexmap::IndexMap;

use crate::ClaimEntry;
use crate::ClaimKey;

/// Time window within which keys are tracked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimWindow {
    /// Maximum age of a key. Must be below the retention of the log.
    pub age: SpanMillis,
    /// Maximum clock skew between callers and routers.
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

/// Result of applying a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claim is now the current one of its key.
    Current,
    /// The claim has no effect, since it does not supersede the current claim. Holds the id of the current claim, if
    /// any.
    Refused(Option<ClaimId>),
    /// A claim with the same id was already applied. The repetition has no effect.
    Repeated,
}

/// Status of a key in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStatus<'a> {
    /// There is no claim on the key.
    Free,
    /// This claim is the current one.
    Held(&'a ClaimEntry),
    /// It is unknown whether there is a claim on the key: the key is outside the window, or claims on it may have
    /// expired from the log before they were read.
    Unknown,
}

#[derive(Clone, Debug, Default)]
struct KeyState {
    current: Option<ClaimEntry>,
    /// Ids of all claims applied for the key, for detecting repeated appends.
    ids: Vec<ClaimId>,
}

/// Claims of one partition, built from the log.
#[derive(Clone, Debug)]
pub struct ClaimLedger {
    window: ClaimWindow,
    next_offset: LogOffset,
    /// Records appended up to this time may have expired from the log before they were read.
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

    /// Clears the ledger and continues at `first`, the oldest retained offset of the log. Records before it were
    /// appended at or before `lost_until`.
    pub fn restart(&mut self, first: LogOffset, lost_until: ClockMillis) {
        self.next_offset = first;
        self.lost_until = Some(lost_until);
        self.keys.clear();
    }

    /// Applies the claims of the record at `offset` in order.
    ///
    /// # Errors
    ///
    /// Returns an error and leaves the ledger unchanged if `offset` is not the next one.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        claims: &[ClaimEntry],
    ) -> Result<Vec<ClaimVerdict>, ApplyError> {
        let expected = self.next_offset;
        if offset < expected {
            return Err(ApplyError::AlreadyApplied(offset));
        }
        if offset > expected {
            return Err(ApplyError::OffsetGap {
                expected,
                found: offset,
            });
        }
        self.next_offset = LogOffset::new(offset.get() + 1);
        let mut verdicts = Vec::with_capacity(claims.len());
        for claim in claims {
            verdicts.push(self.apply_claim(claim));
        }
        Ok(verdicts)
    }

    fn apply_claim(&mut self, claim: &ClaimEntry) -> ClaimVerdict {
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

    /// Returns the status of `key` at `now`.
    pub fn look_up(&self, key: &ClaimKey, now: ClockMillis) -> ClaimStatus<'_> {
        if !self.covers(key, now) {
            return ClaimStatus::Unknown;
        }
        match self.keys.get(key).and_then(|state| state.current.as_ref()) {
            Some(claim) => ClaimStatus::Held(claim),
            None => ClaimStatus::Free,
        }
    }

    /// Drops keys that are too old to be looked up.
    pub fn expire(&mut self, now: ClockMillis) {
        let window = self.window;
        self.keys.retain(|key, _| !is_too_old(key, window, now));
    }

    /// Returns the next offset to apply.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Returns the number of tracked keys.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    fn covers(&self, key: &ClaimKey, now: ClockMillis) -> bool {
        let created = key.created_at();
        if created > now + self.window.skew || is_too_old(key, self.window, now) {
            return false;
        }
        // Claims on a key are appended after its creation, so none of them is lost if the key is newer than the lost
        // records.
        self.lost_until
            .is_none_or(|lost| created > lost + self.window.skew)
    }
}

fn is_too_old(key: &ClaimKey, window: ClaimWindow, now: ClockMillis) -> bool {
    now.since(key.created_at()) > window.age
}
