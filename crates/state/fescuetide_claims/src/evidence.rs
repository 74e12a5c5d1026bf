//! Evidence about whether the request under an idempotency key may have run.

/// Tracks whether a request can prove that nothing has run under its key.
///
/// Before the log is queried, nothing is known: another request with the same key may have run. Once there is a claim on
/// the key, an attempt may run at any time, either under that claim or under one that replaces it after its target
/// sealed the key (see the [crate documentation](crate)). That nothing has run is then proven only by reading, up to the
/// end of the log, that a claim whose attempt never ran has not been replaced.
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
/// evidence.note_claim_not_replaced(true);
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
    /// There is a claim on the key, or claims may be unread, so an attempt may have run.
    Uncertain,
}

impl KeyKnowledge {
    fn of_read(is_complete: bool) -> Self {
        match is_complete {
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

    /// Records that a claim whose attempt never ran has not been replaced in the part of the log that was read. This
    /// proves that nothing has run only if the log was read up to its end (`read_to_end`).
    pub fn note_claim_not_replaced(&mut self, read_to_end: bool) {
        self.knowledge = KeyKnowledge::of_read(read_to_end);
    }

    /// Records that the log was not available in time. `was_free_before_outage` tells whether all claims had been read before the
    /// outage and none of them was on the key. Once a claim on the key was recorded, the call has no effect.
    pub fn note_unavailable(&mut self, was_free_before_outage: bool) {
        if self.knowledge != KeyKnowledge::Uncertain {
            self.knowledge = KeyKnowledge::of_read(was_free_before_outage);
        }
    }

    /// Returns whether it is proven that nothing has run under the key.
    pub fn is_not_run(&self) -> bool {
        self.knowledge == KeyKnowledge::NotRun
    }
}
