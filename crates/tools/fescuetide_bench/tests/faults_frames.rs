//! Side processes that violate the framed protocol. The router must not forward their bytes as a response.

use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;

use fescuetide_base::AttemptId;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_bench::fault_client::StreamCall;
use fescuetide_bench::fault_client::StreamResult;
use fescuetide_bench::fleet::FleetProcesses;
use fescuetide_bench::fleet::is_ready;
use fescuetide_bench::fleet_faults::fault_settings;
use fescuetide_bench::process::wait_for;
use fescuetide_net::FrameError;
use fescuetide_net::FramedStream;
use fescuetide_wire::api::CallOutcome;
use fescuetide_wire::frame::AttemptEnding;
use fescuetide_wire::frame::AttemptTag;
use fescuetide_wire::frame::BodySeal;
use fescuetide_wire::frame::RouterFrame;
use fescuetide_wire::frame::SideFrame;

const ENDING: AttemptEnding = AttemptEnding::Completed {
    prompt_tokens: 1,
    cached_tokens: 0,
    completion_tokens: 2,
};

/// Sends the rest of a response, from an offset, over a connection. The last argument is the number of earlier
/// connections.
type Script = fn(&mut FramedStream, AttemptTag, u64, u32) -> Result<(), FrameError>;

/// Runs a request against a router whose only side process is scripted.
fn run_scripted(script: Script) -> StreamResult {
    let mut fleet = FleetProcesses::start(fault_settings(1, 1)).expect("fleet starts");
    fleet.kill_side(0).expect("side process ends");
    let listener = TcpListener::bind(fleet.upstreams[0].side_address).expect("listener");
    thread::spawn(move || {
        for (count, stream) in listener.incoming().enumerate() {
            // The router closes connections that violate the protocol.
            let _ = stream.map(|stream| serve(stream, script, count as u32));
        }
    });
    let router = fleet.router_addresses()[0];
    wait_for("router", std::time::Duration::from_secs(30), || {
        is_ready(router)
    })
    .expect("ready");
    StreamCall::new(router, "scripted", 2).run()
}

fn serve(stream: TcpStream, script: Script, count: u32) -> Result<(), FrameError> {
    let mut stream = FramedStream::new(stream)?;
    let limit = Some(SpanMillis::new(30_000));
    let _: RouterFrame = stream.receive(limit)?;
    stream.send(&SideFrame::Welcome {
        vm: "engine-1".parse().expect("VM name"),
        incarnation: ProcessIncarnation::new(1),
        leaving: false,
    })?;
    let (tag, offset) = match stream.receive(limit)? {
        RouterFrame::Dispatch(dispatch) => (dispatch.tag, 0),
        RouterFrame::Resume { tag, offset } => (tag, offset),
        _ => return Ok(()),
    };
    stream.send(&SideFrame::Accepted { tag })?;
    if offset == 0 {
        stream.send(&SideFrame::Head {
            tag,
            status: 200,
            content_type: "text/plain".to_owned(),
        })?;
    }
    script(&mut stream, tag, offset, count)?;
    // Keeps the connection open until the router closes it.
    let _: Result<RouterFrame, FrameError> = stream.receive(limit);
    Ok(())
}

fn chunk(tag: AttemptTag, offset: u64, text: &str) -> SideFrame {
    SideFrame::Chunk {
        tag,
        offset,
        bytes: text.as_bytes().to_vec(),
    }
}

fn end(tag: AttemptTag, body: &str) -> SideFrame {
    SideFrame::End {
        tag,
        seal: BodySeal::compute(body.as_bytes()),
        ending: ENDING,
    }
}

/// Tests the tag check, which guards against bytes of another attempt in a response.
#[test]
fn chunk_of_another_attempt_is_not_passed_on() {
    let result = run_scripted(|stream, tag, offset, count| {
        let other = AttemptTag {
            attempt: AttemptId::generate(),
            ..tag
        };
        if count == 0 {
            stream.send(&chunk(tag, 0, "one "))?;
            return stream.send(&chunk(other, 4, "bad "));
        }
        assert_eq!(offset, 4);
        stream.send(&chunk(tag, offset, "two "))?;
        stream.send(&end(tag, "one two "))
    });
    assert_eq!(result.text, "one two ");
    assert_eq!(result.outcome, Some(CallOutcome::Completed));
}

/// Tests the offset check, which guards against repeated bytes in a response.
#[test]
fn repeated_chunk_is_not_passed_on() {
    let result = run_scripted(|stream, tag, offset, count| {
        if count == 0 {
            stream.send(&chunk(tag, 0, "one "))?;
            return stream.send(&chunk(tag, 0, "one "));
        }
        assert_eq!(offset, 4);
        stream.send(&chunk(tag, offset, "two "))?;
        stream.send(&end(tag, "one two "))
    });
    assert_eq!(result.text, "one two ");
    assert_eq!(result.outcome, Some(CallOutcome::Completed));
}

/// Tests the length check, which guards against a truncated response that is reported as completed.
#[test]
fn response_that_ends_early_is_resumed() {
    let result = run_scripted(|stream, tag, offset, count| {
        if count == 0 {
            stream.send(&chunk(tag, 0, "one "))?;
            return stream.send(&end(tag, "one two "));
        }
        assert_eq!(offset, 4);
        stream.send(&chunk(tag, offset, "two "))?;
        stream.send(&end(tag, "one two "))
    });
    assert_eq!(result.text, "one two ");
    assert_eq!(result.outcome, Some(CallOutcome::Completed));
}

/// Tests the hash check, which guards against a corrupted response that is reported as completed.
#[test]
fn response_with_another_hash_does_not_complete() {
    let result = run_scripted(|stream, tag, _, _| {
        stream.send(&chunk(tag, 0, "bad two "))?;
        stream.send(&end(tag, "one two "))
    });
    assert_eq!(result.outcome, Some(CallOutcome::Failed));
}
