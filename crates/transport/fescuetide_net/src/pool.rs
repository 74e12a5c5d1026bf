//! A pool of connections from a router to side processes.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;

use fescuetide_base::ClockMillis;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_wire::frame::PROTOCOL_VERSION;
use fescuetide_wire::frame::RouterFrame;
use fescuetide_wire::frame::SideFrame;
use indexmap::IndexMap;

use crate::AsyncFramedStream;
use crate::FrameError;

/// The settings of a connection pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionPoolSettings {
    /// The timeout for connecting, and for receiving the handshake response.
    pub connect_timeout: SpanMillis,
    /// The maximum idle time of a connection. Connections that were idle for longer are closed instead of reused,
    /// because the peer may have become unreachable without closing them.
    pub max_idle_time: SpanMillis,
    /// The maximum number of idle connections per VM.
    pub max_idle_per_vm: usize,
}

impl Default for ConnectionPoolSettings {
    fn default() -> Self {
        Self {
            connect_timeout: SpanMillis::new(1_000),
            max_idle_time: SpanMillis::new(10_000),
            max_idle_per_vm: 16,
        }
    }
}

/// A connection to a side process with a completed handshake.
#[derive(Debug)]
pub struct SideConnection {
    /// The underlying connection.
    pub stream: AsyncFramedStream,
    /// The VM of the side process.
    pub vm: VmName,
    /// The incarnation of the side process.
    pub incarnation: ProcessIncarnation,
    /// Whether the connection was taken from the pool, as opposed to newly opened.
    pub reused: bool,
}

struct IdleConnection {
    connection: SideConnection,
    idle_since: ClockMillis,
}

/// Opens connections to side processes and keeps idle ones for reuse.
pub struct ConnectionPool {
    router: VmName,
    incarnation: ProcessIncarnation,
    settings: ConnectionPoolSettings,
    idle: Mutex<IndexMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Creates an empty pool for a router.
    pub fn new(
        router: VmName,
        incarnation: ProcessIncarnation,
        settings: ConnectionPoolSettings,
    ) -> Self {
        Self {
            router,
            incarnation,
            settings,
            idle: Mutex::default(),
        }
    }

    /// Returns an idle connection, or opens a new one if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection to `vm` can be established.
    pub async fn checkout(
        &self,
        vm: &VmName,
        address: SocketAddr,
        now: ClockMillis,
    ) -> Result<SideConnection, FrameError> {
        self.checkout_within(vm, address, now, self.settings.connect_timeout)
            .await
    }

    /// Like [`checkout`](Self::checkout), but with the shorter of `timeout` and the configured connect timeout.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection to `vm` can be established.
    pub async fn checkout_within(
        &self,
        vm: &VmName,
        address: SocketAddr,
        now: ClockMillis,
        timeout: SpanMillis,
    ) -> Result<SideConnection, FrameError> {
        if let Some(connection) = self.take_idle(vm, address, now) {
            return Ok(connection);
        }
        self.connect_within(vm, address, timeout).await
    }

    /// Opens a new connection, even if an idle one is available.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be established, or if another VM responds at `address`.
    pub async fn connect(
        &self,
        vm: &VmName,
        address: SocketAddr,
    ) -> Result<SideConnection, FrameError> {
        self.connect_within(vm, address, self.settings.connect_timeout)
            .await
    }

    /// Like [`connect`](Self::connect), but with the shorter of `timeout` and the configured connect timeout.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be established, or if another VM responds at `address`.
    pub async fn connect_within(
        &self,
        vm: &VmName,
        address: SocketAddr,
        timeout: SpanMillis,
    ) -> Result<SideConnection, FrameError> {
        let timeout = timeout.min(self.settings.connect_timeout);
        if timeout.as_millis() == 0 {
            return Err(FrameError::Timeout);
        }
        let mut stream = AsyncFramedStream::connect(address, timeout).await?;
        let hello = RouterFrame::Hello {
            version: PROTOCOL_VERSION,
            router: self.router.clone(),
            incarnation: self.incarnation,
        };
        stream.send(&hello).await?;
        let frame: SideFrame = stream.receive(timeout).await?;
        let SideFrame::Welcome {
            vm: responder,
            incarnation,
            ..
        } = frame
        else {
            return Err(FrameError::Protocol(
                "first frame is not a welcome".to_owned(),
            ));
        };
        if responder != *vm {
            return Err(FrameError::Protocol(format!(
                "expected VM {vm}, but VM {responder} responded"
            )));
        }
        Ok(SideConnection {
            stream,
            vm: responder,
            incarnation,
            reused: false,
        })
    }

    /// Gives a connection back to the pool after its last exchange is complete. Closes it if the pool already has the
    /// maximum number of idle connections to the VM.
    pub fn checkin(&self, address: SocketAddr, connection: SideConnection, now: ClockMillis) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        if connections.len() >= self.settings.max_idle_per_vm {
            return;
        }
        connections.push(IdleConnection {
            connection,
            idle_since: now,
        });
    }

    fn take_idle(
        &self,
        vm: &VmName,
        address: SocketAddr,
        now: ClockMillis,
    ) -> Option<SideConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        while let Some(candidate) = connections.pop() {
            if now.since(candidate.idle_since) > self.settings.max_idle_time
                || candidate.connection.vm != *vm
            {
                continue;
            }
            let mut connection = candidate.connection;
            // If a dispatch is sent on a closed connection, the router cannot tell whether the peer received it, and
            // has to assume that the attempt may have run.
            if !connection.stream.is_reusable() {
                continue;
            }
            connection.reused = true;
            return Some(connection);
        }
        None
    }
}
