//! Requests that crash every engine that runs them, tested with real processes.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use fescuetide_base::ClassName;
use fescuetide_bench::client::parse_outcome;
use fescuetide_bench::fleet::FleetProcesses;
use fescuetide_bench::fleet::FleetSettings;
use fescuetide_classes::ClassTargets;
use fescuetide_wire::api::CLASS_HEADER;
use fescuetide_wire::api::CallOutcome;
use fescuetide_wire::api::WORKSPACE_HEADER;
use serde_json::json;

/// Prompt text that makes engines exit.
const MARKER: &str = "poison";

/// Time in which the list of refused requests reaches the other router: ten exchange intervals.
const EXCHANGE_SPAN: Duration = Duration::from_secs(5);

fn send(address: SocketAddr, text: &str, tokens: u32) -> (Option<CallOutcome>, Option<u64>) {
    let body = json!({
        "model": "deck-1",
        "max_tokens": tokens,
        "messages": [{ "role": "user", "content": text }],
    });
    let response = ureq::post(format!("http://{address}/v1/chat/completions"))
        .config()
        .http_status_as_error(false)
        .build()
        .header(WORKSPACE_HEADER, "workspace-1")
        .header(CLASS_HEADER, "chat")
        .send_json(&body)
        .expect("router answers");
    let wait = response.headers().get("retry-after");
    let wait = wait.and_then(|value| value.to_str().ok()?.parse().ok());
    (parse_outcome(&response), wait)
}

fn live_engines(fleet: &FleetProcesses) -> usize {
    let health = fleet.upstreams.iter().map(|node| node.upstream_address);
    health
        .filter(|address| ureq::get(format!("http://{address}/health")).call().is_ok())
        .count()
}

/// Guards against a request that crashes more than two engines, also when it is resent to another router, and against
/// the loss of other requests that run on the same engines.
#[test]
fn crashing_request_is_refused_and_others_complete() {
    let class: ClassName = "chat".parse().expect("class name");
    let targets = ClassTargets {
        repeatable: true,
        ..ClassTargets::default()
    };
    let fleet = FleetProcesses::start(FleetSettings {
        routers: 2,
        engines: 4,
        services: 0,
        classes: vec![(class, targets)],
        ..FleetSettings::default()
    })
    .expect("fleet starts");
    for node in &fleet.upstreams {
        ureq::put(format!("http://{}/faults", node.upstream_address))
            .send_json(json!({ "crash_marker": MARKER }))
            .expect("engine takes the fault");
    }
    let routers = fleet.router_addresses();
    let router = routers[0];
    // Six requests of 2 s on four engines, so that some run on the engines that crash.
    let others: Vec<_> = (0..6)
        .map(|index| thread::spawn(move || send(router, &format!("request {index}"), 100)))
        .collect();
    thread::sleep(Duration::from_millis(500));
    assert_eq!(send(router, MARKER, 10).0, Some(CallOutcome::Failed));
    assert_eq!(live_engines(&fleet), 2);
    for other in others {
        let (outcome, _) = other.join().expect("caller");
        assert_eq!(outcome, Some(CallOutcome::Completed));
    }
    thread::sleep(EXCHANGE_SPAN);
    for router in routers {
        let (outcome, wait) = send(router, MARKER, 10);
        assert_eq!(outcome, Some(CallOutcome::NotRun));
        assert!(
            wait.is_some_and(|seconds| (60..=600).contains(&seconds)),
            "{wait:?}"
        );
    }
    assert_eq!(live_engines(&fleet), 2);
}
