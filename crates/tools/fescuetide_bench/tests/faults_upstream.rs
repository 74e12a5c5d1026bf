//! Upstreams that respond with redirects or errors.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use fescuetide_bench::fault_client::StreamCall;
use fescuetide_bench::fleet::FleetProcesses;
use fescuetide_bench::fleet::FleetSettings;
use fescuetide_bench::fleet_faults::fault_settings;
use fescuetide_bench::oracle::check_outcome;
use fescuetide_bench::oracle::content_hash;
use fescuetide_bench::oracle::latest_upstream;
use fescuetide_bench::process::SignalKind;
use fescuetide_bench::process::wait_for;
use fescuetide_wire::api::CLASS_HEADER;
use fescuetide_wire::api::CallOutcome;
use fescuetide_wire::api::WORKSPACE_HEADER;

/// Answers every request at `address` with the same bytes. Returns a counter of the requests.
fn serve_fixed(address: SocketAddr, response: &'static str) -> Arc<AtomicUsize> {
    let count = Arc::new(AtomicUsize::new(0));
    let mut listener = None;
    wait_for("free port", Duration::from_secs(30), || {
        listener = TcpListener::bind(address).ok();
        listener.is_some()
    })
    .expect("port");
    let listener = listener.expect("listener");
    let counter = Arc::clone(&count);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            counter.fetch_add(1, Ordering::AcqRel);
            // Errors are ignored: the side process may abort its request.
            let _ = answer(stream, response);
        }
    });
    count
}

fn answer(stream: TcpStream, response: &str) -> std::io::Result<()> {
    let mut reader = BufReader::new(&stream);
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? <= 2 {
            break;
        }
        let line = line.to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    reader.read_exact(&mut vec![0; length])?;
    (&stream).write_all(response.as_bytes())
}

/// Guards against a side process that follows a redirect of a service, which would call the service a second time.
#[test]
fn redirect_of_a_service_is_passed_on() {
    let mut fleet = FleetProcesses::start(FleetSettings {
        services: 1,
        ..fault_settings(1, 0)
    })
    .expect("fleet starts");
    fleet.kill_upstream(0).expect("kill");
    let count = serve_fixed(
        fleet.upstreams[0].upstream_address,
        "HTTP/1.1 307 Temporary Redirect\r\nlocation: /elsewhere\r\ncontent-length: 0\r\n\
         connection: close\r\n\r\n",
    );
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .build()
        .into();
    let url = format!("http://{}/svc/deck-api/check", fleet.router_addresses()[0]);
    let request = agent.post(url).header(WORKSPACE_HEADER, "workspace-1");
    let response = request.header(CLASS_HEADER, "chat").send("body");
    assert_eq!(response.expect("response").status(), 307);
    assert_eq!(count.load(Ordering::Acquire), 1);
}

/// Guards against an error response of a later attempt that is appended to the text of an earlier one, and against
/// retries of a request that every engine refuses.
#[test]
fn error_of_a_later_attempt_is_not_appended_to_the_text() {
    let fleet = FleetProcesses::start(fault_settings(1, 2)).expect("fleet starts");
    let call = StreamCall::new(fleet.router_addresses()[0], "error later", 60);
    let content = content_hash(&call.messages());
    let mut asked = None;
    let result = call.run_with(|tokens| {
        if tokens == 10 {
            let index = latest_upstream(&fleet, content).expect("runner");
            let other = 1 - index;
            fleet.signal_upstream(other, SignalKind::Kill).expect("signal");
            asked = Some(serve_fixed(
                fleet.upstreams[other].upstream_address,
                "HTTP/1.1 400 Bad Request\r\ncontent-length: 9\r\nconnection: close\r\n\r\nbad input",
            ));
            fleet.signal_upstream(index, SignalKind::Kill).expect("signal");
        }
        true
    });
    check_outcome(&fleet, &result).expect("the outcome agrees with the journals");
    assert_eq!(result.outcome, Some(CallOutcome::Failed), "{result:?}");
    assert!(result.text.len() >= 60, "{result:?}");
    let asked = asked.expect("10 tokens").load(Ordering::Acquire);
    assert_eq!(asked, 1, "the request was retried after a final refusal");
}

/// Number of requests that may reach an upstream in a pause that it asked for.
const ALLOWED_IN_PAUSE: usize = 2;

/// Guards against requests that reach an upstream which turned one away and asked for a pause, although others have room.
#[test]
fn upstream_that_asked_for_a_pause_is_left_alone() {
    let mut fleet = FleetProcesses::start(fault_settings(2, 2)).expect("fleet starts");
    let routers = fleet.router_addresses();
    fleet.kill_upstream(0).expect("kill");
    let count = serve_fixed(
        fleet.upstreams[0].upstream_address,
        "HTTP/1.1 503 Service Unavailable\r\nretry-after: 300\r\ncontent-length: 0\r\n\
         connection: close\r\n\r\n",
    );
    let mut turn = 0;
    while count.load(Ordering::Acquire) == 0 {
        assert!(turn < 200, "the upstream got no request");
        let call = StreamCall::new(routers[turn % 2], &format!("first {turn}"), 3);
        check_outcome(&fleet, &call.run()).expect("the outcome agrees with the journals");
        turn += 1;
    }
    let before = count.load(Ordering::Acquire);
    for turn in 0..40 {
        let call = StreamCall::new(routers[turn % 2], &format!("next {turn}"), 3);
        let result = call.run();
        assert_eq!(result.outcome, Some(CallOutcome::Completed), "{result:?}");
    }
    let in_pause = count.load(Ordering::Acquire) - before;
    assert!(in_pause <= ALLOWED_IN_PAUSE, "{in_pause} requests");
}
