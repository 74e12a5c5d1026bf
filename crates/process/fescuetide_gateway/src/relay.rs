//! Responses to callers: relayed responses, event streams, refusals and failures.

use fescuetide_base::SpanMillis;
use fescuetide_flow::AttemptEvent;
use fescuetide_flow::FlowFailure;
use fescuetide_flow::FlowKey;
use fescuetide_flow::FlowRefusal;
use fescuetide_http1::write_chunk;
use fescuetide_http1::write_last_chunk;

use crate::codec::HttpCodec;
use crate::connection::Connection;
use crate::counters::count;
use crate::exchange::Exchange;
use crate::exchange::RelayState;
use crate::log_line_limit::LogLineKind;
use crate::respond;
use crate::respond::ResponseFraming;
use crate::traffic::TrafficLoop;

/// Maximum amount of event stream data that is buffered for a slow caller.
const STREAM_BACKLOG_LIMIT_BYTES: usize = 8 * 1_024 * 1_024;

impl<C: HttpCodec> TrafficLoop<C> {
    /// Relays events of an event stream. `is_last` is whether the stream ends with `bytes`. Returns false if the stream cannot
    /// be used any further, or has ended inside an event.
    pub(crate) fn relay_events(&mut self, key: FlowKey, bytes: &[u8], is_last: bool) -> bool {
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return true;
        };
        let before = exchange.event_splitter.event_count();
        let mut events = Vec::with_capacity(bytes.len());
        let mut result = exchange.event_splitter.feed(bytes, &mut events);
        if is_last && result.is_ok() {
            result = exchange.event_splitter.finish(&mut events);
        }
        let is_valid = result.is_ok();
        if let Err(error) = result
            && self
                .log_line_quota
                .try_acquire(LogLineKind::AttemptEnded as usize, self.now)
        {
            let request = exchange.request_id();
            tracing::info!(request, %error, "stream of events cannot be used");
        }
        let new_events = exchange.event_splitter.event_count() - before;
        if new_events > 0 {
            if before == 0 {
                let latency = self.now.since(exchange.arrived);
                self.counters.first_response_ms.observe(latency.as_millis());
            }
            self.counters
                .events
                .fetch_add(new_events, std::sync::atomic::Ordering::Relaxed);
            self.scheduler
                .note_attempt(key, AttemptEvent::StreamProgress, self.now);
        }
        let (caller, relay) = (exchange.caller, exchange.relay);
        let Some(Connection::Caller(connection)) = self.connections.get_mut(caller) else {
            return is_valid;
        };
        let out = connection.output.bytes_mut();
        match relay {
            RelayState::Streaming { is_chunked: true } => write_chunk(out, &events),
            RelayState::Streaming { is_chunked: false } => out.extend_from_slice(&events),
            RelayState::NotStarted => return is_valid,
        }
        let is_slow = connection.output.len() > STREAM_BACKLOG_LIMIT_BYTES;
        if is_slow {
            // A caller that does not read its event stream must not exhaust the memory.
            self.drop_caller(caller);
            return is_valid;
        }
        self.flush_caller(caller);
        is_valid
    }

    /// Carries out [`FlowAction::Relay`](fescuetide_flow::FlowAction::Relay). For an event stream, the scheduler issues
    /// it twice: the first one writes the head, the second one ends the stream. Other responses are written as a whole.
    pub(crate) fn relay(&mut self, key: FlowKey) {
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return;
        };
        if exchange.relay != RelayState::NotStarted {
            self.finish_stream(key);
            return;
        }
        if let Some(head) = exchange.event_stream_head.take() {
            let is_chunked = !exchange.head.is_http10();
            exchange.relay = RelayState::Streaming { is_chunked };
            let framing = match is_chunked {
                true => ResponseFraming::Chunked,
                false => ResponseFraming::UntilClose,
            };
            exchange.keeps_alive &= is_chunked;
            let closes = !exchange.keeps_alive || self.drain.is_some();
            let caller = exchange.caller;
            if let Some(Connection::Caller(connection)) = self.connections.get_mut(caller) {
                let out = connection.output.bytes_mut();
                respond::write_relayed_head(out, &head, framing, closes);
                connection.closes |= closes;
                connection.ends_with_close = !is_chunked;
            }
            return;
        }
        self.relay_response(key);
    }

    fn finish_stream(&mut self, key: FlowKey) {
        let Some(exchange) = self.take_exchange(key) else {
            return;
        };
        count(&self.counters.relayed);
        self.log_end(&exchange, "relayed", 200);
        if let Some(Connection::Caller(connection)) = self.connections.get_mut(exchange.caller) {
            connection.ends_with_close = false;
            if exchange.relay == (RelayState::Streaming { is_chunked: true }) {
                write_last_chunk(connection.output.bytes_mut());
            }
        }
        self.release_caller(exchange.caller, exchange.keeps_alive);
    }

    fn relay_response(&mut self, key: FlowKey) {
        let Some(mut exchange) = self.take_exchange(key) else {
            return;
        };
        let Some(response) = exchange.response.take() else {
            return;
        };
        count(&self.counters.relayed);
        let latency = self.now.since(exchange.arrived);
        self.counters.first_response_ms.observe(latency.as_millis());
        self.log_end(&exchange, "relayed", response.head.status());
        let closes = !exchange.keeps_alive || self.drain.is_some();
        if let Some(Connection::Caller(connection)) = self.connections.get_mut(exchange.caller) {
            let out = connection.output.bytes_mut();
            let framing = ResponseFraming::Length(response.body.len() as u64);
            respond::write_relayed_head(out, &response.head, framing, closes);
            out.extend_from_slice(&response.body);
        }
        self.release_caller(exchange.caller, exchange.keeps_alive);
    }

    pub(crate) fn refuse(&mut self, key: FlowKey, refusal: &FlowRefusal) {
        let Some(exchange) = self.take_exchange(key) else {
            return;
        };
        count(&self.counters.refused);
        if self.may_log(LogLineKind::NotServed) {
            tracing::info!(
                request = exchange.request_id(),
                route = &*exchange.route,
                cause = refusal.cause.as_str(),
                evidence = %refusal.evidence,
                retry_after_ms = refusal.retry_after.as_millis(),
                attempts = exchange.attempts,
                waiting = self.scheduler.waiting_count(),
                age_ms = self.now.since(exchange.arrived).as_millis(),
                outcome = "refused",
                "request ended"
            );
        }
        self.send_own_response(&exchange, 503, Some(refusal.retry_after));
    }

    pub(crate) fn fail(&mut self, key: FlowKey, failure: FlowFailure) {
        let Some(exchange) = self.take_exchange(key) else {
            return;
        };
        count(&self.counters.failed);
        let (status, outcome) = match failure {
            FlowFailure::TimedOut => (504, "timed_out"),
            FlowFailure::AttemptBroken(cause) => (502, cause.as_str()),
        };
        self.log_end(&exchange, outcome, status);
        if exchange.relay != RelayState::NotStarted {
            // Closing the connection without the end of the body prevents the caller from taking the truncated response for a
            // complete one.
            self.remove(exchange.caller);
            return;
        }
        self.send_own_response(&exchange, status, None);
    }

    fn send_own_response(
        &mut self,
        exchange: &Exchange,
        status: u16,
        retry_after: Option<SpanMillis>,
    ) {
        let closes = !exchange.keeps_alive || self.drain.is_some();
        if let Some(Connection::Caller(connection)) = self.connections.get_mut(exchange.caller) {
            let out = connection.output.bytes_mut();
            respond::write_own_response(out, status, retry_after, closes, |out| {
                self.codec.write_request_id(out, exchange.request_id());
            });
        }
        self.release_caller(exchange.caller, exchange.keeps_alive);
    }

    /// Logs the end of a request. `status` is 0 if the caller disconnected before the response was complete.
    pub(crate) fn log_end(&mut self, exchange: &Exchange, outcome: &str, status: u16) {
        let kind = match status {
            200..500 => LogLineKind::Served,
            _ => LogLineKind::NotServed,
        };
        if !self.may_log(kind) {
            return;
        }
        tracing::info!(
            request = exchange.request_id(),
            route = &*exchange.route,
            status,
            attempts = exchange.attempts,
            events = exchange.event_splitter.event_count(),
            age_ms = self.now.since(exchange.arrived).as_millis(),
            outcome,
            "request ended"
        );
    }
}
