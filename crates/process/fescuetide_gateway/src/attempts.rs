//! Attempts at upstreams: opening connections and sending requests.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use fescuetide_base::RequestRate;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_fleet::SoftwareVersion;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_flow::AttemptEvent;
use fescuetide_flow::BreakCause;
use fescuetide_flow::FlowAction;
use fescuetide_flow::FlowKey;
use fescuetide_flow::ProbeOutcome;
use fescuetide_flow::SendCommand;

use crate::buffer::OutputBuffer;
use crate::codec::AttemptFields;
use crate::codec::HttpCodec;
use crate::connection::Connection;
use crate::connection::ResponseState;
use crate::connection::UpstreamConnection;
use crate::connection::UpstreamConnectionState;
use crate::counters::count;
use crate::idle;
use crate::log_line_limit::LogLineKind;
use crate::sockets;
use crate::traffic::TrafficLoop;

/// Timeout for connecting to an upstream. Connecting within a region takes a few milliseconds.
const CONNECT_TIMEOUT: SpanMillis = SpanMillis::new(400);

impl<C: HttpCodec> TrafficLoop<C> {
    /// Carries out all pending actions of the request scheduler.
    pub(crate) fn run_actions(&mut self) {
        while let Some(action) = self.scheduler.next_action() {
            // Before the action, since it may end the request that a notice is about.
            self.report_notices();
            match action {
                FlowAction::Send(command) => self.start_attempt(command),
                FlowAction::Cancel(key) => self.cancel_attempt(key),
                FlowAction::Relay(key) => self.relay(key),
                FlowAction::Refuse(key, refusal) => self.refuse(key, &refusal),
                FlowAction::Fail(key, failure) => self.fail(key, failure),
                FlowAction::Probe(vm) => self.start_probe(&vm),
                FlowAction::SeekOrigin(stream) => {
                    count(&self.counters.origins_sought);
                    self.origin_exchange.seek_origin(stream, self.now);
                }
                FlowAction::TellOrigin(entry) => self.origin_exchange.tell_origin(entry),
                FlowAction::RecordVersion(origin) => {
                    self.origin_exchange.record_version(origin, self.now);
                }
                FlowAction::ForgetVersion(origin) => {
                    self.origin_exchange.forget_version(origin, self.now);
                }
            }
        }
    }

    fn start_attempt(&mut self, command: SendCommand) {
        let key = command.key;
        let may_log = self.may_log(LogLineKind::AttemptStarted);
        let entry = self
            .upstreams
            .as_ref()
            .and_then(|table| table.get(&command.upstream));
        let version = entry.map(|entry| entry.version.clone());
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return;
        };
        exchange.attempts += 1;
        count(&self.counters.attempts);
        if command.attempt > 1 {
            count(&self.counters.retries);
        }
        if command.load_age.is_none() {
            count(&self.counters.attempts_unknown_load);
        }
        if command.rate_limit.is_some() {
            count(&self.counters.attempts_rate_limited);
        }
        if command.is_resumption {
            count(&self.counters.streams_resumed);
        }
        if may_log {
            // Logged at the start of the attempt, before there is a connection: the request may not be sent at all.
            tracing::info!(
                request = exchange.request_id(),
                route = &*exchange.route,
                config = exchange.config.get(),
                upstream = %command.upstream,
                version = version.as_ref().map(SoftwareVersion::as_str),
                load = command.load,
                load_age_ms = command.load_age.map(SpanMillis::as_millis),
                rate_limit = command.rate_limit.map(RequestRate::as_per_second),
                copy_from = command.copy_from.as_ref().map(VmName::as_str),
                attempt = command.attempt,
                resumes = command.is_resumption,
                time_left_ms = command.time_left.as_millis(),
                "request sent"
            );
        }
        exchange.event_splitter.drop_partial();
        let Some(token) = self.open_attempt(&command) else {
            let event = AttemptEvent::Broken(BreakCause::NotConnected);
            self.scheduler.note_attempt(key, event, self.now);
            return;
        };
        if let Some(exchange) = self.exchanges.get_mut(&key) {
            exchange.upstream = Some(token);
        }
        self.write_attempt(token);
    }

    /// Finds or opens a connection for an attempt and queues the request head.
    fn open_attempt(&mut self, command: &SendCommand) -> Option<usize> {
        let entry = self.upstreams.as_ref()?.get(&command.upstream)?.clone();
        let token = match self.take_idle(&command.upstream) {
            Some(token) => token,
            None => self.connect(&entry)?,
        };
        let exchange = self.exchanges.get(&command.key)?;
        let prefix_source = self.prefix_source(command, &entry);
        let Some(Connection::Upstream(upstream)) = self.connections.get_mut(token) else {
            return None;
        };
        let fields = AttemptFields {
            upstream: &command.upstream,
            workspace: exchange.workspace.as_ref(),
            time_left: command.time_left,
            priority: command.priority,
            last_event: command
                .is_resumption
                .then(|| exchange.last_event())
                .flatten(),
            prefix_source,
            body_length: exchange.has_body.then_some(exchange.body.len()),
        };
        self.codec
            .write_attempt(upstream.output.bytes_mut(), &exchange.head, &fields);
        upstream.body_written = 0;
        upstream.foreign_bytes = 0;
        upstream.is_written = false;
        upstream.state = UpstreamConnectionState::Busy {
            key: command.key,
            response: ResponseState::Head,
        };
        Some(token)
    }

    /// The address from which the upstream can copy the cached prompt prefix, `None` if its pool does not support
    /// copying.
    fn prefix_source(&self, command: &SendCommand, entry: &UpstreamEntry) -> Option<SocketAddr> {
        let source = command.copy_from.as_ref()?;
        let pool = self.config.as_ref()?.routes.pool(&entry.pool)?;
        if !pool.can_transfer_cache {
            return None;
        }
        Some(self.upstreams.as_ref()?.get(source)?.address)
    }

    /// Takes an idle connection that is still open and has no unexpected input.
    fn take_idle(&mut self, vm: &VmName) -> Option<usize> {
        while let Some(token) = self.idle.take(vm) {
            let Some(Connection::Upstream(upstream)) = self.connections.get_mut(token) else {
                continue;
            };
            let is_kept = match upstream.state {
                UpstreamConnectionState::Idle { deadline } => self.now < deadline,
                UpstreamConnectionState::Probing | UpstreamConnectionState::Busy { .. } => false,
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

    /// Opens a connection to an upstream. If it can be established, it is kept for a later attempt.
    fn start_probe(&mut self, vm: &VmName) {
        count(&self.counters.probes);
        let entry = self.upstreams.as_ref().and_then(|table| table.get(vm));
        let token = entry.cloned().and_then(|entry| self.connect(&entry));
        match token.and_then(|token| self.connections.get_mut(token)) {
            Some(Connection::Upstream(upstream)) => {
                upstream.state = UpstreamConnectionState::Probing;
            }
            _ => self.end_probe(vm, ProbeOutcome::NotConnected),
        }
    }

    fn end_probe(&mut self, vm: &VmName, outcome: ProbeOutcome) {
        self.scheduler.note_probe(vm, outcome, self.now);
    }

    /// Keeps the established connection of a probe as an idle one.
    fn finish_probe(&mut self, token: usize) {
        let Some(Connection::Upstream(upstream)) = self.connections.get_mut(token) else {
            return;
        };
        if upstream.stream.peer_addr().is_err() {
            return;
        }
        upstream.connect_deadline = None;
        upstream.state = UpstreamConnectionState::Idle {
            deadline: idle::idle_deadline(None, self.now),
        };
        let vm = upstream.vm.clone();
        let limit = self.max_idle_connections_to(&vm);
        if !self.idle.put(&vm, token, limit) {
            self.remove(token);
        }
        self.end_probe(&vm, ProbeOutcome::Connected);
    }

    fn connect(&mut self, entry: &UpstreamEntry) -> Option<usize> {
        count(&self.counters.upstream_connections);
        let stream = match sockets::connect(entry.address) {
            Ok(stream) => stream,
            Err(error) => {
                tracing::warn!(upstream = %entry.name, %error, "failed to connect to the upstream");
                return None;
            }
        };
        let upstream = UpstreamConnection {
            stream,
            vm: entry.name.clone(),
            connect_deadline: Some(self.now + CONNECT_TIMEOUT),
            input: Vec::new(),
            output: OutputBuffer::default(),
            body_written: 0,
            foreign_bytes: 0,
            is_written: false,
            // `open_attempt` replaces this state.
            state: UpstreamConnectionState::Idle { deadline: self.now },
        };
        match self.register(Connection::Upstream(upstream)) {
            Ok(token) => Some(token),
            Err(error) => {
                tracing::warn!(upstream = %entry.name, %error, "failed to register a connection");
                None
            }
        }
    }

    /// Writes the rest of an attempt's request.
    pub(crate) fn write_attempt(&mut self, token: usize) {
        let Some(Connection::Upstream(upstream)) = self.connections.get_mut(token) else {
            return;
        };
        let key = match upstream.state {
            UpstreamConnectionState::Busy { key, .. } => key,
            UpstreamConnectionState::Probing => {
                self.finish_probe(token);
                return;
            }
            UpstreamConnectionState::Idle { .. } => return,
        };
        if upstream.is_written {
            return;
        }
        if upstream.connect_deadline.is_some() {
            match upstream.stream.peer_addr() {
                Ok(_) => upstream.connect_deadline = None,
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
                    self.scheduler
                        .note_attempt(key, AttemptEvent::Sent, self.now);
                }
            }
            Err(_) => {
                // Some bytes may have been sent before the error.
                self.scheduler
                    .note_attempt(key, AttemptEvent::Sent, self.now);
                self.end_attempt(token, AttemptEvent::Broken(BreakCause::Closed));
            }
        }
    }

    fn cancel_attempt(&mut self, key: FlowKey) {
        let may_log = self.may_log(LogLineKind::AttemptEnded);
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return;
        };
        if may_log {
            tracing::info!(request = exchange.request_id(), "attempt cancelled");
        }
        if let Some(token) = exchange.upstream.take() {
            self.remove(token);
        }
    }

    /// Closes a connection that is still idle.
    pub(crate) fn drop_idle(&mut self, token: usize) {
        let Some(Connection::Upstream(upstream)) = self.connections.get(token) else {
            return;
        };
        let UpstreamConnectionState::Idle { .. } = upstream.state else {
            return;
        };
        let vm = upstream.vm.clone();
        self.idle.remove(&vm, token);
        self.remove(token);
    }

    /// Ends the attempt or probe of a connection that could not be established.
    pub(crate) fn end_unconnected(&mut self, token: usize, cause: BreakCause) {
        let Some(Connection::Upstream(upstream)) = self.connections.get(token) else {
            return;
        };
        if !matches!(upstream.state, UpstreamConnectionState::Probing) {
            self.end_attempt(token, AttemptEvent::Broken(cause));
            return;
        }
        let vm = upstream.vm.clone();
        self.remove(token);
        let outcome = match cause {
            BreakCause::Refused => ProbeOutcome::Refused,
            _ => ProbeOutcome::NotConnected,
        };
        self.end_probe(&vm, outcome);
    }

    /// Ends attempts and probes whose connection could not be established in time, and closes expired idle connections.
    pub(crate) fn sweep_upstreams(&mut self) {
        let mut unopened = Vec::new();
        let mut stale = Vec::new();
        for (token, connection) in self.connections.iter() {
            let Connection::Upstream(upstream) = connection else {
                continue;
            };
            if upstream
                .connect_deadline
                .is_some_and(|deadline| self.now >= deadline)
            {
                unopened.push(token);
                continue;
            }
            let is_stale = match upstream.state {
                UpstreamConnectionState::Idle { deadline } => self.now >= deadline,
                UpstreamConnectionState::Probing | UpstreamConnectionState::Busy { .. } => false,
            };
            if is_stale {
                stale.push(token);
            }
        }
        for token in unopened {
            self.end_unconnected(token, BreakCause::NotConnected);
        }
        for token in stale {
            self.drop_idle(token);
        }
    }
}
