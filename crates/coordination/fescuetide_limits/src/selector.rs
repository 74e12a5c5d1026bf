//! Selection of an upstream for one request.

use fescuetide_base::LoadCount;

use crate::AdmitRule;
use crate::LoadBound;

/// Maximum number of loads to collect with [`AdmitRule::OwnCap`]. The mean of this many loads is accurate to a few
/// percent, and each further candidate costs a round trip.
const INITIAL_PROBE_LIMIT: usize = 64;

/// Last known response of a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CandidateState {
    /// Not asked yet if its index is at or above the cursor, otherwise unusable. Its load does not enter the mean.
    Unknown,
    /// Refused at this load because of the load bound. May be asked again.
    OverBound(u32),
    /// Excluded at this load. Not asked again, but its load enters the mean.
    Excluded(u32),
}

/// Selects the candidate to ask next and the admission rule to send.
///
/// Candidates are first asked in ranking order and apply their own caps. If all of them refuse, the reported loads
/// yield a mean that is only as old as this request. The request is then offered, again in ranking order, to candidates
/// whose reported load is below the cap at that mean. Such a candidate always exists: the cap is above the mean, and
/// not all loads can be above their mean. Each further refusal reports a higher load, so the selection terminates.
///
/// ```
/// use fescuetide_base::LoadCount;
/// use fescuetide_limits::prelude::*;
///
/// let mut selector = CandidateSelector::new(LoadBound::default(), 2);
/// assert_eq!(selector.next_candidate(), Some((0, AdmitRule::OwnCap)));
/// selector.note_over_bound(0, LoadCount::new(3));
/// assert_eq!(selector.next_candidate(), Some((1, AdmitRule::OwnCap)));
/// selector.note_over_bound(1, LoadCount::new(1));
/// // The mean is 2 and its cap 3, so only the second candidate has room.
/// assert_eq!(selector.next_candidate(), Some((1, AdmitRule::AtMost(LoadCount::new(2)))));
/// ```
#[derive(Clone, Debug)]
pub struct CandidateSelector {
    bound: LoadBound,
    states: Vec<CandidateState>,
    /// Index of the next candidate to ask with [`AdmitRule::OwnCap`]. Those before it have been asked.
    cursor: usize,
    /// Limit of the last [`AdmitRule::AtMost`], to detect a candidate that refuses although its load is within it.
    last_at_most: Option<u32>,
}

impl CandidateSelector {
    /// Creates a selector over `count` candidates in ranking order.
    pub fn new(bound: LoadBound, count: usize) -> Self {
        Self {
            bound,
            states: vec![CandidateState::Unknown; count],
            cursor: 0,
            last_at_most: None,
        }
    }

    /// Returns the index of the next candidate and the admission rule to send, or `None` if all candidates are
    /// exhausted.
    pub fn next_candidate(&mut self) -> Option<(usize, AdmitRule)> {
        if self.cursor < self.states.len() && self.known_count() < INITIAL_PROBE_LIMIT {
            let index = self.cursor;
            self.cursor += 1;
            return Some((index, AdmitRule::OwnCap));
        }
        let cap = self.reported_cap()?;
        for (index, state) in self.states.iter_mut().enumerate() {
            let CandidateState::OverBound(load) = *state else {
                continue;
            };
            if load < cap {
                // Ask again only if the candidate refuses with a higher load.
                *state = CandidateState::Excluded(load);
                self.last_at_most = Some(cap - 1);
                return Some((index, AdmitRule::AtMost(LoadCount::new(cap - 1))));
            }
        }
        None
    }

    /// Records that the last candidate refused because of the load bound.
    pub fn note_over_bound(&mut self, index: usize, load: LoadCount) {
        let load = load.get();
        // A candidate that refuses although its load is within the limit would otherwise be asked indefinitely.
        let contradicts = self.last_at_most.is_some_and(|limit| load <= limit);
        self.states[index] = if contradicts {
            CandidateState::Excluded(load)
        } else {
            CandidateState::OverBound(load)
        };
    }

    /// Records that a candidate refused for another reason. It is not asked again, but its load enters the mean.
    pub fn note_excluded(&mut self, index: usize, load: LoadCount) {
        self.states[index] = CandidateState::Excluded(load.get());
    }

    /// Records that a candidate is unusable. It is not asked again, and its load does not enter the mean.
    pub fn note_gone(&mut self, index: usize) {
        self.states[index] = CandidateState::Unknown;
    }

    /// Returns the cap at the mean of the reported loads.
    fn reported_cap(&self) -> Option<u32> {
        let count = self.loads().count();
        if count == 0 {
            return None;
        }
        let sum: u64 = self.loads().map(u64::from).sum();
        let mean = sum as f64 / count as f64;
        // `LoadBound` does not enforce a multiple above 1. With a multiple of 1 and an integer mean, the cap would
        // equal the mean and exclude every candidate.
        Some(self.bound.cap(mean).get().max(mean as u32 + 1))
    }

    /// Returns the number of candidates asked so far whose loads are known.
    fn known_count(&self) -> usize {
        let asked = self.states[..self.cursor].iter();
        asked
            .filter(|state| **state != CandidateState::Unknown)
            .count()
    }

    fn loads(&self) -> impl Iterator<Item = u32> + '_ {
        self.states.iter().filter_map(|state| match state {
            CandidateState::Unknown => None,
            CandidateState::OverBound(load) | CandidateState::Excluded(load) => Some(*load),
        })
    }
}
