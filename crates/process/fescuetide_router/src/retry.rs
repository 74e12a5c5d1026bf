//! Retry budgets.

use std::sync::Mutex;
use std::sync::PoisonError;

use fescuetide_base::ClassName;
use fescuetide_base::WorkspaceName;
use fescuetide_limits::BudgetSettings;
use fescuetide_limits::RetryBudget;
use indexmap::IndexMap;

use crate::call::CallSpec;

/// Most workspaces and classes whose retry budgets are kept.
const BUDGET_LIMIT: usize = 8_192;

/// Retry budgets per workspace and class.
#[derive(Debug, Default)]
pub(crate) struct RetryLedger {
    budgets: Mutex<IndexMap<(WorkspaceName, ClassName), RetryBudget>>,
}

impl RetryLedger {
    /// Gives access to the budget of a request's workspace and class.
    pub(crate) fn with_budget<T>(
        &self,
        spec: &CallSpec,
        action: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let place = (spec.workspace.clone(), spec.class.clone());
        if budgets.len() >= BUDGET_LIMIT && !budgets.contains_key(&place) {
            budgets.shift_remove_index(0);
        }
        let budget = budgets
            .entry(place)
            .or_insert_with(|| RetryBudget::new(BudgetSettings::default()));
        action(budget)
    }
}
