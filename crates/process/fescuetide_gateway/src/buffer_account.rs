//! Bytes that the process buffers for messages that are not complete or not yet sent on.
//!
//! A caller or an upstream may send without end, or read nothing. The bytes of all connections together are limited. Near the
//! limit, connections that hold more than others are not read for the moment. Above it, the one that holds most is ended.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_flow::AttemptEvent;
use fescuetide_flow::BreakCause;
use indexmap::IndexMap;

use crate::admission::Denial;
use crate::codec::HttpCodec;
use crate::connection::CallerState;
use crate::connection::Connection;
use crate::connection::ResponseState;
use crate::connection::UpstreamConnectionState;
use crate::counters::count;
use crate::log_line_limit::LogLineKind;
use crate::traffic::TrafficLoop;

/// Part of the limit from which on connections with more than their share are not read.
const TIGHT_PERCENT: usize = 75;

/// Number of connections that the limit is divided by to get the share of one.
const SHARES: usize = 64;

/// How long after its reading was first paused a connection may be paused again. Then it is ended, since sound ones are done by
/// then.
const READ_PAUSE_LIMIT: SpanMillis = SpanMillis::new(500);

/// The bytes that connections hold, by token.
#[derive(Debug)]
pub(crate) struct BufferAccount {
    limit: usize,
    total: usize,
    held: IndexMap<usize, usize>,
    /// Connections that hold more than their share, with the time when their reading was first paused.
    paused: IndexMap<usize, ClockMillis>,
}

impl BufferAccount {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            total: 0,
            held: IndexMap::new(),
            paused: IndexMap::new(),
        }
    }

    /// Number of bytes that all connections hold.
    pub(crate) fn total(&self) -> usize {
        self.total
    }

    fn set(&mut self, token: usize, bytes: usize) {
        let before = match bytes {
            0 => self.held.swap_remove(&token),
            _ => self.held.insert(token, bytes),
        };
        self.total = self.total + bytes - before.unwrap_or(0);
    }

    /// Forgets a connection that was closed.
    pub(crate) fn remove(&mut self, token: usize) {
        self.set(token, 0);
        self.paused.swap_remove(&token);
    }

    fn is_tight(&self) -> bool {
        self.total > self.limit / 100 * TIGHT_PERCENT
    }

    fn is_above_share(&self, token: usize) -> bool {
        let held = self.held.get(&token).copied().unwrap_or(0);
        held > self.limit / SHARES
    }
}

impl<C: HttpCodec> TrafficLoop<C> {
    /// Whether a connection must not be read for the moment. It is read again when there is more room.
    pub(crate) fn pauses_reading(&mut self, token: usize) -> bool {
        if !self.buffers.is_above_share(token) || !self.may_end(token) {
            self.buffers.paused.swap_remove(&token);
            return false;
        }
        if !self.buffers.is_tight() {
            return false;
        }
        if !self.buffers.paused.contains_key(&token) {
            self.buffers.paused.insert(token, self.now);
            count(&self.counters.reads_paused);
        }
        true
    }

    /// Reads connections again that were not read because of the limit, and ends those that have not been read for too long.
    pub(crate) fn resume_paused_reads(&mut self) {
        let paused: Vec<_> = self.buffers.paused.keys().copied().collect();
        for token in paused {
            self.read_connection(token, true);
            let since = self.buffers.paused.get(&token).copied();
            let is_late = since.is_some_and(|since| self.now.since(since) >= READ_PAUSE_LIMIT);
            if is_late && self.buffers.is_tight() {
                self.end_holder(token);
            }
            self.run_actions();
        }
    }

    /// Updates what a connection holds, and ends the one that holds most while the limit is exceeded.
    pub(crate) fn settle_buffers(&mut self, token: usize) {
        let bytes = self.buffered_bytes(token);
        self.buffers.set(token, bytes);
        while self.buffers.total > self.buffers.limit {
            let Some(largest) = self.largest_holder() else {
                return;
            };
            self.end_holder(largest);
        }
    }

    fn buffered_bytes(&self, token: usize) -> usize {
        match self.connections.get(token) {
            Some(Connection::Caller(caller)) => {
                let incoming = match &caller.state {
                    CallerState::Idle { .. } => 0,
                    CallerState::Body(incoming) => incoming.body.capacity(),
                    CallerState::Serving(key) => self.exchanges.get(key).map_or(0, |exchange| {
                        exchange.body.len() + exchange.event_splitter.buffered_bytes()
                    }),
                };
                caller.input.capacity() + caller.output.capacity() + incoming
            }
            Some(Connection::Upstream(upstream)) => {
                let body = match &upstream.state {
                    UpstreamConnectionState::Busy {
                        response: ResponseState::Buffering(buffered),
                        ..
                    } => buffered.body.capacity(),
                    _ => 0,
                };
                upstream.input.capacity() + upstream.output.capacity() + body
            }
            Some(Connection::Monitoring(monitoring)) => {
                monitoring.input.capacity() + monitoring.output.capacity()
            }
            None => 0,
        }
    }

    /// Whether a connection may be ended for what it holds. A caller whose request is in progress is not ended for the body of its
    /// request, but for a response that it does not read.
    fn may_end(&self, token: usize) -> bool {
        match self.connections.get(token) {
            Some(Connection::Caller(caller)) => match caller.state {
                CallerState::Serving(_) => !caller.output.is_empty(),
                CallerState::Idle { .. } | CallerState::Body(_) => true,
            },
            Some(Connection::Upstream(_) | Connection::Monitoring(_)) => true,
            None => false,
        }
    }

    /// The connection that holds most of those that may be ended.
    fn largest_holder(&self) -> Option<usize> {
        let held = self.buffers.held.iter();
        held.filter(|(token, _)| self.may_end(**token))
            .max_by_key(|(_, bytes)| **bytes)
            .map(|(token, _)| *token)
    }

    fn end_holder(&mut self, token: usize) {
        count(&self.counters.buffers_dropped);
        if self.may_log(LogLineKind::Notice) {
            tracing::warn!(
                held = self.buffers.held.get(&token),
                total = self.buffers.total,
                limit = self.buffers.limit,
                is_upstream = matches!(self.connections.get(token), Some(Connection::Upstream(_))),
                "ended a connection that holds many bytes, since buffers are at their limit"
            );
        }
        match self.connections.get(token) {
            Some(Connection::Upstream(_)) => {
                self.end_attempt(token, AttemptEvent::Broken(BreakCause::Garbled));
            }
            Some(Connection::Caller(caller)) => match caller.state {
                CallerState::Body(_) => self.deny(token, None, Denial::Overloaded),
                _ => self.drop_caller(token),
            },
            _ => {
                self.remove(token);
            }
        }
        // The connection may still exist, with less to hold, or as a response that is not sent yet.
        let bytes = self.buffered_bytes(token);
        self.buffers.set(token, bytes);
    }
}
