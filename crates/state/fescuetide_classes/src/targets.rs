//! Targets of a class.

use fescuetide_base::FindingList;
use fescuetide_base::SpanMillis;
use fescuetide_base::TargetShare;
use serde::Deserialize;
use serde::Serialize;

/// Upper limit of the lateness target: one day.
const LATENESS_LIMIT_MS: u64 = 24 * 3_600 * 1_000;

/// Latency objective for the first part of a response, that is, for the first data of its body.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LatenessTarget {
    /// Maximum time from the request to the first part of its response.
    pub within: SpanMillis,
    /// Share of requests that may exceed this time.
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

/// Service-level objectives of a class.
///
/// The roles `router` and `side` apply them. The role `gateway` takes its objectives from routes (`RouteEntry` in
/// `fescuetide_fleet`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassTargets {
    /// Latency objective.
    pub lateness: LatenessTarget,
    /// Share of accepted requests that may end without a complete response.
    pub loss_share: TargetShare,
    /// Share of requests that may run more than once.
    pub duplication_share: TargetShare,
    /// Whether a request may be retried although an earlier attempt may have run.
    pub repeatable: bool,
}

impl ClassTargets {
    /// Validates the targets. `place` is the location reported in the findings.
    ///
    /// # Errors
    ///
    /// Returns all findings.
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
