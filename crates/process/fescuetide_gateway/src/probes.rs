//! Readiness and metrics endpoints.

use std::io;
use std::io::Read;

use fescuetide_base::SpanMillis;
use fescuetide_http1::RequestHead;

use crate::buffer::OutputBuffer;
use crate::codec::HttpCodec;
use crate::connection::Connection;
use crate::connection::ProbeConnection;
use crate::respond;
use crate::traffic::TrafficLoop;

/// Maximum length of a probe's request head.
const PROBE_LIMIT_BYTES: usize = 8 * 1_024;

/// Time without a request after which a probe connection is closed.
const PROBE_IDLE_TIMEOUT: SpanMillis = SpanMillis::new(30_000);

impl<C: HttpCodec> TrafficLoop<C> {
    /// Accepts connections of the readiness listener, or of the metrics listener if `is_ready` is false.
    pub(crate) fn accept_probes(&mut self, is_ready: bool) {
        loop {
            let listener = match (is_ready, &self.listeners.metrics) {
                (true, _) => &self.listeners.ready,
                (false, Some(metrics)) => metrics,
                (false, None) => return,
            };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a probe connection");
                    return;
                }
            };
            let probe = ProbeConnection {
                stream,
                input: Vec::new(),
                output: OutputBuffer::default(),
                active_at: self.now,
            };
            match self.register(Connection::Probe(probe)) {
                Ok(token) => self.serve_probe(token),
                Err(error) => tracing::warn!(%error, "failed to register a probe connection"),
            }
        }
    }

    /// Reads from a probe connection and responds to its requests.
    pub(crate) fn serve_probe(&mut self, token: usize) {
        let mut part = [0; 1_024];
        loop {
            let Some(Connection::Probe(probe)) = self.connections.get_mut(token) else {
                return;
            };
            match probe.stream.read(&mut part) {
                Ok(0) => {
                    self.remove(token);
                    return;
                }
                Ok(read) => {
                    probe.input.extend_from_slice(&part[..read]);
                    probe.active_at = self.now;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => {
                    self.remove(token);
                    return;
                }
            }
        }
        self.answer_probe(token);
    }

    fn answer_probe(&mut self, token: usize) {
        let is_ready = self.is_ready();
        let Some(Connection::Probe(probe)) = self.connections.get_mut(token) else {
            return;
        };
        let ProbeConnection {
            stream,
            input,
            output,
            ..
        } = probe;
        loop {
            match RequestHead::parse(input, PROBE_LIMIT_BYTES) {
                Ok(None) => break,
                Ok(Some((head, used))) => {
                    input.drain(..used);
                    let metrics = || self.counters.render();
                    write_probe_response(output, head.path(), C::READY_PATH, is_ready, metrics);
                }
                Err(_) => {
                    self.remove(token);
                    return;
                }
            }
        }
        if output.flush(stream).is_err() {
            self.remove(token);
        }
    }

    /// Closes probe connections that have been idle for too long.
    pub(crate) fn sweep_probes(&mut self) {
        let mut stale = Vec::new();
        for (token, connection) in &self.connections {
            let Connection::Probe(probe) = connection else {
                continue;
            };
            if self.now.since(probe.active_at) > PROBE_IDLE_TIMEOUT {
                stale.push(token);
            }
        }
        for token in stale {
            self.remove(token);
        }
    }
}

fn write_probe_response(
    output: &mut OutputBuffer,
    path: &str,
    ready_path: &str,
    is_ready: bool,
    metrics: impl FnOnce() -> String,
) {
    let out = output.bytes_mut();
    if path == ready_path {
        let status = if is_ready { 200 } else { 503 };
        respond::write_own_response(out, status, None, false, |_| {});
        return;
    }
    if path != "/metrics" {
        respond::write_own_response(out, 404, None, false, |_| {});
        return;
    }
    let text = metrics();
    respond::write_status(out, 200);
    let head = format!(
        "Content-Type: text/plain; version=0.0.4\r\nContent-Length: {}\r\n\r\n",
        text.len()
    );
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(text.as_bytes());
}
