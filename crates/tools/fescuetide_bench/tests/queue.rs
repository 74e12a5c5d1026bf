//! The queue of a side process that receives more work than its engine can complete in time.

use std::thread;

use fescuetide_base::ClassName;
use fescuetide_base::SpanMillis;
use fescuetide_bench::client::parse_outcome;
use fescuetide_bench::fleet::FleetProcesses;
use fescuetide_bench::fleet::FleetSettings;
use fescuetide_classes::ClassTargets;
use fescuetide_classes::LatenessTarget;
use fescuetide_wire::api::CLASS_HEADER;
use fescuetide_wire::api::CallOutcome;
use fescuetide_wire::api::WORKSPACE_HEADER;
use serde_json::json;

/// Sends a request and returns its outcome and the value of `Retry-After`.
fn send(address: std::net::SocketAddr, index: usize) -> (Option<CallOutcome>, Option<u64>) {
    let body = json!({
        "model": "deck-1",
        "max_tokens": 25,
        "messages": [{ "role": "user", "content": format!("request {index}") }],
    });
    let response = ureq::post(format!("http://{address}/v1/chat/completions"))
        .config()
        .http_status_as_error(false)
        .build()
        .header(WORKSPACE_HEADER, format!("workspace-{}", index % 3))
        .header(CLASS_HEADER, "chat")
        .send_json(&body)
        .expect("router answers");
    let wait = response.headers().get("retry-after");
    let wait = wait.and_then(|value| value.to_str().ok()?.parse().ok());
    (parse_outcome(&response), wait)
}

/// Guards against late responses instead of early refusals, a refusal without `Retry-After`, a request that is reported
/// as not run but ran, and a batch that exceeds its slots.
#[test]
fn work_that_would_be_late_is_refused_and_does_not_run() {
    let class: ClassName = "chat".parse().expect("class name");
    let targets = ClassTargets {
        lateness: LatenessTarget {
            within: SpanMillis::new(1_500),
            ..LatenessTarget::default()
        },
        repeatable: true,
        ..ClassTargets::default()
    };
    // A request takes 25 steps of 20 ms, so that about three of twelve start within the target.
    let fleet = FleetProcesses::start(FleetSettings {
        routers: 1,
        engines: 1,
        services: 0,
        classes: vec![(class, targets)],
        side_lines: vec!["slots = 1".to_owned()],
        ..FleetSettings::default()
    })
    .expect("fleet starts");
    let address = fleet.router_addresses()[0];
    assert_eq!(send(address, 0).0, Some(CallOutcome::Completed));
    let callers: Vec<_> = (1..=12)
        .map(|index| thread::spawn(move || send(address, index)))
        .collect();
    let results = callers
        .into_iter()
        .map(|caller| caller.join().expect("caller"));
    let mut completed = 1;
    let mut refused = 0;
    for (outcome, wait) in results {
        match outcome {
            Some(CallOutcome::Completed) => completed += 1,
            Some(CallOutcome::NotRun) => {
                refused += 1;
                assert!(wait.is_some_and(|seconds| seconds >= 1), "{wait:?}");
            }
            other => panic!("unexpected outcome {other:?}"),
        }
    }
    assert!(refused >= 1, "all {completed} requests ran");
    let journal = std::fs::read_to_string(&fleet.upstreams[0].journal).expect("journal");
    let mut running: u32 = 0;
    let mut starts = 0;
    for line in journal.lines() {
        if line.contains("\"start\"") {
            starts += 1;
            running += 1;
        } else if line.contains("\"done\"") || line.contains("\"cancelled\"") {
            running -= 1;
        }
        assert!(running <= 1, "engine ran {running} requests at once");
    }
    assert_eq!(starts, completed);
}
