//! The event loop of the traffic thread.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_fleet::FleetConfig;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_fleet::ViewLedger;
use fescuetide_flow::FlowKey;
use fescuetide_flow::RequestScheduler;
use fescuetide_limits::WindowQuota;
use indexmap::IndexMap;
use indexmap::IndexSet;
use mio::Events;
use mio::Interest;
use mio::Poll;
use mio::Token;
use mio::event::Source;
use mio::net::TcpListener;
use slab::Slab;

use crate::GatewayCounters;
use crate::GatewaySettings;
use crate::connection::CallerConnection;
use crate::connection::Connection;
use crate::connection::UpstreamWork;
use crate::counters::count;
use crate::dialect::EdgeDialect;
use crate::exchange::Exchange;
use crate::idle::IdleTable;
use crate::line_budget;
use crate::line_budget::LineKind;
use crate::news::LoopNews;
use crate::peer_shelf::RefusedList;
use crate::shutdown::DrainState;
use crate::sockets;

/// The token of the waker.
pub(crate) const WAKER_TOKEN: Token = Token(0);
const CALLERS_TOKEN: Token = Token(1);
const READY_TOKEN: Token = Token(2);
const METRICS_TOKEN: Token = Token(3);

/// Tokens of connections begin here.
const FIRST_CONNECTION: usize = 4;

/// Most events taken at once.
const EVENT_LIMIT: usize = 256;

/// Bytes read at once, from any connection.
const READ_BYTES: usize = 16 * 1_024;

/// How often deadlines are looked at while requests are served.
const BUSY_TICK: SpanMillis = SpanMillis::new(20);

/// How often connections are looked at while nothing is served.
const IDLE_TICK: SpanMillis = SpanMillis::new(250);

/// A loop that stood still for this long was suspended.
const SUSPENSION_LIMIT: SpanMillis = SpanMillis::new(1_000);

/// How long no request is taken in after a suspension. News that came meanwhile lie in the followers' sockets, and
/// upstreams are read at once.
const RECHECK_SPAN: SpanMillis = SpanMillis::new(150);

/// What the process tells the loop.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoopSignals {
    /// A termination signal came.
    pub(crate) stop: Arc<AtomicBool>,
    /// The settings file changed.
    pub(crate) reload: Arc<AtomicBool>,
}

/// The listeners.
#[derive(Debug)]
pub(crate) struct LoopListeners {
    pub(crate) callers: Option<TcpListener>,
    pub(crate) ready: TcpListener,
    pub(crate) metrics: Option<TcpListener>,
}

/// The state of the traffic thread.
pub(crate) struct TrafficLoop<D> {
    pub(crate) poll: Poll,
    pub(crate) listeners: LoopListeners,
    pub(crate) connections: Slab<Connection>,
    pub(crate) exchanges: IndexMap<FlowKey, Exchange>,
    pub(crate) idle: IdleTable,
    pub(crate) core: RequestScheduler,
    pub(crate) config: Option<Arc<FleetConfig>>,
    pub(crate) upstreams: Option<IndexMap<VmName, UpstreamEntry>>,
    /// Whether the platform's log gave no answer lately.
    pub(crate) is_log_away: bool,
    pub(crate) started: ClockMillis,
    /// Whether connections wait that could not be accepted, for want of descriptors.
    has_unaccepted: bool,
    pub(crate) news: Receiver<LoopNews>,
    /// Which news about the fleet count.
    pub(crate) ledger: ViewLedger,
    /// Until when no request is taken in, since the fleet may have changed while this process stood still.
    recheck_until: Option<ClockMillis>,
    /// Connections of callers that have something to read then.
    unread: IndexSet<usize>,
    /// Makes the follower of upstreams read at once.
    pub(crate) read_upstreams: Option<Sender<()>>,
    /// Where requests that crash upstreams are told to peers, `None` without peers.
    pub(crate) refused: Option<Sender<RefusedList>>,
    pub(crate) signals: LoopSignals,
    pub(crate) counters: Arc<GatewayCounters>,
    pub(crate) dialect: D,
    pub(crate) drain: Option<DrainState>,
    pub(crate) grace: SpanMillis,
    pub(crate) now: ClockMillis,
    pub(crate) lines: WindowQuota,
    /// The buffer for all reads.
    pub(crate) scratch: Vec<u8>,
    last_sweep: ClockMillis,
}

impl<D: EdgeDialect> TrafficLoop<D> {
    /// Creates the loop and registers its listeners.
    pub(crate) fn new(
        poll: Poll,
        mut listeners: LoopListeners,
        core: RequestScheduler,
        news: Receiver<LoopNews>,
        dialect: D,
        settings: &GatewaySettings,
    ) -> io::Result<Self> {
        let registry = poll.registry();
        if let Some(callers) = &mut listeners.callers {
            callers.register(registry, CALLERS_TOKEN, Interest::READABLE)?;
        }
        listeners
            .ready
            .register(registry, READY_TOKEN, Interest::READABLE)?;
        if let Some(metrics) = &mut listeners.metrics {
            metrics.register(registry, METRICS_TOKEN, Interest::READABLE)?;
        }
        Ok(Self {
            poll,
            listeners,
            connections: Slab::new(),
            exchanges: IndexMap::new(),
            idle: IdleTable::default(),
            core,
            config: None,
            upstreams: None,
            is_log_away: false,
            started: ClockMillis::now(),
            has_unaccepted: false,
            news,
            ledger: ViewLedger::default(),
            recheck_until: None,
            unread: IndexSet::new(),
            read_upstreams: None,
            refused: None,
            signals: LoopSignals::default(),
            counters: Arc::default(),
            dialect,
            drain: None,
            grace: settings.grace(),
            now: ClockMillis::now(),
            lines: line_budget::new_quota(),
            scratch: vec![0; READ_BYTES],
            last_sweep: ClockMillis::now(),
        })
    }

    /// Serves until a termination signal came and everything is finished.
    pub(crate) fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(EVENT_LIMIT);
        let mut last_tick = ClockMillis::now();
        loop {
            let is_calm = self.exchanges.is_empty() && self.recheck_until.is_none();
            let tick = if is_calm { IDLE_TICK } else { BUSY_TICK };
            match self.poll.poll(&mut events, Some(Duration::from(tick))) {
                Ok(()) => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => events.clear(),
                Err(error) => return Err(error),
            }
            let before = self.now;
            self.now = ClockMillis::now();
            if self.now.since(before) > SUSPENSION_LIMIT {
                self.resume_after_suspension(self.now.since(before));
            }
            for event in &events {
                self.dispatch(event);
            }
            self.take_news();
            self.end_recheck();
            if self.now.since(last_tick) >= BUSY_TICK {
                last_tick = self.now;
                self.core.tick(self.now);
                self.perform();
                self.tell_refused();
                self.sweep();
            }
            if self.step_shutdown() {
                return Ok(());
            }
        }
    }

    fn dispatch(&mut self, event: &mio::event::Event) {
        match event.token() {
            WAKER_TOKEN => {}
            CALLERS_TOKEN => self.accept_callers(),
            READY_TOKEN => self.accept_probes(true),
            METRICS_TOKEN => self.accept_probes(false),
            Token(token) => {
                let token = token - FIRST_CONNECTION;
                let is_closed = event.is_read_closed() || event.is_error();
                let is_read = event.is_readable() || is_closed;
                match self.connections.get(token) {
                    Some(Connection::Caller(_)) => {
                        if event.is_writable() {
                            self.flush_caller(token);
                        }
                        if is_read {
                            self.read_caller(token, is_closed);
                        }
                    }
                    Some(Connection::Upstream(_)) => {
                        if event.is_writable() {
                            self.write_attempt(token);
                        }
                        if is_read {
                            self.read_upstream(token, is_closed);
                        }
                    }
                    Some(Connection::Probe(_)) => self.serve_probe(token),
                    None => {}
                }
                self.perform();
            }
        }
    }

    /// Adds a connection to the loop and returns its token.
    pub(crate) fn register(&mut self, connection: Connection) -> io::Result<usize> {
        let token = self.connections.insert(connection);
        let mio_token = Token(token + FIRST_CONNECTION);
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registry = self.poll.registry();
        let result = match &mut self.connections[token] {
            Connection::Caller(caller) => {
                registry.register(&mut caller.stream, mio_token, interest)
            }
            Connection::Upstream(upstream) => {
                registry.register(&mut upstream.stream, mio_token, interest)
            }
            Connection::Probe(probe) => registry.register(&mut probe.stream, mio_token, interest),
        };
        if let Err(error) = result {
            self.connections.remove(token);
            return Err(error);
        }
        Ok(token)
    }

    pub(crate) fn accept_callers(&mut self) {
        loop {
            let Some(listener) = &self.listeners.callers else {
                return;
            };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    // The listener announces waiting connections once; they are tried again with the next sweep.
                    tracing::warn!(%error, "connection is not accepted");
                    self.has_unaccepted = true;
                    return;
                }
            };
            count(&self.counters.caller_connections);
            // Events must leave at once.
            if let Err(error) = stream.set_nodelay(true) {
                tracing::warn!(%error, "connection is closed before it is used");
                continue;
            }
            let caller = CallerConnection::new(stream, self.now);
            match self.register(Connection::Caller(caller)) {
                Ok(token) => self.read_caller(token, true),
                Err(error) => tracing::warn!(%error, "connection cannot be watched"),
            }
            self.perform();
        }
    }

    /// Drops what may have died while this process stood still. Callers and attempts are judged by the time that has
    /// passed, since the clock counts it.
    fn resume_after_suspension(&mut self, span: SpanMillis) {
        tracing::warn!(
            stood_still_ms = span.as_millis(),
            "resumed after a suspension"
        );
        for token in self.idle.tokens() {
            self.drop_idle(token);
        }
        self.recheck_until = Some(self.now + RECHECK_SPAN);
        if let Some(sender) = &self.read_upstreams
            && sender.send(()).is_err()
        {
            tracing::error!("the upstreams cannot be read again");
        }
    }

    /// Whether a caller's bytes are left unread for now; they are read when the fleet was looked at again.
    pub(crate) fn leaves_unread(&mut self, token: usize) -> bool {
        let is_rechecking = self.recheck_until.is_some();
        if is_rechecking {
            self.unread.insert(token);
        }
        is_rechecking
    }

    /// Takes requests in again when the time for news has passed.
    fn end_recheck(&mut self) {
        if self.recheck_until.is_none_or(|until| self.now < until) {
            return;
        }
        self.recheck_until = None;
        for token in std::mem::take(&mut self.unread) {
            if let Some(Connection::Caller(_)) = self.connections.get(token) {
                self.read_caller(token, true);
                self.perform();
            }
        }
    }

    /// Looks after connections that wait.
    fn sweep(&mut self) {
        if self.now.since(self.last_sweep) < IDLE_TICK {
            return;
        }
        self.last_sweep = self.now;
        line_budget::report_left_out(&mut self.lines);
        self.sweep_callers();
        if std::mem::take(&mut self.has_unaccepted) {
            self.accept_callers();
        }
        self.sweep_upstreams();
        self.sweep_probes();
        self.perform();
    }

    /// Whether a log line about a request may be written.
    pub(crate) fn may_log(&mut self, kind: LineKind) -> bool {
        self.lines.allows(kind as usize, self.now)
    }

    /// Closes a connection and returns what it did.
    pub(crate) fn remove(&mut self, token: usize) -> Option<Connection> {
        let connection = self.connections.try_remove(token)?;
        if let Connection::Upstream(upstream) = &connection
            && let UpstreamWork::Busy { .. } = upstream.work
            && let Err(error) = sockets::discard_unsent(&upstream.stream)
        {
            tracing::debug!(upstream = %upstream.vm, %error, "bytes of an attempt may arrive late");
        }
        // Closing the socket takes it out of the poll as well.
        Some(connection)
    }

    /// Whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        let has_upstreams = self
            .upstreams
            .as_ref()
            .is_some_and(|table| !table.is_empty());
        self.config.is_some() && has_upstreams && self.drain.is_none()
    }

    /// Whether a termination signal came.
    pub(crate) fn takes_signal(&self) -> bool {
        self.signals.stop.load(Ordering::Acquire)
    }
}
