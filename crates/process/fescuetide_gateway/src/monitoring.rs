//! Readiness and metrics endpoints.

use std::io;
use std::io::Read;

use fescuetide_base::SpanMillis;
use fescuetide_http1::RequestHead;

use crate::buffer::OutputBuffer;
use crate::codec::HttpCodec;
use crate::connection::Connection;
use crate::connection::MonitoringConnection;
use crate::respond;
use crate::traffic::TrafficLoop;

/// Maximum length of a monitoring request's head.
const REQUEST_HEAD_LIMIT_BYTES: usize = 8 * 1_024;

/// Time without a request after which a monitoring connection is closed.
const IDLE_TIMEOUT: SpanMillis = SpanMillis::new(30_000);

/// A listener for checks of the gateway itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MonitoringListener {
    /// Readiness checks of the load balancer.
    Readiness,
    /// Scrapes of the metrics.
    Metrics,
}

impl<C: HttpCodec> TrafficLoop<C> {
    /// Accepts pending connections of a monitoring listener.
    pub(crate) fn accept_monitoring(&mut self, kind: MonitoringListener) {
        loop {
            let listener = match (kind, &self.listeners.metrics) {
                (MonitoringListener::Readiness, _) => &self.listeners.ready,
                (MonitoringListener::Metrics, Some(metrics)) => metrics,
                (MonitoringListener::Metrics, None) => return,
            };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a monitoring connection");
                    return;
                }
            };
            let connection = MonitoringConnection {
                stream,
                input: Vec::new(),
                output: OutputBuffer::default(),
                active_at: self.now,
            };
            match self.register(Connection::Monitoring(connection)) {
                Ok(token) => self.serve_monitoring(token),
                Err(error) => tracing::warn!(%error, "failed to register a monitoring connection"),
            }
        }
    }

    /// Reads from a monitoring connection and responds to its requests.
    pub(crate) fn serve_monitoring(&mut self, token: usize) {
        let mut part = [0; 1_024];
        loop {
            let Some(Connection::Monitoring(connection)) = self.connections.get_mut(token) else {
                return;
            };
            match connection.stream.read(&mut part) {
                Ok(0) => {
                    self.remove(token);
                    return;
                }
                Ok(read) => {
                    connection.input.extend_from_slice(&part[..read]);
                    connection.active_at = self.now;
                    if connection.input.len() > REQUEST_HEAD_LIMIT_BYTES {
                        // A check sends one short request at a time.
                        self.remove(token);
                        return;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => {
                    self.remove(token);
                    return;
                }
            }
        }
        self.respond_to_monitoring(token);
    }

    fn respond_to_monitoring(&mut self, token: usize) {
        let is_ready = self.is_ready();
        let Some(Connection::Monitoring(connection)) = self.connections.get_mut(token) else {
            return;
        };
        let MonitoringConnection {
            stream,
            input,
            output,
            ..
        } = connection;
        loop {
            match RequestHead::parse(input, REQUEST_HEAD_LIMIT_BYTES) {
                Ok(None) => break,
                Ok(Some((head, used))) => {
                    input.drain(..used);
                    let metrics = || self.counters.render();
                    write_monitoring_response(
                        output,
                        head.path(),
                        C::READY_PATH,
                        is_ready,
                        metrics,
                    );
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
        self.settle_buffers(token);
    }

    /// Closes monitoring connections that have been idle for too long.
    pub(crate) fn sweep_monitoring(&mut self) {
        let mut stale = Vec::new();
        for (token, connection) in self.connections.iter() {
            let Connection::Monitoring(connection) = connection else {
                continue;
            };
            if self.now.since(connection.active_at) > IDLE_TIMEOUT {
                stale.push(token);
            }
        }
        for token in stale {
            self.remove(token);
        }
    }
}

fn write_monitoring_response(
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
