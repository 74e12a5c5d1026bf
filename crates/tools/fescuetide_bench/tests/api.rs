//! The HTTP interface for callers, tested with real processes.

use std::net::SocketAddr;

use fescuetide_base::ClassName;
use fescuetide_base::IdempotencyKey;
use fescuetide_bench::client::parse_outcome;
use fescuetide_bench::fleet::FleetProcesses;
use fescuetide_bench::fleet::FleetSettings;
use fescuetide_classes::ClassTargets;
use fescuetide_standin::journal::read_journal;
use fescuetide_wire::api::CallOutcome;
use fescuetide_wire::api::ErrorBody;
use serde_json::Value;
use serde_json::json;
use ureq::Agent;
use ureq::Body;
use ureq::http::Response;

const BODY_LIMIT_BYTES: usize = 20_000;

struct ApiCase {
    name: &'static str,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: String,
    status: u16,
    field: &'static str,
}

fn class(name: &str, repeatable: bool) -> (ClassName, ClassTargets) {
    let targets = ClassTargets {
        repeatable,
        ..ClassTargets::default()
    };
    (name.parse().expect("class name"), targets)
}

fn start_fleet() -> FleetProcesses {
    FleetProcesses::start(FleetSettings {
        routers: 1,
        engines: 2,
        services: 1,
        classes: vec![class("chat", true), class("export", false)],
        router_lines: vec![format!("body_limit_bytes = {BODY_LIMIT_BYTES}")],
        ..FleetSettings::default()
    })
    .expect("fleet starts")
}

fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into()
}

fn post(router: SocketAddr, path: &str, headers: &[(&str, String)], body: &str) -> Response<Body> {
    let mut request = agent().post(format!("http://{router}{path}"));
    for (name, value) in headers {
        request = request.header(*name, value);
    }
    request.send(body).expect("router answers")
}

fn good_headers() -> Vec<(&'static str, String)> {
    vec![
        ("fescuetide-workspace", "w-1".to_owned()),
        ("fescuetide-class", "chat".to_owned()),
    ]
}

fn good_body() -> String {
    json!({ "model": "m", "max_tokens": 4, "messages": [{ "role": "user", "content": "one two" }] })
        .to_string()
}

fn bad_cases() -> Vec<ApiCase> {
    let case = |name, headers, body: &str, status, field| ApiCase {
        name,
        path: "/v1/chat/completions",
        headers,
        body: body.to_owned(),
        status,
        field,
    };
    let with = |name: &'static str, value: &str| {
        let mut headers = good_headers();
        headers.retain(|(known, _)| *known != name);
        headers.push((name, value.to_owned()));
        headers
    };
    let without = |name: &str| {
        let mut headers = good_headers();
        headers.retain(|(known, _)| *known != name);
        headers
    };
    let body = good_body();
    let long = format!("{{\"x\": \"{}\"}}", "a".repeat(BODY_LIMIT_BYTES));
    let class_field = "header fescuetide-class";
    let key_field = "header idempotency-key";
    let mut cases = vec![
        case(
            "no class",
            without("fescuetide-class"),
            &body,
            400,
            class_field,
        ),
        case(
            "unknown class",
            with("fescuetide-class", "none"),
            &body,
            400,
            class_field,
        ),
        case(
            "bad class",
            with("fescuetide-class", "a b"),
            &body,
            400,
            class_field,
        ),
        case(
            "no workspace",
            without("fescuetide-workspace"),
            &body,
            400,
            "header fescuetide-workspace",
        ),
        case(
            "no key",
            with("fescuetide-class", "export"),
            &body,
            400,
            key_field,
        ),
        case(
            "bad deadline",
            with("fescuetide-deadline-ms", "soon"),
            &body,
            400,
            "header fescuetide-deadline-ms",
        ),
        case(
            "zero deadline",
            with("fescuetide-deadline-ms", "0"),
            &body,
            400,
            "header fescuetide-deadline-ms",
        ),
        case("malformed JSON", good_headers(), "{", 400, "body"),
        case(
            "no messages",
            good_headers(),
            "{\"model\":\"m\",\"messages\":[]}",
            400,
            "body messages",
        ),
        case("no model", good_headers(), "{\"messages\":[]}", 400, "body"),
        case("over-long body", good_headers(), &long, 413, "body"),
    ];
    for (name, key) in [
        ("malformed key", "x".to_owned()),
        (
            "key without time",
            "00000000-0000-4000-8000-000000000000".to_owned(),
        ),
    ] {
        let mut headers = with("fescuetide-class", "export");
        headers.push(("idempotency-key", key));
        cases.push(case(name, headers, &body, 400, key_field));
    }
    cases.push(ApiCase {
        name: "unknown pool",
        path: "/svc/none/x",
        headers: good_headers(),
        body: String::new(),
        status: 400,
        field: "path",
    });
    cases
}

/// Guards against invalid requests that are executed, or whose error does not name the field.
#[test]
fn bad_input_is_rejected_with_its_field_and_nothing_runs() {
    let fleet = start_fleet();
    let router = fleet.router_addresses()[0];
    for case in bad_cases() {
        let mut response = post(router, case.path, &case.headers, &case.body);
        assert_eq!(response.status().as_u16(), case.status, "{}", case.name);
        assert_eq!(
            parse_outcome(&response),
            Some(CallOutcome::NotRun),
            "{}",
            case.name
        );
        let error: ErrorBody = response.body_mut().read_json().expect("JSON error");
        assert_eq!(
            error.error.field.as_deref(),
            Some(case.field),
            "{}",
            case.name
        );
    }
    for node in &fleet.upstreams {
        let lines = read_journal(&node.journal).expect("journal");
        assert!(lines.is_empty(), "{} ran {lines:?}", node.vm.name);
    }
}

/// Guards against validation that reports only the first finding.
#[test]
fn all_findings_of_a_request_are_reported_together() {
    let fleet = start_fleet();
    let router = fleet.router_addresses()[0];
    let mut response = post(router, "/v1/chat/completions", &[], "{");
    let error: ErrorBody = response.body_mut().read_json().expect("JSON error");
    assert_eq!(
        error.error.message.lines().count(),
        3,
        "{}",
        error.error.message
    );
}

/// Guards against responses without request id, outcome or attempt count, and against a wrong JSON format.
#[test]
fn whole_response_has_its_labels_and_usage() {
    let fleet = start_fleet();
    let router = fleet.router_addresses()[0];
    let mut response = post(
        router,
        "/v1/chat/completions",
        &good_headers(),
        &good_body(),
    );
    assert_eq!(response.status().as_u16(), 200);
    assert_eq!(parse_outcome(&response), Some(CallOutcome::Completed));
    assert!(response.headers().contains_key("fescuetide-request"));
    assert_eq!(response.headers()["fescuetide-attempts"], "1");
    let value: Value = response.body_mut().read_json().expect("JSON");
    assert_eq!(value["object"], "chat.completion");
    assert_eq!(value["usage"]["completion_tokens"], 4);
    let text = value["choices"][0]["message"]["content"].as_str();
    assert_eq!(text.expect("content").split_whitespace().count(), 4);
}

/// Guards against changes to the method, path, query or body of a forwarded service call.
#[test]
fn service_call_passes_through() {
    let fleet = start_fleet();
    let router = fleet.router_addresses()[0];
    let key = IdempotencyKey::generate().to_string();
    let headers = [
        ("fescuetide-workspace", "w-1".to_owned()),
        ("fescuetide-class", "export".to_owned()),
        ("idempotency-key", key.clone()),
    ];
    let mut response = post(
        router,
        "/svc/deck-api/exports/7?format=pdf",
        &headers,
        "body",
    );
    assert_eq!(response.status().as_u16(), 200);
    let value: Value = response.body_mut().read_json().expect("JSON");
    assert_eq!(value["path"], "/exports/7");
    let service = fleet.upstreams.last().expect("service");
    let lines = read_journal(&service.journal).expect("journal");
    assert!(
        lines
            .iter()
            .all(|line| line.key.as_deref() == Some(key.as_str()))
    );
    assert_eq!(lines.len(), 2, "{lines:?}");
}

/// Guards against requests above the stream limit that wait for a worker instead of being refused immediately.
#[test]
fn request_above_the_stream_limit_is_refused_at_once() {
    let fleet = FleetProcesses::start(FleetSettings {
        routers: 1,
        engines: 1,
        services: 0,
        classes: vec![class("chat", true)],
        engine_options: ["--step-ms", "200"].map(str::to_owned).to_vec(),
        router_lines: vec!["stream_limit = 1".to_owned()],
        ..FleetSettings::default()
    })
    .expect("fleet starts");
    let router = fleet.router_addresses()[0];
    let body = json!({
        "model": "m", "max_tokens": 200, "stream": true,
        "messages": [{ "role": "user", "content": "one" }],
    });
    let open = post(
        router,
        "/v1/chat/completions",
        &good_headers(),
        &body.to_string(),
    );
    assert_eq!(open.status().as_u16(), 200);
    let refused = post(
        router,
        "/v1/chat/completions",
        &good_headers(),
        &good_body(),
    );
    assert_eq!(refused.status().as_u16(), 503);
    assert_eq!(parse_outcome(&refused), Some(CallOutcome::NotRun));
    assert!(refused.headers().contains_key("retry-after"));
    drop(open);
}
