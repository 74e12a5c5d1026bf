//! The server for connections from routers and other side processes.

use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_net::FrameError;
use fescuetide_net::FramedStream;
use fescuetide_wire::frame::AttemptTag;
use fescuetide_wire::frame::DispatchFrame;
use fescuetide_wire::frame::PROTOCOL_VERSION;
use fescuetide_wire::frame::RouterFrame;
use fescuetide_wire::frame::SideFrame;
use fescuetide_wire::frame::WorkKey;

use crate::SideShared;
use crate::attempts::AttemptEntry;
use crate::execute::admit;
use crate::execute::start_attempt;
use crate::response::ResponseStep;

/// Time after which an idle connection is closed. Routers close theirs earlier.
const IDLE_LIMIT_MS: u64 = 60_000;

/// Interval at which a seal request checks whether the dispatch with its key has arrived.
const KEY_POLL_INTERVAL_MS: u64 = 5;

/// Accepts connections until the process ends.
pub(crate) fn accept_connections(shared: &Arc<SideShared>, listener: &TcpListener) {
    for stream in listener.incoming() {
        let Ok(stream) = stream else {
            continue;
        };
        let shared = Arc::clone(shared);
        let spawned = thread::Builder::new()
            .name("side-link".to_owned())
            .spawn(move || {
                if let Err(error) = serve_connection(&shared, stream) {
                    // Counts every end of a connection, also an orderly close and an idle timeout.
                    shared.metrics.count("link.closed");
                    tracing::debug!(%error, "connection ended");
                }
            });
        if spawned.is_err() {
            continue;
        }
    }
}

fn serve_connection(shared: &Arc<SideShared>, stream: TcpStream) -> Result<(), FrameError> {
    let mut stream = FramedStream::new(stream)?;
    handshake(shared, &mut stream)?;
    loop {
        let frame: RouterFrame = stream.receive(Some(SpanMillis::new(IDLE_LIMIT_MS)))?;
        match frame {
            RouterFrame::Hello { .. } => {
                return Err(FrameError::Protocol("second hello".to_owned()));
            }
            RouterFrame::Dispatch(dispatch) => serve_dispatch(shared, &mut stream, *dispatch)?,
            RouterFrame::Resume { tag, offset } => {
                serve_resume(shared, &mut stream, tag, offset)?;
            }
            RouterFrame::Seal { tag, key, wait } => {
                wait_for_key(shared, key.as_ref(), wait);
                let state = shared.attempts.seal(tag, key, ClockMillis::now());
                stream.send(&SideFrame::Sealed { tag, state })?;
            }
            RouterFrame::ExportPrefix { tag, body, limit } => {
                let blob = shared.upstream.export_prefix(&body, limit);
                stream.send(&SideFrame::Prefix { tag, blob })?;
            }
            RouterFrame::Cancel { tag } => {
                match shared.attempts.find(tag) {
                    Some(entry) => cancel_attempt(shared, &entry),
                    // The dispatch may still arrive over another connection, so it is sealed.
                    None => {
                        shared.attempts.seal(tag, None, ClockMillis::now());
                    }
                }
                stream.send(&SideFrame::Cancelled { tag })?;
            }
            RouterFrame::Received { tag } => {
                if let Some(entry) = shared.attempts.find(tag) {
                    entry.response.mark_confirmed();
                }
            }
        }
    }
}

fn handshake(shared: &SideShared, stream: &mut FramedStream) -> Result<(), FrameError> {
    let frame: RouterFrame = stream.receive(Some(SpanMillis::new(IDLE_LIMIT_MS)))?;
    let RouterFrame::Hello { version, .. } = frame else {
        return Err(FrameError::Protocol(
            "first frame is not a hello".to_owned(),
        ));
    };
    if version != PROTOCOL_VERSION {
        return Err(FrameError::Protocol(format!(
            "protocol version {version} is not supported"
        )));
    }
    stream.send(&SideFrame::Welcome {
        vm: shared.settings.vm.clone(),
        incarnation: shared.incarnation,
        leaving: shared.gate.refuses_new_work(),
    })
}

fn serve_dispatch(
    shared: &Arc<SideShared>,
    stream: &mut FramedStream,
    dispatch: DispatchFrame,
) -> Result<(), FrameError> {
    let tag = dispatch.tag;
    match admit(shared, &dispatch) {
        Ok(entry) => {
            let reader_entry = entry.clone();
            entry.response.attach();
            start_attempt(shared, entry, dispatch);
            let result = stream
                .send(&SideFrame::Accepted { tag })
                .and_then(|()| stream_response(shared, stream, &reader_entry, 0));
            reader_entry.response.detach(ClockMillis::now());
            result
        }
        Err(refusal) => {
            shared.metrics.count("refused");
            stream.send(&SideFrame::Refused {
                tag,
                reason: refusal.reason,
                load: refusal.load,
                retry_after: refusal.retry_after,
            })
        }
    }
}

/// Blocks until `key` is registered or sealed here, for at most `wait`. The dispatch with the key may still be in
/// transit, and sealing the key too early would refuse it.
fn wait_for_key(shared: &SideShared, key: Option<&WorkKey>, wait: SpanMillis) {
    let Some(key) = key else {
        return;
    };
    let end = ClockMillis::now() + wait;
    while ClockMillis::now() < end && !shared.attempts.knows_key(key) {
        thread::sleep(Duration::from_millis(KEY_POLL_INTERVAL_MS));
    }
}

fn serve_resume(
    shared: &SideShared,
    stream: &mut FramedStream,
    tag: AttemptTag,
    offset: u64,
) -> Result<(), FrameError> {
    let Some(entry) = shared.attempts.find(tag) else {
        let state = shared.attempts.seal(tag, None, ClockMillis::now());
        return stream.send(&SideFrame::Sealed { tag, state });
    };
    entry.response.attach();
    let result = stream
        .send(&SideFrame::Accepted { tag })
        .and_then(|()| stream_response(shared, stream, &entry, offset));
    entry.response.detach(ClockMillis::now());
    result
}

/// Sends a response from `offset` to its end, with heartbeats while there is no new data.
fn stream_response(
    shared: &SideShared,
    stream: &mut FramedStream,
    entry: &AttemptEntry,
    mut offset: u64,
) -> Result<(), FrameError> {
    let tag = entry.tag;
    let heartbeat = shared.settings.heartbeat();
    // A reader that resumes inside the body has already received the head.
    let mut head_sent = offset > 0;
    loop {
        match entry.response.wait(head_sent, offset, heartbeat) {
            ResponseStep::Head(status, content_type) => {
                head_sent = true;
                stream.send(&SideFrame::Head {
                    tag,
                    status,
                    content_type,
                })?;
            }
            ResponseStep::Chunk(bytes) => {
                let length = bytes.len() as u64;
                stream.send(&SideFrame::Chunk { tag, offset, bytes })?;
                offset += length;
            }
            ResponseStep::Idle => stream.send(&SideFrame::Alive { tag })?,
            ResponseStep::End(ending, seal) => {
                return stream.send(&SideFrame::End { tag, seal, ending });
            }
        }
    }
}

/// Cancels an attempt, unless it has an idempotency key: its caller may request the response again.
pub(crate) fn cancel_attempt(shared: &SideShared, entry: &AttemptEntry) {
    if entry.key.is_some() {
        return;
    }
    if entry.response.cancel() && !shared.queue.remove_waiting(entry.tag.attempt) {
        shared.upstream.cancel(entry.tag);
    }
}
