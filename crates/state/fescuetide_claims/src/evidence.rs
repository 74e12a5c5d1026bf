//! What a request has learned about whether its key may have run.

/// Evidence that a key has not run, as far as one request knows it.
///
/// A request that has asked nobody knows nothing: an earlier send of its key may have run. Once there is a claim, its own
/// or another's, an attempt may run at any time: under that claim, or under one that replaces it after it was sealed.
/// Only the log can take this doubt away, by showing that a claim whose attempt never ran is still the current one.
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
    /// Nobody was asked.
    #[default]
    Unasked,
    /// Nothing has run under the key.
    NotRun,
    /// An attempt may have run that is not known here.
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
    /// There is a claim on the key.
    pub fn note_claim(&mut self) {
        self.knowledge = KeyKnowledge::Uncertain;
    }

    /// The log was read up to its end and has no claim on the key.
    pub fn note_free(&mut self) {
        self.knowledge = KeyKnowledge::NotRun;
    }

    /// The log still has the claim whose attempt never ran as the current one, if it was read up to its end.
    pub fn note_current(&mut self, caught_up: bool) {
        self.knowledge = KeyKnowledge::of_read(caught_up);
    }

    /// The log could not be used in time. `is_free` says whether the key is known to have no claim. That takes no
    /// earlier doubt away.
    pub fn note_unavailable(&mut self, is_free: bool) {
        if self.knowledge != KeyKnowledge::Uncertain {
            self.knowledge = KeyKnowledge::of_read(is_free);
        }
    }

    /// Whether the key is known not to have run.
    pub fn is_not_run(&self) -> bool {
        self.knowledge == KeyKnowledge::NotRun
    }
}
