//! Tables of how requests ended, from log lines.

use fescuetide_bench::endings::EndingTable;
use fescuetide_bench::endings::RequestEnding;

const LOG: &str = r#"snapshot 1
   0.1 front-1 {"timestamp":"t","level":"INFO","message":"request sent","request":"a","time_left_ms":800,"attempt":1}
   0.2 front-1 {"timestamp":"t","level":"INFO","message":"retry denied by the budget","request":"a","pool":"p","burst":1}
   0.2 front-1 {"timestamp":"t","level":"INFO","message":"request ended","request":"a","route":"r","status":500,"attempts":1,"age_ms":60,"outcome":"relayed"}
   0.3 front-1 {"timestamp":"t","level":"INFO","message":"request ended","request":"b","route":"r","status":200,"attempts":1,"age_ms":9,"outcome":"relayed"}
   3.1 front-2 {"timestamp":"t","level":"INFO","message":"request ended","request":"c","route":"s","status":503,"attempts":0,"age_ms":1,"cause":"overloaded"}
   3.9 front-2 {"timestamp":"t","level":"INFO","message":"request ended","request":"d","route":"s","status":503,"attempts":0,"age_ms":1,"cause":"overloaded"}
day  own/srv  score
"#;

/// Guards against endings that are counted together although other decisions made them, or that served requests are among them.
#[test]
fn requests_are_counted_by_the_decision_that_ended_them() {
    let table = EndingTable::parse(LOG).unwrap();
    let endings: Vec<(&RequestEnding, usize)> = table
        .endings
        .iter()
        .map(|(ending, count)| (ending, count.requests))
        .collect();
    let overloaded = RequestEnding {
        route: "s".to_owned(),
        status: 503,
        decision: "overloaded".to_owned(),
        attempts: 0,
        was_retry_denied: false,
    };
    let denied = RequestEnding {
        route: "r".to_owned(),
        status: 500,
        decision: "relayed".to_owned(),
        attempts: 1,
        was_retry_denied: true,
    };
    assert_eq!(endings, [(&overloaded, 2), (&denied, 1)]);
    let text = table.render("day");
    assert!(text.contains("| s | 503 | overloaded | 0 |  | 2 | - | 2 from second 2 |"));
    assert!(text.contains("| r | 500 | relayed | 1 | yes | 1 | 740 | 1 from second 0 |"));
}

/// Guards against a log that is cut off in a line and counts as a whole one.
#[test]
fn line_that_is_cut_off_is_an_error_with_its_place() {
    let cut = &LOG[..LOG.len() - 120];
    let error = EndingTable::parse(cut).unwrap_err();
    assert!(error.to_string().contains("line 7"), "{error}");
}
