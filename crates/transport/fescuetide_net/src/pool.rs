//! Connections from a router to side processes.

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

use crate::FrameChannel;
use crate::FrameError;

/// Settings of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkSettings {
    /// Longest time to connect and to complete the handshake.
    pub connect_timeout: SpanMillis,
    /// An idle connection older than this is closed instead of used, since it may have gone silent.
    pub idle_limit: SpanMillis,
    /// Idle connections kept per VM.
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

/// A connection to a side process after the handshake.
#[derive(Debug)]
pub struct SideLink {
    /// The connection.
    pub stream: FrameChannel,
    /// The VM that answered.
    pub vm: VmName,
    /// The incarnation that answered.
    pub incarnation: ProcessIncarnation,
    /// Whether the connection was idle in the pool before.
    pub reused: bool,
}

struct IdleLink {
    link: SideLink,
    since: ClockMillis,
}

/// Opens connections to side processes and keeps idle ones.
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

    /// Takes an idle connection or opens a new one.
    ///
    /// # Errors
    ///
    /// Fails when no connection to `vm` can be made.
    pub async fn checkout(
        &self,
        vm: &VmName,
        address: SocketAddr,
        now: ClockMillis,
    ) -> Result<SideLink, FrameError> {
        self.checkout_within(vm, address, now, self.settings.connect_timeout)
            .await
    }

    /// Like [`checkout`](Self::checkout), but connects for at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails when no connection to `vm` can be made.
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

    /// Opens a new connection, also when an idle one is there.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be made or another VM answers.
    pub async fn connect(&self, vm: &VmName, address: SocketAddr) -> Result<SideLink, FrameError> {
        self.connect_within(vm, address, self.settings.connect_timeout)
            .await
    }

    /// Like [`connect`](Self::connect), but for at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be made or another VM answers.
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
        let mut stream = FrameChannel::connect(address, timeout).await?;
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

    /// Gives back a connection whose last exchange is complete.
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
            // A dispatch on a connection that its peer has closed would count as one that may have run.
            if !link.stream.is_idle_open() {
                continue;
            }
            link.reused = true;
            return Some(link);
        }
        None
    }
}
