//! What a request has learned about whether its key may have run.

/// Evidence that a key has not run, as far as one request knows it.
///
/// A claim whose attempt never ran says nothing about claims that replaced it: until the log shows that the claim is
/// still the current one, another request may have replaced it and run.
///
/// ```
/// use fescuetide_claims::KeyEvidence;
///
/// let mut evidence = KeyEvidence::default();
/// assert!(evidence.is_not_run());
/// evidence.note_sealed();
/// assert!(!evidence.is_not_run());
/// evidence.note_current(true);
/// assert!(evidence.is_not_run());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyEvidence {
    /// Whether a claim may have run that is not known here.
    is_uncertain: bool,
}

impl KeyEvidence {
    /// The request's own claim was read back as the current one, and nothing was dispatched under it yet.
    pub fn note_claimed(&mut self) {
        self.is_uncertain = false;
    }

    /// Another request's claim was found. `caught_up` says whether the log was read up to its end.
    pub fn note_held(&mut self, caught_up: bool) {
        self.is_uncertain = !caught_up;
    }

    /// The attempt under the claim last known never ran and never will.
    pub fn note_sealed(&mut self) {
        self.is_uncertain = true;
    }

    /// The log still has the claim whose attempt never ran as the current one, if it was read up to its end.
    pub fn note_current(&mut self, caught_up: bool) {
        self.is_uncertain = !caught_up;
    }

    /// The log could not be used in time. `is_free` says whether the key is known to have no claim.
    pub fn note_unavailable(&mut self, is_free: bool) {
        self.is_uncertain |= !is_free;
    }

    /// Whether the key is known not to have run.
    pub fn is_not_run(&self) -> bool {
        !self.is_uncertain
    }
}
