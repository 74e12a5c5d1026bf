//! Services that answer early, break off, or send a status that is none, behind a side process.

use std::time::Duration;

use fescuetide_bench::fleet::FleetProcesses;
use fescuetide_bench::fleet::FleetSettings;
use fescuetide_bench::fleet_faults::fault_settings;
use fescuetide_bench::process::wait_for;
use fescuetide_standin::early::EarlyAnswer;
use fescuetide_standin::early::EarlyEnd;
use fescuetide_standin::early::EarlyUpstream;
use fescuetide_wire::api::CLASS_HEADER;
use fescuetide_wire::api::WORKSPACE_HEADER;

/// Length of the body of a response, of which half is sent.
const BODY_LENGTH: usize = 32;

/// A fleet with one service, in whose place an early upstream answers.
struct EarlyFleet {
    fleet: FleetProcesses,
    upstream: EarlyUpstream,
    agent: ureq::Agent,
}

impl EarlyFleet {
    fn start() -> Self {
        let mut fleet = FleetProcesses::start(FleetSettings {
            services: 1,
            ..fault_settings(1, 0)
        })
        .expect("fleet starts");
        fleet.kill_upstream(0).expect("kill");
        let address = fleet.upstreams[0].upstream_address;
        let mut upstream = None;
        wait_for("free port", Duration::from_secs(30), || {
            upstream = EarlyUpstream::start(address).ok();
            upstream.is_some()
        })
        .expect("port");
        let config = ureq::Agent::config_builder().http_status_as_error(false);
        Self {
            fleet,
            upstream: upstream.expect("upstream"),
            agent: config.build().into(),
        }
    }

    /// Sends an upload of so many bytes, whose upstream answers so. Returns the status and the body that the caller gets.
    fn call(&self, upload: usize, answer: EarlyAnswer) -> (u16, String) {
        self.upstream.set_answer(answer);
        let router = self.fleet.router_addresses()[0];
        let request = self
            .agent
            .post(format!("http://{router}/svc/deck-api/check"))
            .header(WORKSPACE_HEADER, "workspace-1")
            .header(CLASS_HEADER, "chat");
        let mut response = request.send(&*vec![b'x'; upload]).expect("response");
        let body = response.body_mut().read_to_string().expect("body");
        (response.status().as_u16(), body)
    }
}

/// An answer with status 200 and these fields, of whose body `sent` bytes are sent.
fn answer(fields: &str, sent: usize, delay_ms: u64, end: EarlyEnd) -> EarlyAnswer {
    let body = "b".repeat(sent);
    EarlyAnswer {
        bytes: format!("HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n{fields}\r\n{body}"),
        delay: Duration::from_millis(delay_ms),
        end,
    }
}

/// Guards against a part of a response that a caller gets as the complete one: the service answers before it has read the upload, and
/// resets its connection while the upload is being written, or after it.
#[test]
fn response_that_breaks_off_is_no_success() {
    let fleet = EarlyFleet::start();
    let length = format!("content-length: {BODY_LENGTH}\r\n");
    let chunked = "transfer-encoding: chunked\r\n\r\n10\r\n";
    for upload in [10, 20_000, 1_000_000, 3_900_000] {
        for delay_ms in [0, 5, 50, 300] {
            for fields in ["", length.as_str(), chunked] {
                let answer = answer(fields, BODY_LENGTH / 2, delay_ms, EarlyEnd::Reset);
                let (status, body) = fleet.call(upload, answer);
                let what = format!("upload of {upload} bytes, {delay_ms} ms, {fields:?}: {body}");
                assert_eq!(status, 502, "{what}");
            }
        }
    }
}

/// Guards against whole responses that are taken for broken ones, since nothing but the end of the connection ends them.
#[test]
fn response_that_ends_with_its_connection_is_complete() {
    let fleet = EarlyFleet::start();
    for upload in [10, 1_000_000] {
        for end in [EarlyEnd::Shutdown, EarlyEnd::Kept] {
            let fields = match end {
                EarlyEnd::Kept => format!("content-length: {BODY_LENGTH}\r\n"),
                _ => String::new(),
            };
            let (status, body) = fleet.call(upload, answer(&fields, BODY_LENGTH, 5, end));
            assert_eq!((status, body.len()), (200, BODY_LENGTH), "{upload} {end:?}");
        }
    }
}

/// Guards against a status that callers get although it is none, or not that of a final response.
#[test]
fn status_that_is_none_is_not_passed_on() {
    let fleet = EarlyFleet::start();
    for status in [
        "000", "001", "099", "101", "199", "600", "999", "20", "+20", "1000",
    ] {
        let answer = EarlyAnswer {
            bytes: format!("HTTP/1.1 {status} X\r\ncontent-length: 4\r\n\r\npart"),
            delay: Duration::from_millis(20),
            end: EarlyEnd::Kept,
        };
        let (seen, body) = fleet.call(10, answer);
        assert_eq!(seen, 502, "{status}: {body}");
    }
}
