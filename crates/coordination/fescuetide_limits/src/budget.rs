//! Retry budgets.

/// Settings of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries earned per first attempt.
    pub ratio: f64,
    /// Maximum number of unused retries that accumulate.
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

/// Limits retries to a fraction of first attempts, which prevents retry storms against a failing pool.
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
    available: f64,
}

impl RetryBudget {
    /// Creates a budget whose full burst is available.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            available: settings.burst,
        }
    }

    /// Creates a budget without any retries, which have to be earned.
    pub fn empty(settings: BudgetSettings) -> Self {
        Self {
            settings,
            available: 0.0,
        }
    }

    /// The current settings.
    pub fn settings(&self) -> BudgetSettings {
        self.settings
    }

    /// Changes the settings. Unused retries above the new burst are discarded.
    pub fn set(&mut self, settings: BudgetSettings) {
        self.settings = settings;
        self.available = self.available.min(settings.burst);
    }

    /// Makes the full burst available.
    pub fn fill(&mut self) {
        self.available = self.settings.burst;
    }

    /// Records a first attempt, which adds [`ratio`](BudgetSettings::ratio) retries to the budget.
    pub fn note_request(&mut self) {
        self.available = (self.available + self.settings.ratio).min(self.settings.burst);
    }

    /// Takes one retry from the budget. Returns `false` if none is left.
    pub fn try_retry(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
