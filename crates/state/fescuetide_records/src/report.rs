//! The report on service-level burn.

use std::fmt;

use fescuetide_base::ClassName;
use fescuetide_base::TargetShare;
use fescuetide_classes::ClassTargets;
use serde::Serialize;

use crate::BurnCount;
use crate::BurnWindow;

/// How fast an error budget is used up: 1 uses it up exactly, 2 twice as fast.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum BurnRate {
    /// The share of bad requests ÷ the share that the target allows.
    Factor(f64),
    /// The target allows none, and this many were bad.
    Forbidden(u64),
}

impl BurnRate {
    /// Relates bad requests to a target. Without requests nothing is used up.
    pub fn new(bad: u64, all: u64, target: TargetShare) -> Self {
        if target.is_zero() {
            return Self::Forbidden(bad);
        }
        if all == 0 {
            return Self::Factor(0.0);
        }
        Self::Factor(bad as f64 / all as f64 / target.get())
    }

    /// Whether the budget is used up faster than the target allows.
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

/// One class over one window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnLine {
    /// The class.
    pub class: ClassName,
    /// The window, such as `5m`.
    pub window: String,
    /// The counts.
    pub count: BurnCount,
    /// Burn of the lateness target.
    pub lateness: BurnRate,
    /// Burn of the loss target.
    pub loss: BurnRate,
    /// Burn of the duplication target.
    pub duplication: BurnRate,
}

/// The report over all classes and windows.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct BurnReport {
    /// One line per class and window.
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
