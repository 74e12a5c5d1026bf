//! Reading responses from upstreams.

use std::io;

use fescuetide_base::ClockMillis;
use fescuetide_base::VmName;
use fescuetide_flow::AttemptEvent;
use fescuetide_flow::BreakCause;
use fescuetide_flow::FlowKey;
use fescuetide_http1::BodyDecoder;
use fescuetide_http1::BodyFraming;
use fescuetide_http1::ResponseHead;

use crate::codec::HttpCodec;
use crate::connection::BufferedResponse;
use crate::connection::Connection;
use crate::connection::ResponseState;
use crate::connection::UpstreamConnectionState;
use crate::counters::count;
use crate::exchange::RelayState;
use crate::idle;
use crate::log_line_limit::LogLineKind;
use crate::traffic::TrafficLoop;
use crate::validation;

/// Maximum length of a response head.
const RESPONSE_HEAD_LIMIT_BYTES: usize = 32 * 1_024;

/// Maximum length of a buffered response body.
const RESPONSE_BODY_LIMIT_BYTES: usize = 16 * 1_024 * 1_024;

/// Capacity by which the buffer of a response body grows at most. Doubling it would reserve twice the memory that the limit
/// allows.
const BODY_GROWTH_LIMIT_BYTES: usize = 1_024 * 1_024;

/// Maximum number of bytes before a response that are no part of it: interim responses, and those to other requests.
const FOREIGN_LIMIT_BYTES: usize = 1_024 * 1_024;

/// Result of reading a part of a response.
enum ReadStep {
    /// More bytes are needed.
    NeedsData,
    /// A part is complete, and parsing continues with the remaining bytes.
    Continue,
    /// The attempt has ended.
    Finished(AttemptEvent),
}

/// Whether another response to the same request follows.
fn is_interim(head: &ResponseHead) -> bool {
    (100..200).contains(&head.status())
}

/// The result of an attempt whose response ended with its connection.
fn ended_by_close(event: AttemptEvent) -> AttemptEvent {
    match event {
        AttemptEvent::Completed { status, load } => AttemptEvent::EndedByClose { status, load },
        other => other,
    }
}

impl<C: HttpCodec> TrafficLoop<C> {
    /// Handles a connection that the upstream closed, or that has failed with `error`.
    pub(crate) fn handle_upstream_close(&mut self, token: usize, error: Option<io::ErrorKind>) {
        let Some(Connection::Upstream(upstream)) = self.connections.get_mut(token) else {
            return;
        };
        if upstream.connect_deadline.is_some() {
            let cause = match error {
                Some(io::ErrorKind::ConnectionRefused) => BreakCause::Refused,
                _ => BreakCause::NotConnected,
            };
            self.end_unconnected(token, cause);
            return;
        }
        let UpstreamConnectionState::Busy { key, response } = &mut upstream.state else {
            self.drop_idle(token);
            return;
        };
        let key = *key;
        let ends = |decoder: &BodyDecoder| decoder.ends_with_close() && error.is_none();
        let broken = AttemptEvent::Broken(BreakCause::Closed);
        let event = match response {
            ResponseState::Buffering(buffered) if ends(&buffered.decoder) => ended_by_close(
                validation::classify_response(&buffered.head, &buffered.fields),
            ),
            ResponseState::Streaming { decoder, .. } if ends(decoder) => {
                match self.relay_events(key, &[], true) {
                    true => AttemptEvent::EndedByClose {
                        status: 200,
                        load: None,
                    },
                    false => broken,
                }
            }
            _ => broken,
        };
        self.end_attempt(token, event);
    }

    pub(crate) fn handle_upstream_bytes(&mut self, token: usize, data: &[u8]) {
        let Some(Connection::Upstream(upstream)) = self.connections.get_mut(token) else {
            return;
        };
        if let UpstreamConnectionState::Idle { .. } = upstream.state {
            // Bytes on an idle connection belong to no request, so the connection cannot be trusted.
            self.drop_idle(token);
            return;
        }
        let mut joined = std::mem::take(&mut upstream.input);
        let mut rest = data;
        if !joined.is_empty() {
            joined.extend_from_slice(data);
            rest = &joined;
        }
        loop {
            let (step, used) = self.read_response_part(token, rest);
            rest = &rest[used..];
            self.run_actions();
            match step {
                ReadStep::NeedsData => break,
                ReadStep::Continue => {}
                ReadStep::Finished(event) => {
                    let is_clean = rest.is_empty();
                    self.finish_response(token, event, is_clean);
                    return;
                }
            }
        }
        if let Some(Connection::Upstream(upstream)) = self.connections.get_mut(token) {
            upstream.input = rest.to_vec();
        }
    }

    /// Reads the next part of a response. Returns the result and the number of bytes consumed. `BreakCause::Garbled`
    /// stands for every unusable response: it is malformed, unsigned, too large, or contains too large an event.
    fn read_response_part(&mut self, token: usize, bytes: &[u8]) -> (ReadStep, usize) {
        let unusable = ReadStep::Finished(AttemptEvent::Broken(BreakCause::Garbled));
        let Some(Connection::Upstream(upstream)) = self.connections.get_mut(token) else {
            return (ReadStep::NeedsData, bytes.len());
        };
        let UpstreamConnectionState::Busy { key, response } = &mut upstream.state else {
            return (ReadStep::NeedsData, bytes.len());
        };
        let key = *key;
        match response {
            ResponseState::Head => match ResponseHead::parse(bytes, RESPONSE_HEAD_LIMIT_BYTES) {
                Ok(None) => (ReadStep::NeedsData, 0),
                Ok(Some((head, used))) => {
                    let step = self.handle_response_head(token, key, head);
                    match self.note_foreign_head(token, used) {
                        true => (step, used),
                        false => (unusable, bytes.len()),
                    }
                }
                Err(_) => (unusable, bytes.len()),
            },
            ResponseState::Skipping(decoder) => {
                let Ok(step) = decoder.decode(bytes, &mut Vec::new()) else {
                    return (unusable, bytes.len());
                };
                upstream.foreign_bytes += step.used;
                if upstream.foreign_bytes > FOREIGN_LIMIT_BYTES {
                    return (unusable, bytes.len());
                }
                if step.done {
                    *response = ResponseState::Head;
                    return (ReadStep::Continue, step.used);
                }
                (ReadStep::NeedsData, step.used)
            }
            ResponseState::Buffering(buffered) => {
                let body = &mut buffered.body;
                if body.capacity() - body.len() < bytes.len() {
                    let growth = body.len().min(BODY_GROWTH_LIMIT_BYTES);
                    body.reserve_exact(bytes.len().max(growth));
                }
                let step = buffered.decoder.decode(bytes, body);
                match step {
                    Ok(step) if step.done => {
                        let event = validation::classify_response(&buffered.head, &buffered.fields);
                        (ReadStep::Finished(event), step.used)
                    }
                    Ok(step) if buffered.body.len() <= RESPONSE_BODY_LIMIT_BYTES => {
                        (ReadStep::NeedsData, step.used)
                    }
                    _ => (unusable, bytes.len()),
                }
            }
            ResponseState::Streaming { decoder, .. } => {
                let mut events = Vec::new();
                let Ok(step) = decoder.decode(bytes, &mut events) else {
                    return (unusable, bytes.len());
                };
                if !self.relay_events(key, &events, step.done) {
                    return (unusable, bytes.len());
                }
                if step.done {
                    let event = AttemptEvent::Completed {
                        status: 200,
                        load: None,
                    };
                    return (ReadStep::Finished(event), step.used);
                }
                (ReadStep::NeedsData, step.used)
            }
        }
    }

    /// Counts the length of a head that was just read, if its response does not belong to the request. Returns false if there
    /// were too many such bytes.
    fn note_foreign_head(&mut self, token: usize, length: usize) -> bool {
        let Some(Connection::Upstream(upstream)) = self.connections.get_mut(token) else {
            return true;
        };
        let UpstreamConnectionState::Busy { response, .. } = &upstream.state else {
            return true;
        };
        if let ResponseState::Head | ResponseState::Skipping(_) = response {
            upstream.foreign_bytes += length;
        }
        upstream.foreign_bytes <= FOREIGN_LIMIT_BYTES
    }

    fn handle_response_head(&mut self, token: usize, key: FlowKey, head: ResponseHead) -> ReadStep {
        let unusable = ReadStep::Finished(AttemptEvent::Broken(BreakCause::Garbled));
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return unusable;
        };
        let Some(Connection::Upstream(upstream)) = self.connections.get_mut(token) else {
            return unusable;
        };
        let UpstreamConnectionState::Busy { response, .. } = &mut upstream.state else {
            return unusable;
        };
        if is_interim(&head) {
            return ReadStep::Continue;
        }
        let is_head = exchange.head.method() == "HEAD";
        let Ok(framing) = BodyFraming::for_response(&head, is_head) else {
            return unusable;
        };
        let fields = self.codec.read_response(&head, exchange.request_id());
        if fields.matches_request == Some(false) {
            // A response to another request must not be relayed for this one, whose response may still follow.
            if framing == BodyFraming::UntilClose {
                return unusable;
            }
            *response = ResponseState::Skipping(BodyDecoder::new(framing));
            return ReadStep::Continue;
        }
        if let Some(announcement) = validation::announcement_of(&fields) {
            let event = AttemptEvent::Announced(announcement);
            // The time of the loop may be before that of the response, and a pause would end too early.
            self.scheduler.note_attempt(key, event, ClockMillis::now());
        }
        let decoder = BodyDecoder::new(framing);
        let is_stream = head
            .field("content-type")
            .is_some_and(|kind| kind.starts_with("text/event-stream"));
        if is_stream && validation::is_valid_success(&head, &fields) {
            *response = ResponseState::Streaming {
                decoder,
                keeps_alive: head.keeps_alive(),
                idle_timeout: fields.idle_timeout,
            };
            if exchange.relay == RelayState::NotStarted {
                exchange.event_stream_head = Some(head);
            }
            let event = AttemptEvent::StreamStarted(fields.load);
            self.scheduler.note_attempt(key, event, self.now);
            return ReadStep::Continue;
        }
        *response = ResponseState::Buffering(Box::new(BufferedResponse {
            head,
            fields,
            decoder,
            body: Vec::new(),
        }));
        ReadStep::Continue
    }

    /// Ends an attempt whose response is complete. The connection returns to the idle pool only if it is in a known
    /// state: the response is valid, the request was sent completely, and no extra bytes were received.
    fn finish_response(&mut self, token: usize, event: AttemptEvent, is_clean: bool) {
        let Some(Connection::Upstream(upstream)) = self.connections.get_mut(token) else {
            return;
        };
        let UpstreamConnectionState::Busy { response, .. } = &upstream.state else {
            return;
        };
        let (keeps_alive, idle_timeout) = match response {
            ResponseState::Buffering(buffered) => {
                (buffered.head.keeps_alive(), buffered.fields.idle_timeout)
            }
            ResponseState::Streaming {
                keeps_alive,
                idle_timeout,
                ..
            } => (*keeps_alive, *idle_timeout),
            ResponseState::Head | ResponseState::Skipping(_) => (false, None),
        };
        let is_valid = !matches!(event, AttemptEvent::Broken(_));
        if !(keeps_alive && is_valid && is_clean && upstream.is_written) {
            self.end_attempt(token, event);
            return;
        }
        let deadline = idle::idle_deadline(idle_timeout, self.now);
        let state = std::mem::replace(
            &mut upstream.state,
            UpstreamConnectionState::Idle { deadline },
        );
        let vm = upstream.vm.clone();
        let limit = self.max_idle_connections_to(&vm);
        if !self.idle.put(&vm, token, limit) {
            self.remove(token);
        }
        self.report_attempt_end(state, event);
    }

    /// Maximum number of idle connections to an upstream.
    pub(crate) fn max_idle_connections_to(&self, vm: &VmName) -> usize {
        let entry = self.upstreams.as_ref().and_then(|table| table.get(vm));
        let pool = entry
            .zip(self.config.as_ref())
            .and_then(|(entry, config)| config.routes.pool(&entry.pool));
        idle::max_idle_connections(pool.map(|pool| pool.connection_limit))
    }

    /// Ends an attempt and closes its connection.
    pub(crate) fn end_attempt(&mut self, token: usize, event: AttemptEvent) {
        let Some(Connection::Upstream(upstream)) = self.remove(token) else {
            return;
        };
        self.report_attempt_end(upstream.state, event);
    }

    fn report_attempt_end(&mut self, state: UpstreamConnectionState, event: AttemptEvent) {
        let UpstreamConnectionState::Busy { key, response } = state else {
            return;
        };
        self.log_attempt_end(key, &event);
        if let Some(exchange) = self.exchanges.get_mut(&key) {
            exchange.upstream = None;
            let is_complete = matches!(
                event,
                AttemptEvent::Completed { .. } | AttemptEvent::EndedByClose { .. }
            );
            if let (true, ResponseState::Buffering(buffered)) = (is_complete, response) {
                exchange.response = Some(*buffered);
            }
        }
        self.scheduler.note_attempt(key, event, self.now);
        self.run_actions();
    }

    /// Counts and logs an attempt that ended without a response that can be relayed.
    fn log_attempt_end(&mut self, key: FlowKey, event: &AttemptEvent) {
        match event {
            AttemptEvent::Broken(_) => count(&self.counters.attempts_broken),
            AttemptEvent::Declined(..) => count(&self.counters.attempts_declined),
            _ => return,
        }
        if !self.may_log(LogLineKind::AttemptEnded) {
            return;
        }
        let Some(exchange) = self.exchanges.get(&key) else {
            return;
        };
        let request = exchange.request_id();
        let fingerprint = exchange.fingerprint;
        match event {
            AttemptEvent::Broken(cause) => {
                tracing::info!(request, cause = cause.as_str(), %fingerprint, "attempt broke");
            }
            AttemptEvent::Declined(cause, load) => {
                tracing::info!(request, ?cause, ?load, "attempt declined");
            }
            _ => {}
        }
    }
}
