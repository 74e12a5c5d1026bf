//! Rendering of the worth tables.

use fescuetide_bench::worth::render;
use fescuetide_platform_report::DayReport;
use fescuetide_platform_report::ReportRow;
use fescuetide_platform_report::WorthComponent;
use fescuetide_platform_report::WorthCost;

/// Guards against a table that omits a price, or that selects a window without owed requests as the worst.
#[test]
fn table_shows_kinds_prices_and_the_worst_window() {
    let row = |name: &str, requests, not_owed, worth| ReportRow {
        name: name.to_owned(),
        requests,
        not_owed,
        worth,
        ..ReportRow::default()
    };
    let day = DayReport {
        worth: 0.8,
        components: vec![WorthComponent {
            name: "whole day".to_owned(),
            weight: 0.7,
            value: 0.9,
        }],
        costs: vec![
            WorthCost {
                name: "store calls".to_owned(),
                amount: 844.0,
                deduction: 0.0086,
            },
            WorthCost {
                name: "exits".to_owned(),
                amount: 0.0,
                deduction: 0.0,
            },
        ],
        classes: vec![row("hint", 10, 0, 0.95)],
        windows: vec![
            row("0", 5, 0, 0.9),
            row("2", 5, 0, 0.4),
            row("4", 5, 5, 0.0),
        ],
    };
    let text = render("day", &day);
    assert!(text.contains("| hint | 10 |"));
    assert!(text.contains("| whole day | 0.7 | +0.630 |"));
    assert!(text.contains("| store calls | 844.0 | -0.0086 |"));
    assert!(!text.contains("exits"));
    assert!(text.contains("from second 2, worth 0.400"));
}
