//! Closing of an HTTP server without cutting requests off.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::sync::watch;

/// How far the end of a server has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum DrainStage {
    /// All requests are served.
    Serving,
    /// Connections are closed after the request that they bring or brought.
    Closing,
    /// No further connections are accepted.
    Stopping,
    /// The listener is closed.
    Stopped,
}

/// Ends a server in two steps: its connections are closed, idle ones at once, all others when their response has been
/// written in full; then its listener is.
///
/// A connection that has brought no request yet may have one on its way, so it is closed after that one.
#[derive(Clone, Debug)]
pub struct HttpDrain {
    stage: Arc<watch::Sender<DrainStage>>,
    connections: Arc<AtomicUsize>,
}

impl Default for HttpDrain {
    fn default() -> Self {
        Self {
            stage: Arc::new(watch::Sender::new(DrainStage::Serving)),
            connections: Arc::default(),
        }
    }
}

impl HttpDrain {
    /// Starts to close all connections, also those that arrive later.
    pub fn close_connections(&self) {
        self.advance(DrainStage::Closing);
    }

    /// Closes the listener once the connections that wait there are accepted, so that none of them is reset.
    pub fn stop_listening(&self) {
        self.advance(DrainStage::Stopping);
    }

    /// Whether the listener is closed.
    pub fn is_stopped(&self) -> bool {
        *self.stage.borrow() == DrainStage::Stopped
    }

    /// Connections that are open.
    pub fn connection_count(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }

    /// Waits until the listener is to be closed.
    pub(crate) async fn stopping(&self) {
        self.reached(DrainStage::Stopping).await;
    }

    /// Notes that the listener is closed.
    pub(crate) fn note_stopped(&self) {
        self.advance(DrainStage::Stopped);
    }

    /// Counts a connection as open until the guard is dropped.
    pub(crate) fn note_connection(&self) -> ConnectionGuard {
        self.connections.fetch_add(1, Ordering::AcqRel);
        ConnectionGuard {
            drain: self.clone(),
        }
    }

    fn advance(&self, next: DrainStage) {
        self.stage.send_if_modified(|stage| {
            let is_later = next > *stage;
            *stage = next.max(*stage);
            is_later
        });
    }

    async fn reached(&self, wanted: DrainStage) {
        let mut receiver = self.stage.subscribe();
        // The sender lives as long as this handle.
        let _ = receiver.wait_for(|stage| *stage >= wanted).await;
    }
}

/// One open connection.
pub(crate) struct ConnectionGuard {
    drain: HttpDrain,
}

impl ConnectionGuard {
    /// Waits until the connection is to be closed.
    pub(crate) async fn closing(&self) {
        self.drain.reached(DrainStage::Closing).await;
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.drain.connections.fetch_sub(1, Ordering::AcqRel);
    }
}
