//! Attempts at upstreams, and what callers get of their answers.

use std::io;
use std::io::Read;
use std::sync::Arc;

use fescuetide_base::SpanMillis;
use fescuetide_flow::AttemptEvent;
use fescuetide_flow::BreakCause;
use fescuetide_flow::FlowAction;
use fescuetide_flow::FlowFailure;
use fescuetide_flow::FlowKey;
use fescuetide_flow::FlowRefusal;
use fescuetide_flow::SendOrder;
use fescuetide_http1::BodyDecoder;
use fescuetide_http1::BodyFraming;
use fescuetide_http1::RequestHead;
use fescuetide_http1::ResponseHead;
use fescuetide_http1::write_chunk;
use fescuetide_http1::write_last_chunk;

use crate::answer;
use crate::buffer::OutputBuffer;
use crate::connection::AnswerState;
use crate::connection::CollectedAnswer;
use crate::connection::Connection;
use crate::connection::ProbeConnection;
use crate::connection::UpstreamConnection;
use crate::connection::UpstreamWork;
use crate::counters::count;
use crate::dialect::AttemptFields;
use crate::dialect::EdgeDialect;
use crate::exchange::Exchange;
use crate::exchange::RelayState;
use crate::idle;
use crate::respond;
use crate::respond::ResponseFraming;
use crate::sockets;
use crate::traffic::TrafficLoop;

/// Longest head of an upstream's answer.
const ANSWER_HEAD_LIMIT_BYTES: usize = 32 * 1_024;

/// Longest answer that is collected before it is passed on.
const ANSWER_LIMIT_BYTES: usize = 16 * 1_024 * 1_024;

/// How long opening a connection may take. Connections within a region open in a few milliseconds.
const CONNECT_LIMIT: SpanMillis = SpanMillis::new(400);

/// Longest head of a probe.
const PROBE_LIMIT_BYTES: usize = 8 * 1_024;

/// What follows from bytes of an answer.
enum AnswerStep {
    /// More bytes are needed.
    More,
    /// The answer, or the answer to another request before it, is complete.
    Next,
    /// The attempt is over.
    Over(AttemptEvent),
}

impl<D: EdgeDialect> TrafficLoop<D> {
    /// Carries out what the decisions ask for.
    pub(crate) fn perform(&mut self) {
        while let Some(action) = self.core.next_action() {
            match action {
                FlowAction::Send(order) => self.start_attempt(order),
                FlowAction::Cancel(key) => self.cancel_attempt(key),
                FlowAction::Relay(key) => self.relay(key),
                FlowAction::Refuse(key, refusal) => self.refuse(key, &refusal),
                FlowAction::Fail(key, failure) => self.fail(key, failure),
            }
        }
    }

    fn start_attempt(&mut self, order: SendOrder) {
        let key = order.key;
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return;
        };
        exchange.attempts += 1;
        count(&self.counters.attempts);
        if order.attempt > 1 {
            count(&self.counters.retries);
        }
        tracing::info!(
            request = exchange.request_id(),
            route = &*exchange.route,
            config = exchange.config.get(),
            upstream = %order.upstream,
            load = order.load,
            attempt = order.attempt,
            resumes = order.is_resumption,
            time_left_ms = order.time_left.as_millis(),
            "request sent"
        );
        exchange.splitter.drop_partial();
        let Some(token) = self.open_attempt(&order) else {
            let event = AttemptEvent::Broken(BreakCause::NotConnected);
            self.core.note_attempt(key, event, self.now);
            return;
        };
        if let Some(exchange) = self.exchanges.get_mut(&key) {
            exchange.upstream = Some(token);
        }
        self.write_attempt(token);
    }

    /// Finds or opens a connection for an attempt and gives it the attempt's head.
    fn open_attempt(&mut self, order: &SendOrder) -> Option<usize> {
        let entry = self.upstreams.as_ref()?.get(&order.upstream)?.clone();
        let token = match self.take_idle(&order.upstream) {
            Some(token) => token,
            None => self.connect(&entry)?,
        };
        let exchange = self.exchanges.get(&order.key)?;
        let Some(Connection::Upstream(upstream)) = self.connections.get_mut(token) else {
            return None;
        };
        let fields = AttemptFields {
            upstream: &order.upstream,
            workspace: exchange.workspace.as_ref(),
            time_left: order.time_left,
            rank: order.rank,
            last_event: order.is_resumption.then(|| exchange.last_event()).flatten(),
            body_length: exchange.has_body.then_some(exchange.body.len()),
        };
        self.dialect
            .write_attempt(upstream.output.bytes_mut(), &exchange.head, &fields);
        upstream.body_written = 0;
        upstream.is_written = false;
        upstream.work = UpstreamWork::Busy {
            key: order.key,
            answer: AnswerState::Head,
        };
        Some(token)
    }

    /// An idle connection that is still open and silent.
    fn take_idle(&mut self, vm: &fescuetide_base::VmName) -> Option<usize> {
        while let Some(token) = self.idle.take(vm) {
            let Some(Connection::Upstream(upstream)) = self.connections.get_mut(token) else {
                continue;
            };
            let is_kept = match upstream.work {
                UpstreamWork::Idle { until } => self.now < until,
                UpstreamWork::Busy { .. } => false,
            };
            let peeked = upstream.stream.peek(&mut [0]);
            let is_silent = peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
            if is_kept && is_silent {
                return Some(token);
            }
            self.remove(token);
        }
        None
    }

    fn connect(&mut self, entry: &fescuetide_fleet::UpstreamEntry) -> Option<usize> {
        count(&self.counters.upstream_connections);
        let stream = match sockets::connect(entry.address) {
            Ok(stream) => stream,
            Err(error) => {
                tracing::warn!(upstream = %entry.name, %error, "connection cannot be opened");
                return None;
            }
        };
        let upstream = UpstreamConnection {
            stream,
            vm: entry.name.clone(),
            connect_until: Some(self.now + CONNECT_LIMIT),
            input: Vec::new(),
            output: OutputBuffer::default(),
            body_written: 0,
            is_written: false,
            work: UpstreamWork::Idle { until: self.now },
        };
        match self.register(Connection::Upstream(upstream)) {
            Ok(token) => Some(token),
            Err(error) => {
                tracing::warn!(upstream = %entry.name, %error, "connection cannot be watched");
                None
            }
        }
    }

    /// Writes what is left of an attempt.
    pub(crate) fn write_attempt(&mut self, token: usize) {
        let Some(Connection::Upstream(upstream)) = self.connections.get_mut(token) else {
            return;
        };
        let UpstreamWork::Busy { key, .. } = upstream.work else {
            return;
        };
        if upstream.is_written {
            return;
        }
        if upstream.connect_until.is_some() {
            match upstream.stream.peer_addr() {
                Ok(_) => upstream.connect_until = None,
                Err(_) => return,
            }
        }
        let Some(exchange) = self.exchanges.get(&key) else {
            return;
        };
        let body = Arc::clone(&exchange.body);
        let result =
            upstream
                .output
                .flush_with(&mut upstream.stream, &body, &mut upstream.body_written);
        match result {
            Ok((is_written, written)) => {
                upstream.is_written = is_written;
                if written > 0 {
                    self.core.note_attempt(key, AttemptEvent::Sent, self.now);
                }
            }
            Err(_) => {
                // A byte may have left before the failure.
                self.core.note_attempt(key, AttemptEvent::Sent, self.now);
                self.end_attempt(token, AttemptEvent::Broken(BreakCause::Closed));
            }
        }
    }

    /// Reads what an upstream sent.
    pub(crate) fn read_upstream(&mut self, token: usize) {
        let mut scratch = std::mem::take(&mut self.scratch);
        loop {
            let Some(Connection::Upstream(upstream)) = self.connections.get_mut(token) else {
                break;
            };
            match upstream.stream.read(&mut scratch) {
                Ok(0) => {
                    self.close_upstream(token, false);
                    break;
                }
                Ok(read) => {
                    self.take_upstream_bytes(token, &scratch[..read]);
                    if read < scratch.len() {
                        break;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => {
                    self.close_upstream(token, true);
                    break;
                }
            }
        }
        self.scratch = scratch;
    }

    /// The upstream closed its connection, or reset it.
    fn close_upstream(&mut self, token: usize, is_reset: bool) {
        let Some(Connection::Upstream(upstream)) = self.connections.get_mut(token) else {
            return;
        };
        let UpstreamWork::Busy { answer, .. } = &mut upstream.work else {
            self.drop_idle(token);
            return;
        };
        if upstream.connect_until.is_some() {
            self.end_attempt(token, AttemptEvent::Broken(BreakCause::NotConnected));
            return;
        }
        let ends = |decoder: &BodyDecoder| decoder.ends_with_close() && !is_reset;
        let event = match answer {
            AnswerState::Collecting(collected) if ends(&collected.decoder) => {
                answer::judge_answer(&collected.head, &collected.fields)
            }
            AnswerState::Streaming { decoder, .. } if ends(decoder) => AttemptEvent::Completed {
                status: 200,
                load: None,
            },
            _ => AttemptEvent::Broken(BreakCause::Closed),
        };
        self.end_attempt(token, event);
    }

    /// Drops a connection that carries no attempt.
    pub(crate) fn drop_idle(&mut self, token: usize) {
        if let Some(Connection::Upstream(upstream)) = self.connections.get(token) {
            let vm = upstream.vm.clone();
            self.idle.remove(&vm, token);
        }
        self.remove(token);
    }

    fn take_upstream_bytes(&mut self, token: usize, data: &[u8]) {
        let Some(Connection::Upstream(upstream)) = self.connections.get_mut(token) else {
            return;
        };
        if let UpstreamWork::Idle { .. } = upstream.work {
            // Bytes that nobody asked for belong to no request.
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
            let (step, used) = self.read_answer(token, rest);
            rest = &rest[used..];
            self.perform();
            match step {
                AnswerStep::More => break,
                AnswerStep::Next => {}
                AnswerStep::Over(event) => {
                    let is_clean = rest.is_empty();
                    self.finish_answer(token, event, is_clean);
                    return;
                }
            }
        }
        if let Some(Connection::Upstream(upstream)) = self.connections.get_mut(token) {
            upstream.input = rest.to_vec();
        }
    }

    /// Reads the next part of an answer. Returns how many bytes it took.
    fn read_answer(&mut self, token: usize, bytes: &[u8]) -> (AnswerStep, usize) {
        let garbled = AnswerStep::Over(AttemptEvent::Broken(BreakCause::Garbled));
        let Some(Connection::Upstream(upstream)) = self.connections.get_mut(token) else {
            return (AnswerStep::More, bytes.len());
        };
        let UpstreamWork::Busy { key, answer } = &mut upstream.work else {
            return (AnswerStep::More, bytes.len());
        };
        let key = *key;
        match answer {
            AnswerState::Head => match ResponseHead::parse(bytes, ANSWER_HEAD_LIMIT_BYTES) {
                Ok(None) => (AnswerStep::More, 0),
                Ok(Some((head, used))) => (self.take_answer_head(token, key, head), used),
                Err(_) => (garbled, bytes.len()),
            },
            AnswerState::Skipping(decoder) => {
                let Ok(step) = decoder.decode(bytes, &mut Vec::new()) else {
                    return (garbled, bytes.len());
                };
                if step.done {
                    *answer = AnswerState::Head;
                    return (AnswerStep::Next, step.used);
                }
                (AnswerStep::More, step.used)
            }
            AnswerState::Collecting(collected) => {
                let step = collected.decoder.decode(bytes, &mut collected.body);
                match step {
                    Ok(step) if step.done => {
                        let event = answer::judge_answer(&collected.head, &collected.fields);
                        (AnswerStep::Over(event), step.used)
                    }
                    Ok(step) if collected.body.len() <= ANSWER_LIMIT_BYTES => {
                        (AnswerStep::More, step.used)
                    }
                    _ => (garbled, bytes.len()),
                }
            }
            AnswerState::Streaming { decoder, .. } => {
                let mut events = Vec::new();
                let Ok(step) = decoder.decode(bytes, &mut events) else {
                    return (garbled, bytes.len());
                };
                if !self.relay_events(key, &events, step.done) {
                    return (garbled, bytes.len());
                }
                if step.done {
                    let event = AttemptEvent::Completed {
                        status: 200,
                        load: None,
                    };
                    return (AnswerStep::Over(event), step.used);
                }
                (AnswerStep::More, step.used)
            }
        }
    }

    fn take_answer_head(&mut self, token: usize, key: FlowKey, head: ResponseHead) -> AnswerStep {
        let garbled = AnswerStep::Over(AttemptEvent::Broken(BreakCause::Garbled));
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return garbled;
        };
        let Some(Connection::Upstream(upstream)) = self.connections.get_mut(token) else {
            return garbled;
        };
        let UpstreamWork::Busy { answer, .. } = &mut upstream.work else {
            return garbled;
        };
        if (100..200).contains(&head.status()) {
            return AnswerStep::Next;
        }
        let is_head = exchange.head.method() == "HEAD";
        let Ok(framing) = BodyFraming::of_response(&head, is_head) else {
            return garbled;
        };
        let fields = self.dialect.read_answer(&head, exchange.request_id());
        if fields.is_ours == Some(false) {
            if framing == BodyFraming::UntilClose {
                return garbled;
            }
            *answer = AnswerState::Skipping(BodyDecoder::new(framing));
            return AnswerStep::Next;
        }
        let decoder = BodyDecoder::new(framing);
        let is_stream = head
            .field("content-type")
            .is_some_and(|kind| kind.starts_with("text/event-stream"));
        if is_stream && answer::is_sound_success(&head, &fields) {
            *answer = AnswerState::Streaming {
                decoder,
                keeps_alive: head.keeps_alive(),
                idle_limit: fields.idle_limit,
            };
            if exchange.relay == RelayState::Nothing {
                exchange.stream_head = Some(head);
            }
            let event = AttemptEvent::StreamStarted(fields.load);
            self.core.note_attempt(key, event, self.now);
            return AnswerStep::Next;
        }
        *answer = AnswerState::Collecting(Box::new(CollectedAnswer {
            head,
            fields,
            decoder,
            body: Vec::new(),
        }));
        AnswerStep::Next
    }

    /// Ends an attempt whose answer is complete, and keeps its connection if there is no doubt about it.
    fn finish_answer(&mut self, token: usize, event: AttemptEvent, is_clean: bool) {
        let Some(Connection::Upstream(upstream)) = self.connections.get_mut(token) else {
            return;
        };
        let UpstreamWork::Busy { answer, .. } = &upstream.work else {
            return;
        };
        let (keeps_alive, idle_limit) = match answer {
            AnswerState::Collecting(collected) => {
                (collected.head.keeps_alive(), collected.fields.idle_limit)
            }
            AnswerState::Streaming {
                keeps_alive,
                idle_limit,
                ..
            } => (*keeps_alive, *idle_limit),
            AnswerState::Head | AnswerState::Skipping(_) => (false, None),
        };
        let is_sound = !matches!(event, AttemptEvent::Broken(_));
        if !(keeps_alive && is_sound && is_clean && upstream.is_written) {
            self.end_attempt(token, event);
            return;
        }
        let until = idle::idle_until(idle_limit, self.now);
        let work = std::mem::replace(&mut upstream.work, UpstreamWork::Idle { until });
        let vm = upstream.vm.clone();
        if !self.idle.put(&vm, token) {
            self.remove(token);
        }
        self.report_end(work, event);
    }

    /// Ends an attempt and its connection.
    fn end_attempt(&mut self, token: usize, event: AttemptEvent) {
        let Some(Connection::Upstream(upstream)) = self.connections.try_remove(token) else {
            return;
        };
        self.report_end(upstream.work, event);
    }

    fn report_end(&mut self, work: UpstreamWork, event: AttemptEvent) {
        let UpstreamWork::Busy { key, answer } = work else {
            return;
        };
        if let Some(exchange) = self.exchanges.get_mut(&key) {
            exchange.upstream = None;
            match (&event, answer) {
                (AttemptEvent::Completed { .. }, AnswerState::Collecting(collected)) => {
                    exchange.answer = Some(*collected);
                }
                (AttemptEvent::Broken(cause), _) => {
                    count(&self.counters.attempts_broken);
                    tracing::info!(
                        request = exchange.request_id(),
                        cause = cause.as_str(),
                        "attempt broke"
                    );
                }
                (AttemptEvent::Declined(cause, load), _) => {
                    count(&self.counters.attempts_declined);
                    tracing::info!(
                        request = exchange.request_id(),
                        ?cause,
                        ?load,
                        "attempt declined"
                    );
                }
                _ => {}
            }
        }
        self.core.note_attempt(key, event, self.now);
        self.perform();
    }

    fn cancel_attempt(&mut self, key: FlowKey) {
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return;
        };
        tracing::info!(request = exchange.request_id(), "attempt cancelled");
        if let Some(token) = exchange.upstream.take() {
            self.remove(token);
        }
    }

    /// Passes events of a stream on. Returns false when the stream is not one of events.
    fn relay_events(&mut self, key: FlowKey, bytes: &[u8], is_last: bool) -> bool {
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return true;
        };
        let before = exchange.splitter.event_count();
        let mut events = Vec::with_capacity(bytes.len());
        let is_sound = exchange.splitter.feed(bytes, &mut events);
        if is_last {
            exchange.splitter.finish(&mut events);
        }
        let fresh = exchange.splitter.event_count() - before;
        if fresh > 0 {
            if before == 0 {
                let span = self.now.since(exchange.arrived);
                self.counters.first_part_ms.note(span.as_millis());
            }
            self.counters
                .events
                .fetch_add(fresh, std::sync::atomic::Ordering::Relaxed);
            self.core
                .note_attempt(key, AttemptEvent::StreamProgress, self.now);
        }
        let (caller, relay) = (exchange.caller, exchange.relay);
        let Some(Connection::Caller(connection)) = self.connections.get_mut(caller) else {
            return is_sound;
        };
        let out = connection.output.bytes_mut();
        match relay {
            RelayState::Streaming { is_chunked: true } => write_chunk(out, &events),
            RelayState::Streaming { is_chunked: false } => out.extend_from_slice(&events),
            RelayState::Nothing => return is_sound,
        }
        self.flush_caller(caller);
        is_sound
    }

    fn relay(&mut self, key: FlowKey) {
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return;
        };
        if exchange.relay != RelayState::Nothing {
            self.finish_stream(key);
            return;
        }
        if let Some(head) = exchange.stream_head.take() {
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
            }
            return;
        }
        self.relay_answer(key);
    }

    fn finish_stream(&mut self, key: FlowKey) {
        let Some(exchange) = self.take_exchange(key) else {
            return;
        };
        count(&self.counters.relayed);
        self.log_end(&exchange, "relayed", 200);
        if let Some(Connection::Caller(connection)) = self.connections.get_mut(exchange.caller) {
            if exchange.relay == (RelayState::Streaming { is_chunked: true }) {
                write_last_chunk(connection.output.bytes_mut());
            }
        }
        self.release_caller(exchange.caller, exchange.keeps_alive);
    }

    fn relay_answer(&mut self, key: FlowKey) {
        let Some(mut exchange) = self.take_exchange(key) else {
            return;
        };
        let Some(answer) = exchange.answer.take() else {
            return;
        };
        count(&self.counters.relayed);
        let span = self.now.since(exchange.arrived);
        self.counters.first_part_ms.note(span.as_millis());
        self.log_end(&exchange, "relayed", answer.head.status());
        let closes = !exchange.keeps_alive || self.drain.is_some();
        if let Some(Connection::Caller(connection)) = self.connections.get_mut(exchange.caller) {
            let out = connection.output.bytes_mut();
            let framing = ResponseFraming::Length(answer.body.len() as u64);
            respond::write_relayed_head(out, &answer.head, framing, closes);
            out.extend_from_slice(&answer.body);
        }
        self.release_caller(exchange.caller, exchange.keeps_alive);
    }

    fn refuse(&mut self, key: FlowKey, refusal: &FlowRefusal) {
        let Some(exchange) = self.take_exchange(key) else {
            return;
        };
        count(&self.counters.refused);
        tracing::info!(
            request = exchange.request_id(),
            route = &*exchange.route,
            cause = refusal.cause.as_str(),
            evidence = %refusal.evidence,
            retry_after_ms = refusal.retry_after.as_millis(),
            attempts = exchange.attempts,
            waiting = self.core.waiting_count(),
            age_ms = self.now.since(exchange.arrived).as_millis(),
            outcome = "refused",
            "request ended"
        );
        self.answer_own(&exchange, 503, Some(refusal.retry_after));
    }

    fn fail(&mut self, key: FlowKey, failure: FlowFailure) {
        let Some(exchange) = self.take_exchange(key) else {
            return;
        };
        count(&self.counters.failed);
        let (status, outcome) = match failure {
            FlowFailure::TimedOut => (504, "timed_out"),
            FlowFailure::UpstreamBroke(cause) => (502, cause.as_str()),
        };
        self.log_end(&exchange, outcome, status);
        if exchange.relay != RelayState::Nothing {
            // A response that ends early must not look complete.
            self.remove(exchange.caller);
            return;
        }
        self.answer_own(&exchange, status, None);
    }

    fn answer_own(&mut self, exchange: &Exchange, status: u16, retry_after: Option<SpanMillis>) {
        let closes = !exchange.keeps_alive || self.drain.is_some();
        if let Some(Connection::Caller(connection)) = self.connections.get_mut(exchange.caller) {
            let out = connection.output.bytes_mut();
            respond::write_own_response(out, status, retry_after, closes, |out| {
                self.dialect.write_request_id(out, exchange.request_id());
            });
        }
        self.release_caller(exchange.caller, exchange.keeps_alive);
    }

    fn log_end(&self, exchange: &Exchange, outcome: &str, status: u16) {
        tracing::info!(
            request = exchange.request_id(),
            route = &*exchange.route,
            status,
            attempts = exchange.attempts,
            events = exchange.splitter.event_count(),
            age_ms = self.now.since(exchange.arrived).as_millis(),
            outcome,
            "request ended"
        );
    }

    /// Gives up connections that do not open, and closes idle ones in time.
    pub(crate) fn sweep_upstreams(&mut self) {
        let mut unopened = Vec::new();
        let mut stale = Vec::new();
        for (token, connection) in &self.connections {
            let Connection::Upstream(upstream) = connection else {
                continue;
            };
            if upstream
                .connect_until
                .is_some_and(|until| self.now >= until)
            {
                unopened.push(token);
                continue;
            }
            if let UpstreamWork::Idle { until } = upstream.work {
                if self.now >= until {
                    stale.push(token);
                }
            }
        }
        for token in unopened {
            self.end_attempt(token, AttemptEvent::Broken(BreakCause::NotConnected));
        }
        for token in stale {
            self.drop_idle(token);
        }
    }

    /// Answers questions for readiness and metrics.
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
                    write_probe_answer(output, head.path(), D::READY_PATH, is_ready, metrics);
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
}

fn write_probe_answer(
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
