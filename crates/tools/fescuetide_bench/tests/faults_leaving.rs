//! VMs that leave and processes that receive SIGTERM.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use fescuetide_base::ClockMillis;
use fescuetide_bench::fault_client::StreamCall;
use fescuetide_bench::fault_client::StreamResult;
use fescuetide_bench::fleet::FleetProcesses;
use fescuetide_bench::fleet::FleetSettings;
use fescuetide_bench::fleet::is_ready;
use fescuetide_bench::fleet_faults::fault_settings;
use fescuetide_bench::oracle::check_outcome;
use fescuetide_bench::oracle::content_hash;
use fescuetide_bench::oracle::latest_upstream;
use fescuetide_bench::oracle::run_count;
use fescuetide_bench::process::SignalKind;
use fescuetide_bench::process::wait_for;
use fescuetide_standin::journal::JournalEvent;
use fescuetide_standin::journal::read_journal;
use fescuetide_wire::api::CallOutcome;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

fn assert_completed(fleet: &FleetProcesses, result: &StreamResult) {
    assert_eq!(result.outcome, Some(CallOutcome::Completed), "{result:?}");
    check_outcome(fleet, result).expect("the outcome agrees with the journals");
}

fn runs(fleet: &FleetProcesses, result: &StreamResult) -> usize {
    run_count(fleet, content_hash(&result.messages)).expect("journals")
}

/// Guards against new work on a leaving VM, and against streams that are interrupted when their VM leaves.
#[test]
fn leaving_vm_finishes_its_work_and_gets_no_more() {
    // Polling the list every 200 ms instead of every second keeps a busy machine within the limit of 3 s.
    let interval = vec!["vm_list_interval_ms = 200".to_owned()];
    let mut fleet = FleetProcesses::start(FleetSettings {
        router_lines: interval.clone(),
        side_lines: interval,
        ..fault_settings(2, 2)
    })
    .expect("fleet starts");
    let routers = fleet.router_addresses();
    let call = StreamCall::new(routers[0], "leaving", 150);
    let content = content_hash(&call.messages());
    let stream = thread::spawn(move || call.run());
    wait_for("start of the stream", WAIT_TIMEOUT, || {
        latest_upstream(&fleet, content).is_ok()
    })
    .expect("stream");
    let index = latest_upstream(&fleet, content).expect("runner");
    fleet.mark_leaving(index, true).expect("VM list");
    thread::sleep(Duration::from_secs(3));
    let limit = ClockMillis::now().as_millis();
    for turn in 0..12 {
        let call = StreamCall::new(routers[turn % 2], &format!("new work {turn}"), 3);
        assert_completed(&fleet, &call.run());
    }
    let result = stream.join().expect("caller");
    assert_completed(&fleet, &result);
    assert_eq!(result.attempts, 1, "the stream had to move");
    assert_eq!(runs(&fleet, &result), 1, "the stream had to move");
    for line in read_journal(&fleet.upstreams[index].journal).expect("journal") {
        let late = line.event == JournalEvent::Start && line.at_ms > limit;
        assert!(!late, "new work for a leaving VM: {line:?}");
    }
}

/// Guards against a router that interrupts streams on SIGTERM, or that does not exit.
#[test]
fn terminated_router_finishes_its_streams_and_exits() {
    let mut fleet = FleetProcesses::start(fault_settings(2, 2)).expect("fleet starts");
    let routers = fleet.router_addresses();
    let mut callers = Vec::new();
    for caller in 0..3 {
        let call = StreamCall::new(routers[0], &format!("router stops {caller}"), 100);
        callers.push(thread::spawn(move || call.run()));
    }
    thread::sleep(Duration::from_millis(500));
    fleet
        .signal_router(0, SignalKind::Terminate)
        .expect("signal");
    wait_for("end of readiness", WAIT_TIMEOUT, || !is_ready(routers[0])).expect("not ready");
    for caller in callers {
        assert_completed(&fleet, &caller.join().expect("caller"));
    }
    let process = fleet.routers[0].process.as_mut().expect("process");
    assert!(
        process.wait_ended(WAIT_TIMEOUT).expect("wait"),
        "router still runs"
    );
}

/// Guards against a router that exits before a slow caller has received the end of its response.
#[test]
fn terminated_router_waits_for_slow_callers() {
    let mut fleet = FleetProcesses::start(FleetSettings {
        engine_options: vec!["--step-ms".to_owned(), "0".to_owned()],
        ..fault_settings(1, 1)
    })
    .expect("fleet starts");
    let router = fleet.router_addresses()[0];
    let mut stream = send_request(router, 60_000);
    // The router sends the head once it has received the whole response.
    wait_for("the response", WAIT_TIMEOUT, || {
        stream.peek(&mut [0]).is_ok_and(|length| length > 0)
    })
    .expect("response");
    fleet
        .signal_router(0, SignalKind::Terminate)
        .expect("signal");
    // Long enough for a router that does not wait to exit.
    thread::sleep(Duration::from_secs(2));
    let mut text = String::new();
    let read = stream.read_to_string(&mut text);
    assert!(read.is_ok(), "{read:?} after {} bytes", text.len());
    let (_, body) = text.split_once("\r\n\r\n").expect("head");
    assert!(body.len() > 60_000 * 6, "{} bytes", body.len());
    assert!(body.ends_with('}'), "response ends in its middle");
    let process = fleet.routers[0].process.as_mut().expect("process");
    assert!(
        process.wait_ended(WAIT_TIMEOUT).expect("wait"),
        "router still runs"
    );
}

/// Requests a non-streamed response over a connection with small buffers, so that most of it stays buffered in the
/// router.
fn send_request(router: SocketAddr, max_tokens: u32) -> TcpStream {
    let body = format!(
        "{{\"model\":\"deck-1\",\"max_tokens\":{max_tokens},\
         \"messages\":[{{\"role\":\"user\",\"content\":\"slow caller\"}}]}}"
    );
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\nfescuetide-workspace: workspace-1\r\n\
         fescuetide-class: chat\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket");
    socket.set_recv_buffer_size(4 * 1024).expect("buffer size");
    // The send buffer scales with the segment size, which is 64 KiB on loopback.
    socket.set_tcp_mss(1_000).expect("segment size");
    socket.connect(&router.into()).expect("connection");
    let mut stream = TcpStream::from(socket);
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("timeout");
    stream.write_all(head.as_bytes()).expect("head");
    stream.write_all(body.as_bytes()).expect("body");
    stream
}

/// Guards against a side process that interrupts streams on SIGTERM, or that does not exit.
#[test]
fn terminated_side_process_finishes_its_streams_and_exits() {
    let mut fleet = FleetProcesses::start(fault_settings(1, 2)).expect("fleet starts");
    let router = fleet.router_addresses()[0];
    let call = StreamCall::new(router, "side stops", 100);
    let content = content_hash(&call.messages());
    let stream = thread::spawn(move || call.run());
    wait_for("start of the stream", WAIT_TIMEOUT, || {
        latest_upstream(&fleet, content).is_ok()
    })
    .expect("stream");
    let index = latest_upstream(&fleet, content).expect("runner");
    fleet
        .signal_side(index, SignalKind::Terminate)
        .expect("signal");
    for turn in 0..6 {
        let call = StreamCall::new(router, &format!("meanwhile {turn}"), 3);
        assert_completed(&fleet, &call.run());
    }
    let result = stream.join().expect("caller");
    assert_completed(&fleet, &result);
    assert_eq!(result.attempts, 1, "the stream had to move");
    assert_eq!(runs(&fleet, &result), 1, "the stream had to move");
    let process = fleet.upstreams[index].side.as_mut().expect("process");
    assert!(
        process.wait_ended(WAIT_TIMEOUT).expect("wait"),
        "side process still runs"
    );
}
