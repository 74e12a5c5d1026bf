//! The walk of one request over the candidates for it.

use fescuetide_base::LoadCount;

use crate::AdmitRule;
use crate::LoadBound;

/// Most candidates asked by their own cap. The mean over this many loads is off by a few percent, and each further
/// candidate costs a round trip.
const WALK_LIMIT: usize = 64;

/// What a candidate that refused tells about its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CandidateNote {
    /// Not asked yet, or it cannot be used and counts for nothing.
    Silent,
    /// It refused because of the load bound at this load.
    OverBound(u32),
    /// It refused for another reason at this load.
    Barred(u32),
}

/// Chooses which candidate is asked next and by which rule.
///
/// Candidates are first asked by their own caps in ranking order. When all have refused, the loads that they reported
/// give a mean that is only as old as the walk. The request is then offered, again in ranking order, to candidates
/// whose reported load leaves room under the cap at that mean. Such a candidate always exists, since the cap is above
/// the mean and not all loads can be above their mean. Each further refusal reports a higher load, so the walk ends.
///
/// ```
/// use fescuetide_base::LoadCount;
/// use fescuetide_limits::prelude::*;
///
/// let mut walk = CandidateWalk::new(LoadBound::default(), 2);
/// assert_eq!(walk.next_candidate(), Some((0, AdmitRule::OwnCap)));
/// walk.note_over_bound(0, LoadCount::new(3));
/// assert_eq!(walk.next_candidate(), Some((1, AdmitRule::OwnCap)));
/// walk.note_over_bound(1, LoadCount::new(1));
/// // The mean is 2 and its cap 3, so only the second candidate has room.
/// assert_eq!(walk.next_candidate(), Some((1, AdmitRule::AtMost(LoadCount::new(2)))));
/// ```
#[derive(Clone, Debug)]
pub struct CandidateWalk {
    bound: LoadBound,
    notes: Vec<CandidateNote>,
    cursor: usize,
    limit: Option<u32>,
}

impl CandidateWalk {
    /// Starts a walk over `count` candidates, best first.
    pub fn new(bound: LoadBound, count: usize) -> Self {
        Self {
            bound,
            notes: vec![CandidateNote::Silent; count],
            cursor: 0,
            limit: None,
        }
    }

    /// The place of the next candidate and the rule to ask it by.
    pub fn next_candidate(&mut self) -> Option<(usize, AdmitRule)> {
        if self.cursor < self.notes.len() && self.known_count() < WALK_LIMIT {
            let place = self.cursor;
            self.cursor += 1;
            return Some((place, AdmitRule::OwnCap));
        }
        let cap = self.fresh_cap()?;
        for (place, note) in self.notes.iter_mut().enumerate() {
            let CandidateNote::OverBound(load) = *note else {
                continue;
            };
            if load < cap {
                // Unless it refuses again at a higher load, it is not asked again.
                *note = CandidateNote::Barred(load);
                self.limit = Some(cap - 1);
                return Some((place, AdmitRule::AtMost(LoadCount::new(cap - 1))));
            }
        }
        None
    }

    /// Notes that the candidate asked last refused because of the load bound.
    pub fn note_over_bound(&mut self, place: usize, load: LoadCount) {
        let load = load.get();
        // A candidate that refuses within the limit would be asked for ever.
        let contradicts = self.limit.is_some_and(|limit| load <= limit);
        self.notes[place] = if contradicts {
            CandidateNote::Barred(load)
        } else {
            CandidateNote::OverBound(load)
        };
    }

    /// Notes that a candidate refused for another reason; it is not asked again, but its load counts in the mean.
    pub fn note_barred(&mut self, place: usize, load: LoadCount) {
        self.notes[place] = CandidateNote::Barred(load.get());
    }

    /// Notes that a candidate cannot be used; it is not asked again and does not count.
    pub fn note_gone(&mut self, place: usize) {
        self.notes[place] = CandidateNote::Silent;
    }

    /// The cap at the mean of the reported loads.
    fn fresh_cap(&self) -> Option<u32> {
        let count = self.loads().count();
        if count == 0 {
            return None;
        }
        let sum: u64 = self.loads().map(u64::from).sum();
        let mean = sum as f64 / count as f64;
        // With a multiple of 1, the cap at a whole mean would leave no room.
        Some(self.bound.cap(mean).get().max(mean as u32 + 1))
    }

    /// Candidates asked so far whose loads are known.
    fn known_count(&self) -> usize {
        let asked = self.notes[..self.cursor].iter();
        asked.filter(|note| **note != CandidateNote::Silent).count()
    }

    fn loads(&self) -> impl Iterator<Item = u32> + '_ {
        self.notes.iter().filter_map(|note| match note {
            CandidateNote::Silent => None,
            CandidateNote::OverBound(load) | CandidateNote::Barred(load) => Some(*load),
        })
    }
}
