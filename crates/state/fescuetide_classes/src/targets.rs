//! The targets of a class.

use fescuetide_base::FindingList;
use fescuetide_base::SpanMillis;
use fescuetide_base::TargetShare;
use serde::Deserialize;
use serde::Serialize;

/// The longest lateness target: one day.
const LATENESS_LIMIT_MS: u64 = 24 * 3_600 * 1_000;

/// How late the first part of an answer may be.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LatenessTarget {
    /// Time from the request to the first part of its answer, in milliseconds.
    pub within: SpanMillis,
    /// The share of requests that may be later than that.
    pub late_share: TargetShare,
}

impl Default for LatenessTarget {
    fn default() -> Self {
        Self {
            within: SpanMillis::new(1_900),
            late_share: TargetShare::new(0.05).unwrap_or_default(),
        }
    }
}

/// What operators ask of a class of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassTargets {
    /// How late answers may be.
    pub lateness: LatenessTarget,
    /// The share of accepted requests that may end without a complete answer.
    pub loss_share: TargetShare,
    /// The share of requests that may run more than once.
    pub duplication_share: TargetShare,
    /// Whether a request may run again when its first run may have happened.
    pub repeatable: bool,
}

impl ClassTargets {
    /// Checks the targets; `place` names them in the findings.
    ///
    /// # Errors
    ///
    /// Returns all findings together.
    pub fn check(&self, place: &str) -> Result<(), FindingList> {
        let mut list = FindingList::default();
        let within = self.lateness.within.as_millis();
        if within == 0 || within > LATENESS_LIMIT_MS {
            list.add(
                format!("{place}.lateness.within"),
                format!("{within} ms is not between 1 and {LATENESS_LIMIT_MS} ms"),
            );
        }
        if !self.repeatable && !self.duplication_share.is_zero() {
            list.add(
                format!("{place}.duplication_share"),
                "must be 0 for a class that is not repeatable",
            );
        }
        list.into_result(())
    }
}
