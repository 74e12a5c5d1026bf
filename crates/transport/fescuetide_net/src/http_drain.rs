//! Closing of an HTTP server's connections without cutting responses off.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::sync::watch;

/// Closes the connections of a server: idle ones at once, all others when their response has been written in full.
#[derive(Clone, Debug)]
pub struct HttpDrain {
    closing: Arc<watch::Sender<bool>>,
    connections: Arc<AtomicUsize>,
}

impl Default for HttpDrain {
    fn default() -> Self {
        Self {
            closing: Arc::new(watch::Sender::new(false)),
            connections: Arc::default(),
        }
    }
}

impl HttpDrain {
    /// Starts to close all connections, also those that arrive later.
    pub fn close_connections(&self) {
        self.closing.send_replace(true);
    }

    /// Connections that are open.
    pub fn connection_count(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }

    /// Counts a connection as open until the guard is dropped.
    pub(crate) fn note_connection(&self) -> ConnectionGuard {
        self.connections.fetch_add(1, Ordering::AcqRel);
        ConnectionGuard {
            drain: self.clone(),
        }
    }
}

/// One open connection.
pub(crate) struct ConnectionGuard {
    drain: HttpDrain,
}

impl ConnectionGuard {
    /// Waits until the connection is to be closed.
    pub(crate) async fn closing(&self) {
        let mut receiver = self.drain.closing.subscribe();
        // The sender lives as long as this guard.
        let _ = receiver.wait_for(|closing| *closing).await;
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.drain.connections.fetch_sub(1, Ordering::AcqRel);
    }
}
