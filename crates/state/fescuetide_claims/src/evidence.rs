//! Evidence about whether the request under an idempotency key may have run.

/// Tracks whether a request can prove that nothing has run under its key.
///
/// Before the log is queried, nothing is known: an earlier send with the same key may have run. Once any claim exists,
/// an attempt may run at any time, either under that claim or under one that replaces it after its target sealed the
/// key (see the [crate documentation](crate)). Only the log can prove otherwise, by showing that a claim whose attempt
/// never ran is still the current one.
///
/// ```
/// use fescuetide_claims::KeyEvidence;
///
/// let mut evidence = KeyEvidence::default();
/// assert!(!evidence.is_not_run());
/// evidence.note_free();
/// assert!(evidence.is_not_run());
/// evidence.note_claim();
/// assert!(!evidence.is_not_run());
/// evidence.note_current(true);
/// assert!(evidence.is_not_run());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyEvidence {
    knowledge: KeyKnowledge,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum KeyKnowledge {
    /// The log has not been queried.
    #[default]
    NotQueried,
    /// Nothing has run under the key.
    NotRun,
    /// An attempt of another send may have run.
    Uncertain,
}

impl KeyKnowledge {
    fn of_read(is_certain: bool) -> Self {
        match is_certain {
            true => Self::NotRun,
            false => Self::Uncertain,
        }
    }
}

impl KeyEvidence {
    /// Records that there is a claim on the key.
    pub fn note_claim(&mut self) {
        self.knowledge = KeyKnowledge::Uncertain;
    }

    /// Records that the log was read up to its end and contains no claim on the key.
    pub fn note_free(&mut self) {
        self.knowledge = KeyKnowledge::NotRun;
    }

    /// Records that a claim whose attempt never ran is still the current one. This is proof only if the log was read up
    /// to its end (`caught_up`).
    pub fn note_current(&mut self, caught_up: bool) {
        self.knowledge = KeyKnowledge::of_read(caught_up);
    }

    /// Records that the log was not available in time. `is_free` states whether all claims had been read before the
    /// outage and none of them was on the key. Has no effect after a claim was recorded.
    pub fn note_unavailable(&mut self, is_free: bool) {
        if self.knowledge != KeyKnowledge::Uncertain {
            self.knowledge = KeyKnowledge::of_read(is_free);
        }
    }

    /// Returns whether it is proven that nothing has run under the key.
    pub fn is_not_run(&self) -> bool {
        self.knowledge == KeyKnowledge::NotRun
    }
}
