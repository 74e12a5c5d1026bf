//! Graceful shutdown of an HTTP server.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::sync::watch;

/// The stages of a graceful shutdown, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum DrainStage {
    /// Connections are accepted and kept alive.
    Serving,
    /// Idle connections are closed, busy ones after their request, and those without any request yet after their first
    /// request or a timeout.
    Closing,
    /// The listener is closed once the pending connections have been accepted.
    Stopping,
    /// The listener is closed.
    Stopped,
}

/// A handle for the graceful shutdown of a server, which takes two steps.
///
/// First, the connections are closed: idle ones immediately, others after the response in progress has been written
/// completely. Second, the listener is closed.
///
/// The first request on a new connection may still be in transit, so such a connection is closed only after this
/// request or a timeout.
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
    /// Starts closing all connections, including those accepted later.
    pub fn close_connections(&self) {
        self.advance_to(DrainStage::Closing);
    }

    /// Starts closing the listener. Pending connections are accepted first, because closing the listener would reset
    /// them.
    pub fn stop_listening(&self) {
        self.advance_to(DrainStage::Stopping);
    }

    /// Returns `true` if the listener is closed.
    pub fn is_stopped(&self) -> bool {
        *self.stage.borrow() == DrainStage::Stopped
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }

    /// Waits until [`stop_listening`](Self::stop_listening) is called.
    pub(crate) async fn stop_requested(&self) {
        self.wait_for_stage(DrainStage::Stopping).await;
    }

    /// Records that the listener is closed.
    pub(crate) fn mark_stopped(&self) {
        self.advance_to(DrainStage::Stopped);
    }

    /// Counts a connection as open until the returned guard is dropped.
    pub(crate) fn track_connection(&self) -> ConnectionGuard {
        self.connections.fetch_add(1, Ordering::AcqRel);
        ConnectionGuard {
            drain: self.clone(),
        }
    }

    fn advance_to(&self, next: DrainStage) {
        self.stage.send_if_modified(|stage| {
            let is_later = next > *stage;
            *stage = next.max(*stage);
            is_later
        });
    }

    async fn wait_for_stage(&self, minimum: DrainStage) {
        let mut receiver = self.stage.subscribe();
        // `wait_for` cannot fail, because `self` keeps the sender alive.
        let _ = receiver.wait_for(|stage| *stage >= minimum).await;
    }
}

/// Counts an open connection until it is dropped.
pub(crate) struct ConnectionGuard {
    drain: HttpDrain,
}

impl ConnectionGuard {
    /// Waits until [`HttpDrain::close_connections`] is called.
    pub(crate) async fn close_requested(&self) {
        self.drain.wait_for_stage(DrainStage::Closing).await;
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.drain.connections.fetch_sub(1, Ordering::AcqRel);
    }
}
