//! Retry budgets per workspace and class.

use fescuetide_base::ClassName;
use fescuetide_base::WorkspaceName;
use fescuetide_limits::BudgetSettings;
use fescuetide_limits::RetryBudget;
use indexmap::IndexMap;

use super::CallMetadata;

/// Maximum number of retry budgets that are kept.
const BUDGET_LIMIT: usize = 8_192;

/// Retry budgets per workspace and class, so that the retries of one workspace and class during an outage do not use up
/// those of another.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    budgets: IndexMap<(WorkspaceName, ClassName), RetryBudget>,
}

impl RetryBudgets {
    /// The budget of a request's workspace and class.
    pub(crate) fn budget(&mut self, metadata: &CallMetadata) -> &mut RetryBudget {
        let key = (metadata.workspace.clone(), metadata.class.clone());
        if self.budgets.len() >= BUDGET_LIMIT && !self.budgets.contains_key(&key) {
            self.budgets.shift_remove_index(0);
        }
        self.budgets
            .entry(key)
            .or_insert_with(|| RetryBudget::new(BudgetSettings::default()))
    }
}
