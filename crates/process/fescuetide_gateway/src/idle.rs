//! Idle connections to upstreams.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use indexmap::IndexMap;

/// Idle connections kept for each upstream at most.
const IDLE_LIMIT: usize = 48;

/// Routers that share the connections of an upstream.
const ROUTERS_PER_UPSTREAM: u32 = 8;

/// How long a connection is kept where the upstream names no limit.
const DEFAULT_IDLE_TIMEOUT: SpanMillis = SpanMillis::new(60_000);

/// A connection is given up this long before the upstream closes it, so that no request crosses the close.
const CLOSE_MARGIN_MS: u64 = 1_000;

/// The idle connections of each upstream, the one used last first.
#[derive(Debug, Default)]
pub(crate) struct IdleTable {
    idle: IndexMap<VmName, Vec<usize>>,
}

impl IdleTable {
    /// Keeps a connection unless `limit` are kept already. Returns whether it is kept.
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

    /// Takes the connection that was used last.
    pub(crate) fn take(&mut self, vm: &VmName) -> Option<usize> {
        self.idle.get_mut(vm)?.pop()
    }

    /// Removes a connection.
    pub(crate) fn remove(&mut self, vm: &VmName, token: usize) {
        if let Some(tokens) = self.idle.get_mut(vm) {
            tokens.retain(|other| *other != token);
        }
    }

    /// Removes all connections of an upstream that is gone.
    pub(crate) fn remove_all(&mut self, vm: &VmName) -> Vec<usize> {
        self.idle.swap_remove(vm).unwrap_or_default()
    }

    /// All connections.
    pub(crate) fn tokens(&self) -> Vec<usize> {
        self.idle.values().flatten().copied().collect()
    }
}

/// Until when an idle connection is kept.
pub(crate) fn idle_deadline(limit: Option<SpanMillis>, now: ClockMillis) -> ClockMillis {
    let limit = limit.unwrap_or(DEFAULT_IDLE_TIMEOUT).as_millis();
    now + SpanMillis::new(limit.saturating_sub(CLOSE_MARGIN_MS))
}

/// Idle connections to keep for an upstream that takes `connection_limit` connections from all routers.
pub(crate) fn idle_limit(connection_limit: Option<u32>) -> usize {
    let Some(limit) = connection_limit else {
        return IDLE_LIMIT;
    };
    IDLE_LIMIT.min((limit / ROUTERS_PER_UPSTREAM).max(1) as usize)
}
