//! Error budget burn report.

use std::fmt;

use fescuetide_base::ClassName;
use fescuetide_base::TargetShare;
use fescuetide_classes::ClassTargets;
use serde::Serialize;

use crate::BurnCount;
use crate::BurnWindow;

/// Burn rate of an error budget: 1 consumes exactly the budget, 2 consumes it twice as fast.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum BurnRate {
    /// Share of bad requests ÷ share allowed by the target.
    Factor(f64),
    /// The target allows no bad requests, so no rate exists. Holds the number of bad requests, and is displayed as
    /// `3 of 0`: 3 bad requests, 0 allowed.
    Forbidden(u64),
}

impl BurnRate {
    /// Computes the burn rate of `bad` out of `all` requests. It is 0 if there are no requests.
    pub fn new(bad: u64, all: u64, target: TargetShare) -> Self {
        if target.is_zero() {
            return Self::Forbidden(bad);
        }
        if all == 0 {
            return Self::Factor(0.0);
        }
        Self::Factor(bad as f64 / all as f64 / target.get())
    }

    /// Returns whether the budget is consumed faster than the target allows.
    pub fn is_over(self) -> bool {
        match self {
            Self::Factor(factor) => factor > 1.0,
            Self::Forbidden(bad) => bad > 0,
        }
    }
}

impl fmt::Display for BurnRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Factor(factor) => write!(f, "{factor:.2}"),
            Self::Forbidden(0) => write!(f, "0"),
            Self::Forbidden(bad) => write!(f, "{bad} of 0"),
        }
    }
}

/// Burn of one class over one window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnLine {
    /// Class that the requests belong to.
    pub class: ClassName,
    /// Window as text, such as `5m`.
    pub window: String,
    /// Request counts of the class in the window.
    pub count: BurnCount,
    /// Burn rate of the lateness target.
    pub lateness: BurnRate,
    /// Burn rate of the loss target.
    pub loss: BurnRate,
    /// Burn rate of the duplication target.
    pub duplication: BurnRate,
}

/// Burn report over all classes and windows.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct BurnReport {
    /// Lines of the report, one per class and window.
    pub lines: Vec<BurnLine>,
}

impl BurnReport {
    /// Adds a class with its counts over [`BurnWindow::ALL`].
    pub fn add_class(
        &mut self,
        class: &ClassName,
        targets: &ClassTargets,
        counts: &[BurnCount; 4],
    ) {
        for (window, count) in BurnWindow::ALL.into_iter().zip(counts) {
            let accepted = count.accepted();
            self.lines.push(BurnLine {
                class: class.clone(),
                window: window.to_string(),
                count: *count,
                lateness: BurnRate::new(count.late, accepted, targets.lateness.late_share),
                loss: BurnRate::new(count.lost, accepted, targets.loss_share),
                duplication: BurnRate::new(count.duplicated, accepted, targets.duplication_share),
            });
        }
    }
}

impl fmt::Display for BurnReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<20} {:>6} {:>9} {:>8} {:>10} {:>10} {:>12}",
            "class", "window", "requests", "refused", "lateness", "loss", "duplication"
        )?;
        for line in &self.lines {
            writeln!(
                f,
                "{:<20} {:>6} {:>9} {:>8} {:>10} {:>10} {:>12}",
                line.class.to_string(),
                line.window,
                line.count.total,
                line.count.refused,
                line.lateness.to_string(),
                line.loss.to_string(),
                line.duplication.to_string()
            )?;
        }
        Ok(())
    }
}
