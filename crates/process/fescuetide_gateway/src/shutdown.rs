//! Graceful shutdown.

use std::sync::atomic::Ordering;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;

use crate::codec::HttpCodec;
use crate::connection::CallerState;
use crate::connection::Connection;
use crate::traffic::TrafficLoop;

/// How long new connections are still accepted, if the grace period is long enough. The load balancer notices within this time
/// that the process is not ready.
const ACCEPT_PERIOD: SpanMillis = SpanMillis::new(2_500);

/// The process exits this long before the end of the grace period, when it would be killed.
const KILL_MARGIN_MS: u64 = 250;

/// State of a shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DrainState {
    /// When the shutdown began.
    pub(crate) since: ClockMillis,
    /// Whether the listener is closed.
    pub(crate) is_closed: bool,
}

impl<C: HttpCodec> TrafficLoop<C> {
    /// Handles pending signals and advances a shutdown. Returns whether the process may exit.
    pub(crate) fn advance_shutdown(&mut self) -> bool {
        if self.signals.hangup.swap(false, Ordering::AcqRel) {
            tracing::info!("settings file changed; settings are read at the next start");
        }
        let Some(drain) = self.drain else {
            if self.is_stop_requested() {
                self.drain = Some(DrainState {
                    since: self.now,
                    is_closed: false,
                });
                tracing::info!(requests = self.exchanges.len(), "shutdown begins");
            }
            return false;
        };
        let elapsed = self.now.since(drain.since);
        let limit = SpanMillis::new(self.grace.as_millis().saturating_sub(KILL_MARGIN_MS));
        // Half of a short grace period is left to requests that were accepted.
        let accept_period = ACCEPT_PERIOD.min(SpanMillis::new(limit.as_millis() / 2));
        if elapsed < accept_period {
            return false;
        }
        if !drain.is_closed {
            // Closing the listener resets the connections in its backlog, so they are accepted first.
            self.accept_callers();
            self.listeners.callers = None;
            self.drain = Some(DrainState {
                is_closed: true,
                ..drain
            });
        }
        self.close_idle_callers();
        let is_over = elapsed >= limit;
        if self.exchanges.is_empty() && !self.has_callers() || is_over {
            tracing::info!(
                requests = self.exchanges.len(),
                took_ms = elapsed.as_millis(),
                "shutdown ends"
            );
            return true;
        }
        false
    }

    fn close_idle_callers(&mut self) {
        let mut idle = Vec::new();
        for (token, connection) in self.connections.iter() {
            let Connection::Caller(caller) = connection else {
                continue;
            };
            let is_idle = matches!(caller.state, CallerState::Idle { since: None });
            if is_idle && caller.output.is_empty() {
                idle.push(token);
            }
        }
        for token in idle {
            // A request that has just arrived is still served.
            self.read_connection(token, true);
            self.run_actions();
            let is_idle = match self.connections.get(token) {
                Some(Connection::Caller(caller)) => {
                    matches!(caller.state, CallerState::Idle { since: None })
                        && caller.output.is_empty()
                }
                _ => false,
            };
            if is_idle {
                self.remove(token);
            }
        }
    }

    fn has_callers(&self) -> bool {
        self.connections
            .iter()
            .any(|(_, connection)| matches!(connection, Connection::Caller(_)))
    }
}
