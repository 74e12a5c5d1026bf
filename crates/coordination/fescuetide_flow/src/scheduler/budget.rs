//! This gateway's part of the retry budget that all gateways share.

use fescuetide_base::ClockMillis;
use fescuetide_limits::BudgetSettings;
use fescuetide_limits::RetryBudget;

use super::RequestScheduler;
use crate::FlowNotice;

impl RequestScheduler {
    /// Sets the number of gateways, including this one. Each uses at most an equal part of the shared retry burst.
    pub fn set_gateway_count(&mut self, gateways: usize) {
        self.share.set_gateway_count(gateways);
        self.set_budgets();
    }

    /// This gateway's part of the shared retry budget.
    pub fn own_budget(&self) -> BudgetSettings {
        let retries = self.settings.retries;
        BudgetSettings {
            burst: retries.burst * self.share.get(),
            ..retries
        }
    }

    /// The budget of a pool that is new to this gateway.
    pub(super) fn new_budget(&self) -> RetryBudget {
        let settings = self.own_budget();
        match self.has_burst {
            true => RetryBudget::new(settings),
            false => RetryBudget::empty(settings),
        }
    }

    /// Fills the retry budgets once this gateway has run for the time in which retries are limited. The process that ran
    /// here before may have used its burst just before it ended.
    pub(super) fn grant_burst(&mut self, now: ClockMillis) {
        let started_at = *self.started_at.get_or_insert(now);
        if self.has_burst || now.since(started_at) < self.settings.retry_window {
            return;
        }
        self.has_burst = true;
        for pool in self.pools.values_mut() {
            pool.budget.fill();
        }
        let burst = self.own_budget().burst;
        self.notices.push(FlowNotice::BurstGranted { burst });
    }

    /// Updates this gateway's traffic share from the pool with the most requests, and its retry budgets accordingly.
    pub(super) fn share_budgets(&mut self, now: ClockMillis) {
        self.grant_burst(now);
        if !self.share.is_due(now) {
            return;
        }
        let totals = self.pools.values().map(|pool| pool.request_totals(now));
        if let Some((own, all)) = totals.max_by_key(|(_, all)| *all) {
            self.share.sample(own, all, now);
        }
        self.set_budgets();
    }

    fn set_budgets(&mut self) {
        let budget = self.own_budget();
        for pool in self.pools.values_mut() {
            pool.budget.set(budget);
        }
    }
}
