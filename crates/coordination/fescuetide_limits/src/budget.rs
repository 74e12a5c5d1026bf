//! Retry budgets.

/// Settings of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries allowed per first attempt.
    pub ratio: f64,
    /// The most retries that can be saved up.
    pub burst: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            burst: 20.0,
        }
    }
}

/// Limits retries to a ratio of first attempts, so that a failing pool does not see its load multiplied.
///
/// ```
/// use fescuetide_limits::prelude::*;
///
/// let mut budget = RetryBudget::new(BudgetSettings { ratio: 0.5, burst: 1.0 });
/// assert!(budget.try_retry());
/// assert!(!budget.try_retry());
/// budget.note_request();
/// budget.note_request();
/// assert!(budget.try_retry());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    saved: f64,
}

impl RetryBudget {
    /// Creates a budget with its full burst saved up.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            saved: settings.burst,
        }
    }

    /// Changes the settings. What is saved beyond the new burst is lost.
    pub fn set(&mut self, settings: BudgetSettings) {
        self.settings = settings;
        self.saved = self.saved.min(settings.burst);
    }

    /// Notes a first attempt, which earns a share of a retry.
    pub fn note_request(&mut self) {
        self.saved = (self.saved + self.settings.ratio).min(self.settings.burst);
    }

    /// Takes one retry from the budget. Returns whether there was one.
    pub fn try_retry(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
