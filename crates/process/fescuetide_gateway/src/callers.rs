//! Caller connections: reading requests, denying invalid ones and writing responses.

use std::borrow::Cow;
use std::ops::RangeInclusive;
use std::sync::Arc;

use fescuetide_base::SpanMillis;
use fescuetide_fleet::CallerLimits;
use fescuetide_flow::FlowKey;
use fescuetide_http1::BodyDecoder;
use fescuetide_http1::BodyFraming;
use fescuetide_http1::EventSplitter;
use fescuetide_http1::HeadError;
use fescuetide_http1::RequestHead;
use fescuetide_limits::CrashFingerprint;

use crate::admission::Denial;
use crate::admission::admit;
use crate::codec::HttpCodec;
use crate::connection::CallerState;
use crate::connection::Connection;
use crate::connection::IncomingRequest;
use crate::counters::count;
use crate::exchange::Exchange;
use crate::exchange::RelayState;
use crate::log_line_limit::LogLineKind;
use crate::respond;
use crate::traffic::TrafficLoop;

/// Maximum number of bytes that a caller may pipeline while a request is in progress.
const PIPELINE_LIMIT_BYTES: usize = 64 * 1_024;

/// `Retry-After` for requests that arrive before the first configuration is known. Reading the configuration usually
/// takes a few milliseconds.
const STARTUP_RETRY_AFTER: SpanMillis = SpanMillis::new(300);

/// `Retry-After` for requests whose bodies do not fit into the memory for buffers. Most of them are complete within a second.
const BUFFER_RETRY_AFTER: SpanMillis = SpanMillis::new(1_000);

/// Range of the `Retry-After` while the log is unavailable and no configuration is known. The delay is the time since
/// the start of the process, clamped to this range: an outage is expected to last for as long as it already has, and
/// the process has not been able to read a configuration since its start. Most outages last a few seconds.
const OUTAGE_RETRY_AFTER_MS: RangeInclusive<u64> = 1_500..=5_000;

/// Time without input after which a request with an incomplete body is dropped.
const BODY_IDLE_TIMEOUT: SpanMillis = SpanMillis::new(60_000);

/// Time limit for writing the remaining output of a closing connection.
const OUTPUT_TIMEOUT: SpanMillis = SpanMillis::new(30_000);

impl<C: HttpCodec> TrafficLoop<C> {
    /// Handles the end of a caller's connection and cancels its request.
    pub(crate) fn drop_caller(&mut self, token: usize) {
        let key = match self.connections.get(token) {
            Some(Connection::Caller(caller)) => match caller.state {
                CallerState::Serving(key) => Some(key),
                _ => None,
            },
            _ => return,
        };
        self.remove(token);
        let Some(key) = key else {
            return;
        };
        count(&self.counters.callers_disconnected);
        if let Some(exchange) = self.exchanges.swap_remove(&key) {
            if let Some(upstream) = exchange.upstream {
                self.remove(upstream);
            }
            self.log_end(&exchange, "caller_left", 0);
        }
        self.scheduler.caller_left(key, self.now);
    }

    pub(crate) fn handle_caller_bytes(&mut self, token: usize, data: &[u8]) {
        let Some(Connection::Caller(caller)) = self.connections.get_mut(token) else {
            return;
        };
        caller.active_at = self.now;
        if caller.closes {
            return;
        }
        let mut bytes = Cow::Borrowed(data);
        if !caller.input.is_empty() {
            let mut joined = std::mem::take(&mut caller.input);
            joined.extend_from_slice(data);
            bytes = Cow::Owned(joined);
        }
        self.parse_requests(token, &bytes);
    }

    /// Parses requests until one is in progress or more bytes are needed.
    fn parse_requests(&mut self, token: usize, bytes: &[u8]) {
        let limits = self
            .config
            .as_ref()
            .map_or_else(CallerLimits::default, |config| config.limits);
        let mut rest = bytes;
        loop {
            let Some(Connection::Caller(caller)) = self.connections.get_mut(token) else {
                return;
            };
            match &mut caller.state {
                CallerState::Serving(_) => {
                    caller.input.extend_from_slice(rest);
                    if caller.input.len() > PIPELINE_LIMIT_BYTES {
                        self.drop_caller(token);
                    }
                    return;
                }
                CallerState::Idle { since } => {
                    while let [b'\r' | b'\n', tail @ ..] = rest {
                        rest = tail;
                    }
                    if rest.is_empty() {
                        return;
                    }
                    since.get_or_insert(self.now);
                    match RequestHead::parse(rest, limits.head_bytes.get() as usize) {
                        Ok(None) => {
                            caller.input = rest.to_vec();
                            return;
                        }
                        Ok(Some((head, used))) => {
                            rest = &rest[used..];
                            if let Err(status) = self.begin_body(token, head, &limits) {
                                self.deny(token, None, Denial::Invalid(status));
                                return;
                            }
                        }
                        Err(error) => {
                            let status = match error {
                                HeadError::TooLarge => 431,
                                HeadError::Malformed => 400,
                            };
                            self.deny(token, None, Denial::Invalid(status));
                            return;
                        }
                    }
                }
                CallerState::Body(incoming) => {
                    let step = incoming.decoder.decode(rest, &mut incoming.body);
                    let is_large = incoming.body.len() as u64 > limits.body_bytes.get();
                    let Ok(step) = step else {
                        self.deny(token, None, Denial::Invalid(400));
                        return;
                    };
                    if is_large {
                        self.deny(token, None, Denial::Invalid(413));
                        return;
                    }
                    rest = &rest[step.used..];
                    if !step.done {
                        return;
                    }
                    self.begin_exchange(token);
                }
            }
        }
    }

    /// Starts reading a request body. Returns the response status if the request is invalid.
    fn begin_body(
        &mut self,
        token: usize,
        head: RequestHead,
        limits: &CallerLimits,
    ) -> Result<(), u16> {
        let Some(Connection::Caller(caller)) = self.connections.get_mut(token) else {
            return Ok(());
        };
        let framing = BodyFraming::for_request(&head).map_err(|_| 400_u16)?;
        if head.count("host") != 1 || !head.target().starts_with('/') {
            return Err(400);
        }
        if let BodyFraming::Length(length) = framing
            && length > limits.body_bytes.get()
        {
            return Err(413);
        }
        let decoder = BodyDecoder::new(framing);
        if head.expects_continue() && !decoder.is_done() {
            let out = caller.output.bytes_mut();
            out.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let has_body = framing != BodyFraming::Length(0) || head.count("content-length") > 0;
        caller.state = CallerState::Body(Box::new(IncomingRequest {
            head,
            decoder,
            has_body,
            body: Vec::new(),
        }));
        self.flush_caller(token);
        Ok(())
    }

    /// Admits a complete request and passes it to the request scheduler.
    fn begin_exchange(&mut self, token: usize) {
        let Some(Connection::Caller(caller)) = self.connections.get_mut(token) else {
            return;
        };
        let idle = CallerState::Idle { since: None };
        let CallerState::Body(incoming) = std::mem::replace(&mut caller.state, idle) else {
            return;
        };
        count(&self.counters.requests);
        let fields = self.codec.read_request(&incoming.head);
        let Some(config) = self.config.clone() else {
            self.deny(token, fields.request_id.as_deref(), Denial::NotReady);
            return;
        };
        let mut exchange = Exchange {
            caller: token,
            upstream: None,
            keeps_alive: incoming.head.keeps_alive(),
            head: incoming.head,
            fields,
            has_body: incoming.has_body,
            body: incoming.body.into(),
            workspace: None,
            fingerprint: CrashFingerprint::default(),
            route: Arc::from(""),
            config: config.version,
            arrived: self.now,
            response: None,
            event_stream_head: None,
            event_splitter: EventSplitter::default(),
            relay: RelayState::NotStarted,
            attempts: 0,
        };
        let request = match admit(&config, &mut exchange, self.now) {
            Ok(request) => request,
            Err(denial) => {
                self.deny(token, exchange.fields.request_id.as_deref(), denial);
                return;
            }
        };
        self.log_resumption(&exchange);
        if request.is_taken_up {
            self.note_listing_time();
        }
        let key = self.scheduler.arrive(request, self.now);
        self.exchanges.insert(key, exchange);
        if let Some(Connection::Caller(caller)) = self.connections.get_mut(token) {
            caller.state = CallerState::Serving(key);
        }
        self.run_actions();
    }

    /// Counts and logs a request that takes up an event stream.
    fn log_resumption(&mut self, exchange: &Exchange) {
        let Some(last_event) = exchange.fields.last_event else {
            return;
        };
        count(&self.counters.streams_taken_up);
        if self.may_log(LogLineKind::Notice) {
            tracing::info!(
                request = exchange.request_id(),
                resumes = exchange.fields.resumes.as_deref(),
                last_event,
                "caller takes up a stream"
            );
        }
    }

    /// Responds to a denied request.
    pub(crate) fn deny(&mut self, token: usize, request_id: Option<&str>, denial: Denial) {
        count(&self.counters.denied);
        let (status, retry_after, closes) = match denial {
            Denial::Invalid(status) => (status, None, true),
            Denial::Unknown(status) => (status, None, self.drain.is_some()),
            Denial::NotReady => (503, Some(self.unready_retry_after()), true),
            Denial::Overloaded => (503, Some(BUFFER_RETRY_AFTER), true),
        };
        let version = self
            .config
            .as_ref()
            .map_or(0, |config| config.version.get());
        if self.may_log(LogLineKind::NotServed) {
            tracing::info!(
                request = request_id.unwrap_or(""),
                status,
                config = version,
                outcome = "denied",
                "request ended"
            );
        }
        let Some(Connection::Caller(caller)) = self.connections.get_mut(token) else {
            return;
        };
        let out = caller.output.bytes_mut();
        respond::write_own_response(out, status, retry_after, closes, |out| {
            if let Some(id) = request_id {
                self.codec.write_request_id(out, id);
            }
        });
        caller.state = CallerState::Idle { since: None };
        caller.closes |= closes;
        self.flush_caller(token);
    }

    /// The `Retry-After` for requests that arrive before a configuration is known.
    fn unready_retry_after(&self) -> SpanMillis {
        if !self.is_log_unavailable {
            return STARTUP_RETRY_AFTER;
        }
        let age = self.now.since(self.started).as_millis();
        SpanMillis::new(age.clamp(*OUTAGE_RETRY_AFTER_MS.start(), *OUTAGE_RETRY_AFTER_MS.end()))
    }

    /// Ends a request whose response has been queued, and parses the next pipelined request.
    pub(crate) fn release_caller(&mut self, token: usize, keeps_alive: bool) {
        let is_draining = self.drain.is_some();
        let Some(Connection::Caller(caller)) = self.connections.get_mut(token) else {
            return;
        };
        caller.state = CallerState::Idle { since: None };
        caller.active_at = self.now;
        caller.closes |= !keeps_alive || is_draining;
        let input = std::mem::take(&mut caller.input);
        let closes = caller.closes;
        self.flush_caller(token);
        if !closes && !input.is_empty() {
            self.parse_requests(token, &input);
        }
    }

    /// Writes pending output, and closes the connection afterwards if that was requested.
    pub(crate) fn flush_caller(&mut self, token: usize) {
        let Some(Connection::Caller(caller)) = self.connections.get_mut(token) else {
            return;
        };
        match caller.output.flush(&mut caller.stream) {
            Ok(true) if caller.closes && !matches!(caller.state, CallerState::Serving(_)) => {
                self.close_caller(token);
            }
            Ok(_) => self.settle_buffers(token),
            Err(_) => self.drop_caller(token),
        }
    }

    /// Closes a connection after its last response. Closing a socket with unread input sends a reset, which could
    /// discard the response. The write side is therefore shut down first, and input is read until the caller closes.
    fn close_caller(&mut self, token: usize) {
        let Some(Connection::Caller(caller)) = self.connections.get_mut(token) else {
            return;
        };
        if caller.stream.shutdown(std::net::Shutdown::Write).is_err() {
            self.remove(token);
        }
    }

    /// Closes connections that were idle or slow for too long.
    pub(crate) fn sweep_callers(&mut self) {
        let limits = self
            .config
            .as_ref()
            .map_or_else(CallerLimits::default, |config| config.limits);
        let mut stale = Vec::new();
        for (token, connection) in self.connections.iter() {
            let Connection::Caller(caller) = connection else {
                continue;
            };
            let silence = self.now.since(caller.active_at);
            let is_stale = match &caller.state {
                CallerState::Idle { since: Some(since) } => {
                    // The connection is closed after twice the configured time for a head.
                    self.now.since(*since) > limits.head_time + limits.head_time
                }
                CallerState::Idle { since: None } if caller.closes => silence > OUTPUT_TIMEOUT,
                CallerState::Idle { since: None } => silence > limits.idle_time,
                CallerState::Body(_) => silence > BODY_IDLE_TIMEOUT,
                CallerState::Serving(_) => false,
            };
            if is_stale {
                stale.push(token);
            }
        }
        for token in stale {
            self.remove(token);
        }
    }

    /// Removes a finished request.
    pub(crate) fn take_exchange(&mut self, key: FlowKey) -> Option<Exchange> {
        self.exchanges.swap_remove(&key)
    }
}
