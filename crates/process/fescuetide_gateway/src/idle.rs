//! Pool of idle connections to upstreams.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use indexmap::IndexMap;

/// Maximum number of idle connections per upstream.
const MAX_IDLE_CONNECTIONS: usize = 48;

/// Number of gateways that are assumed to share the connection limit of an upstream.
const GATEWAYS_PER_UPSTREAM: u32 = 8;

/// How long an idle connection is kept if the upstream does not announce a timeout.
const DEFAULT_IDLE_TIMEOUT: SpanMillis = SpanMillis::new(60_000);

/// Idle connections are closed this long before the upstream would close them, so that no request is sent on a
/// connection that is being closed.
const CLOSE_MARGIN_MS: u64 = 1_000;

/// The idle connections of each upstream, most recently used last.
#[derive(Debug, Default)]
pub(crate) struct IdleTable {
    idle: IndexMap<VmName, Vec<usize>>,
}

impl IdleTable {
    /// Adds a connection unless the upstream already has `limit` idle ones. Returns whether it was added.
    pub(crate) fn put(&mut self, vm: &VmName, token: usize, limit: usize) -> bool {
        let tokens = match self.idle.get_mut(vm) {
            Some(tokens) => tokens,
            None => self.idle.entry(vm.clone()).or_default(),
        };
        if tokens.len() >= limit {
            return false;
        }
        tokens.push(token);
        true
    }

    /// Takes the most recently used connection.
    pub(crate) fn take(&mut self, vm: &VmName) -> Option<usize> {
        self.idle.get_mut(vm)?.pop()
    }

    /// Removes a connection.
    pub(crate) fn remove(&mut self, vm: &VmName, token: usize) {
        if let Some(tokens) = self.idle.get_mut(vm) {
            tokens.retain(|other| *other != token);
        }
    }

    /// Removes all connections of an upstream that was removed, restarted or moved. Returns their tokens, and the event
    /// loop must close these connections.
    pub(crate) fn remove_all(&mut self, vm: &VmName) -> Vec<usize> {
        self.idle.swap_remove(vm).unwrap_or_default()
    }

    /// The tokens of all idle connections.
    pub(crate) fn tokens(&self) -> Vec<usize> {
        self.idle.values().flatten().copied().collect()
    }
}

/// When an idle connection is closed, given the idle timeout that the upstream announced.
pub(crate) fn idle_deadline(timeout: Option<SpanMillis>, now: ClockMillis) -> ClockMillis {
    let timeout = timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT).as_millis();
    now + SpanMillis::new(timeout.saturating_sub(CLOSE_MARGIN_MS))
}

/// Maximum number of idle connections to an upstream that accepts `connection_limit` connections from all gateways
/// together.
pub(crate) fn max_idle_connections(connection_limit: Option<u32>) -> usize {
    let Some(limit) = connection_limit else {
        return MAX_IDLE_CONNECTIONS;
    };
    MAX_IDLE_CONNECTIONS.min((limit / GATEWAYS_PER_UPSTREAM).max(1) as usize)
}
