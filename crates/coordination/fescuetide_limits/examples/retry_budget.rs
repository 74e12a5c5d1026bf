//! Shows how a retry budget prevents a retry storm against a failing pool.

use fescuetide_limits::BudgetSettings;
use fescuetide_limits::RetryBudget;

fn main() {
    let mut budget = RetryBudget::new(BudgetSettings {
        ratio: 0.1,
        burst: 5.0,
    });
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.note_request();
        // Every request fails and tries to retry.
        if budget.try_retry() {
            retries += 1;
        }
    }
    println!("1000 failed requests led to {retries} retries");
}
