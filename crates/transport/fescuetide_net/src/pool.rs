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
pub struct LinkSettings {
    /// The timeout for connecting, and for receiving the handshake response.
    pub connect_timeout: SpanMillis,
    /// The maximum idle time of a connection. Connections that were idle for longer are closed instead of reused,
    /// because the peer may have become unreachable without closing them.
    pub idle_limit: SpanMillis,
    /// The maximum number of idle connections per VM.
    pub idle_count: usize,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            connect_timeout: SpanMillis::new(1_000),
            idle_limit: SpanMillis::new(10_000),
            idle_count: 16,
        }
    }
}

/// A connection to a side process with a completed handshake.
#[derive(Debug)]
pub struct SideLink {
    /// The underlying connection.
    pub stream: AsyncFramedStream,
    /// The VM of the side process.
    pub vm: VmName,
    /// The incarnation of the side process.
    pub incarnation: ProcessIncarnation,
    /// Whether the connection was taken from the pool, as opposed to newly opened.
    pub reused: bool,
}

struct IdleLink {
    link: SideLink,
    since: ClockMillis,
}

/// Opens connections to side processes and keeps idle ones for reuse.
pub struct LinkPool {
    router: VmName,
    incarnation: ProcessIncarnation,
    settings: LinkSettings,
    idle: Mutex<IndexMap<SocketAddr, Vec<IdleLink>>>,
}

impl LinkPool {
    /// Creates an empty pool for a router.
    pub fn new(router: VmName, incarnation: ProcessIncarnation, settings: LinkSettings) -> Self {
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
    ) -> Result<SideLink, FrameError> {
        self.checkout_within(vm, address, now, self.settings.connect_timeout)
            .await
    }

    /// Like [`checkout`](Self::checkout), but with `limit` as an additional limit on the connect timeout.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection to `vm` can be established.
    pub async fn checkout_within(
        &self,
        vm: &VmName,
        address: SocketAddr,
        now: ClockMillis,
        limit: SpanMillis,
    ) -> Result<SideLink, FrameError> {
        if let Some(link) = self.take_idle(vm, address, now) {
            return Ok(link);
        }
        self.connect_within(vm, address, limit).await
    }

    /// Opens a new connection, even if an idle one is available.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be established, or if another VM responds at `address`.
    pub async fn connect(&self, vm: &VmName, address: SocketAddr) -> Result<SideLink, FrameError> {
        self.connect_within(vm, address, self.settings.connect_timeout)
            .await
    }

    /// Like [`connect`](Self::connect), but with `limit` as an additional limit on the connect timeout.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be established, or if another VM responds at `address`.
    pub async fn connect_within(
        &self,
        vm: &VmName,
        address: SocketAddr,
        limit: SpanMillis,
    ) -> Result<SideLink, FrameError> {
        let timeout = self.settings.connect_timeout.min(limit);
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
            vm: found,
            incarnation,
            ..
        } = frame
        else {
            return Err(FrameError::Protocol(
                "first frame is not a welcome".to_owned(),
            ));
        };
        if found != *vm {
            return Err(FrameError::Protocol(format!(
                "expected VM {vm}, but {found} answered"
            )));
        }
        Ok(SideLink {
            stream,
            vm: found,
            incarnation,
            reused: false,
        })
    }

    /// Returns a connection to the pool after its last exchange is complete. Closes it if the pool is full.
    pub fn give_back(&self, address: SocketAddr, link: SideLink, now: ClockMillis) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let links = idle.entry(address).or_default();
        if links.len() >= self.settings.idle_count {
            return;
        }
        links.push(IdleLink { link, since: now });
    }

    fn take_idle(&self, vm: &VmName, address: SocketAddr, now: ClockMillis) -> Option<SideLink> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let links = idle.get_mut(&address)?;
        while let Some(candidate) = links.pop() {
            if now.since(candidate.since) > self.settings.idle_limit || candidate.link.vm != *vm {
                continue;
            }
            let mut link = candidate.link;
            // A dispatch on a connection that the peer has closed would have to be treated as one that may have run.
            if !link.stream.is_reusable() {
                continue;
            }
            link.reused = true;
            return Some(link);
        }
        None
    }
}
