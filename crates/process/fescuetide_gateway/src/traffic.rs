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
use fescuetide_base::StableHash;
use fescuetide_base::VmName;
use fescuetide_fleet::FleetConfig;
use fescuetide_fleet::StartFilter;
use fescuetide_fleet::UpdateFilter;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_flow::FlowKey;
use fescuetide_flow::OriginCommand;
use fescuetide_flow::OriginExchange;
use fescuetide_flow::RequestScheduler;
use fescuetide_limits::FixedWindowLimiter;
use fescuetide_limits::ReportBacklog;
use indexmap::IndexMap;
use indexmap::IndexSet;
use mio::Events;
use mio::Interest;
use mio::Poll;
use mio::Token;
use mio::event::Source;
use mio::net::TcpListener;

use crate::GatewayCounters;
use crate::GatewaySettings;
use crate::buffer_account::BufferAccount;
use crate::codec::HttpCodec;
use crate::connection::CallerConnection;
use crate::connection::Connection;
use crate::connection::UpstreamConnectionState;
use crate::counters::count;
use crate::crash_reports::ReportCommand;
use crate::datagrams::DatagramExchange;
use crate::exchange::Exchange;
use crate::idle::IdleTable;
use crate::load_exchange::SharedConfigView;
use crate::load_exchange::SharedListing;
use crate::log_line_limit;
use crate::log_line_limit::LogLineKind;
use crate::messages::LoopMessage;
use crate::monitoring::MonitoringListener;
use crate::peers::PeerCommand;
use crate::shutdown::DrainState;
use crate::sockets;
use crate::suspension::SUSPENSION_THRESHOLD;
use crate::token_table::TokenTable;

/// Token of the waker.
pub(crate) const WAKER_TOKEN: Token = Token(0);
const CALLERS_TOKEN: Token = Token(1);
const READY_TOKEN: Token = Token(2);
const METRICS_TOKEN: Token = Token(3);
/// Token of the socket for datagrams of other gateways.
pub(crate) const DATAGRAMS_TOKEN: Token = Token(4);

/// Offset between a connection's token in the table and its poll token.
const FIRST_CONNECTION: usize = 5;

/// Maximum number of events per poll.
const EVENT_LIMIT: usize = 256;

/// Size of the shared read buffer, in bytes.
const READ_BYTES: usize = 16 * 1_024;

/// Minimum interval between checks of request deadlines, and the poll timeout while requests are in progress.
const BUSY_TICK: SpanMillis = SpanMillis::new(20);

/// Minimum interval between sweeps of the connections, and the poll timeout while no request is in progress.
const IDLE_TICK: SpanMillis = SpanMillis::new(250);

/// How long after the start a gateway is not ready because its seed peers have not answered.
const PEER_PATIENCE: SpanMillis = SpanMillis::new(1_000);

/// Flags that the signal handlers set.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoopSignals {
    /// A termination signal was received.
    pub(crate) stop: Arc<AtomicBool>,
    /// SIGHUP was received. It only causes a log line, since settings are read at the start only.
    pub(crate) hangup: Arc<AtomicBool>,
}

/// The listening sockets. `callers` is `None` once a shutdown has closed it.
#[derive(Debug)]
pub(crate) struct LoopListeners {
    pub(crate) callers: Option<TcpListener>,
    pub(crate) ready: TcpListener,
    pub(crate) metrics: Option<TcpListener>,
}

/// State of the traffic thread.
pub(crate) struct TrafficLoop<C> {
    pub(crate) poll: Poll,
    pub(crate) listeners: LoopListeners,
    pub(crate) connections: TokenTable<Connection>,
    pub(crate) exchanges: IndexMap<FlowKey, Exchange>,
    pub(crate) idle: IdleTable,
    pub(crate) scheduler: RequestScheduler,
    pub(crate) config: Option<Arc<FleetConfig>>,
    pub(crate) upstreams: Option<IndexMap<VmName, UpstreamEntry>>,
    /// Whether the platform's log was unavailable according to the latest report of either follower.
    pub(crate) is_log_unavailable: bool,
    pub(crate) started: ClockMillis,
    /// Whether accepting connections failed, for example for lack of file descriptors, and must be retried.
    has_unaccepted: bool,
    pub(crate) messages: Receiver<LoopMessage>,
    /// Decides whether a configuration or a peer's list of upstreams replaces the current one.
    pub(crate) update_filter: UpdateFilter,
    /// Holds upstreams back that the log lists just after the start and peers do not have.
    pub(crate) start_filter: StartFilter,
    /// When reading from callers resumes after a suspension, during which the fleet may have changed.
    pub(crate) input_paused_until: Option<ClockMillis>,
    /// Callers whose input is read at `input_paused_until`.
    pub(crate) deferred_reads: IndexSet<usize>,
    /// What connections hold in buffers.
    pub(crate) buffers: BufferAccount,
    /// Connections that may have more to read than their turn allowed.
    pub(crate) unfinished_reads: IndexSet<usize>,
    /// Makes the follower of upstreams read their registrations at once.
    pub(crate) refresh_sender: Option<Sender<()>>,
    /// Whether the crash reports were read, or whether there was an attempt to.
    pub(crate) has_crash_reports: bool,
    /// Whether the seed peers were asked for their crash evidence.
    pub(crate) were_peers_asked: bool,
    /// Finds crash evidence that the log lacks.
    pub(crate) report_backlog: ReportBacklog,
    /// Takes crash evidence for peers, `None` if peers are disabled.
    pub(crate) peer_sender: Option<Sender<PeerCommand>>,
    /// The datagrams between gateways, `None` if peers are disabled.
    pub(crate) datagrams: Option<DatagramExchange>,
    /// How recent the list of upstreams is, shared with the thread that reads it.
    pub(crate) listing: SharedListing,
    /// How recent the configuration is, shared with the thread that reads it.
    pub(crate) config_view: SharedConfigView,
    /// Makes the follower of configurations read the log at once.
    pub(crate) config_refresh_sender: Option<Sender<()>>,
    /// Tells, writes and asks where streams began.
    pub(crate) origin_exchange: OriginExchange,
    /// Takes calls to the log for the origins of streams.
    pub(crate) origin_sender: Option<Sender<OriginCommand>>,
    /// Number of gateways, including this one. 0 until it is known.
    pub(crate) gateway_count: usize,
    /// Takes crash evidence for the platform's log.
    pub(crate) report_sender: Option<Sender<ReportCommand>>,
    pub(crate) signals: LoopSignals,
    pub(crate) counters: Arc<GatewayCounters>,
    pub(crate) codec: C,
    pub(crate) drain: Option<DrainState>,
    pub(crate) grace: SpanMillis,
    pub(crate) now: ClockMillis,
    pub(crate) log_line_quota: FixedWindowLimiter,
    /// Read buffer that all connections share.
    pub(crate) scratch: Vec<u8>,
    last_sweep: ClockMillis,
}

impl<C: HttpCodec> TrafficLoop<C> {
    /// Creates the loop and registers its listeners.
    pub(crate) fn new(
        poll: Poll,
        mut listeners: LoopListeners,
        scheduler: RequestScheduler,
        messages: Receiver<LoopMessage>,
        codec: C,
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
            connections: TokenTable::default(),
            exchanges: IndexMap::new(),
            idle: IdleTable::default(),
            scheduler,
            config: None,
            upstreams: None,
            is_log_unavailable: false,
            started: ClockMillis::now(),
            has_unaccepted: false,
            messages,
            update_filter: UpdateFilter::default(),
            start_filter: StartFilter::new(ClockMillis::now()),
            input_paused_until: None,
            deferred_reads: IndexSet::new(),
            buffers: BufferAccount::new(settings.buffer_limit().get() as usize),
            unfinished_reads: IndexSet::new(),
            refresh_sender: None,
            has_crash_reports: false,
            were_peers_asked: false,
            report_backlog: ReportBacklog::new(report_offset(&settings.vm), ClockMillis::now()),
            peer_sender: None,
            datagrams: None,
            listing: SharedListing::default(),
            config_view: SharedConfigView::default(),
            config_refresh_sender: None,
            origin_exchange: OriginExchange::default(),
            origin_sender: None,
            gateway_count: 0,
            report_sender: None,
            signals: LoopSignals::default(),
            counters: Arc::default(),
            codec,
            drain: None,
            grace: settings.grace(),
            now: ClockMillis::now(),
            log_line_quota: log_line_limit::new_quota(),
            scratch: vec![0; READ_BYTES],
            last_sweep: ClockMillis::now(),
        })
    }

    /// Runs until a shutdown has completed.
    pub(crate) fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(EVENT_LIMIT);
        let mut last_tick = ClockMillis::now();
        loop {
            let is_quiet = self.exchanges.is_empty()
                && self.input_paused_until.is_none()
                && !self.origin_exchange.is_busy();
            let tick = match (self.unfinished_reads.is_empty(), is_quiet) {
                (false, _) => SpanMillis::default(),
                (true, true) => IDLE_TICK,
                (true, false) => BUSY_TICK,
            };
            match self.poll.poll(&mut events, Some(Duration::from(tick))) {
                Ok(()) => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => events.clear(),
                Err(error) => return Err(error),
            }
            let before = self.now;
            self.now = ClockMillis::now();
            if self.now.since(before) > SUSPENSION_THRESHOLD {
                self.resume_after_suspension(self.now.since(before));
            }
            for event in &events {
                self.dispatch(event);
            }
            self.finish_reads();
            self.handle_messages();
            self.exchange_origins();
            self.share_crash_evidence();
            self.report_notices();
            self.resume_input();
            if self.now.since(last_tick) >= BUSY_TICK {
                last_tick = self.now;
                self.scheduler.tick(self.now);
                self.run_actions();
                self.resume_paused_reads();
                self.receive_datagrams();
                self.send_loads();
                self.send_limits();
                self.sweep();
            }
            if self.advance_shutdown() {
                return Ok(());
            }
        }
    }

    fn dispatch(&mut self, event: &mio::event::Event) {
        match event.token() {
            WAKER_TOKEN => {}
            CALLERS_TOKEN => self.accept_callers(),
            READY_TOKEN => self.accept_monitoring(MonitoringListener::Readiness),
            DATAGRAMS_TOKEN => self.receive_datagrams(),
            METRICS_TOKEN => self.accept_monitoring(MonitoringListener::Metrics),
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
                            self.read_connection(token, is_closed);
                        }
                    }
                    Some(Connection::Upstream(_)) => {
                        if event.is_writable() {
                            self.write_attempt(token);
                        }
                        if is_read {
                            self.read_connection(token, is_closed);
                        }
                    }
                    Some(Connection::Monitoring(_)) => self.serve_monitoring(token),
                    None => {}
                }
                self.run_actions();
            }
        }
    }

    /// Registers a connection and returns its token.
    pub(crate) fn register(&mut self, connection: Connection) -> io::Result<usize> {
        let token = self.connections.insert(connection);
        let mio_token = Token(token + FIRST_CONNECTION);
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registry = self.poll.registry();
        let result = match self.connections.get_mut(token) {
            Some(Connection::Caller(caller)) => {
                registry.register(&mut caller.stream, mio_token, interest)
            }
            Some(Connection::Upstream(upstream)) => {
                registry.register(&mut upstream.stream, mio_token, interest)
            }
            Some(Connection::Monitoring(monitoring)) => {
                registry.register(&mut monitoring.stream, mio_token, interest)
            }
            None => unreachable!("the connection was inserted above"),
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
                    // The listener is edge-triggered and does not report pending connections again, so the next sweep
                    // retries.
                    tracing::warn!(%error, "failed to accept a connection");
                    self.has_unaccepted = true;
                    return;
                }
            };
            count(&self.counters.caller_connections);
            // Disables Nagle's algorithm, so that events are sent without delay.
            if let Err(error) = stream.set_nodelay(true) {
                tracing::warn!(%error, "failed to set TCP_NODELAY, closing the connection");
                continue;
            }
            let caller = CallerConnection::new(stream, self.now);
            match self.register(Connection::Caller(caller)) {
                Ok(token) => self.read_connection(token, true),
                Err(error) => tracing::warn!(%error, "failed to register a connection"),
            }
            self.run_actions();
        }
    }

    /// Periodic work: closes expired connections and retries failed accepts.
    fn sweep(&mut self) {
        if self.now.since(self.last_sweep) < IDLE_TICK {
            return;
        }
        self.last_sweep = self.now;
        log_line_limit::report_suppressed(&mut self.log_line_quota);
        self.sweep_callers();
        if std::mem::take(&mut self.has_unaccepted) {
            self.accept_callers();
        }
        self.sweep_upstreams();
        self.sweep_monitoring();
        self.publish_gauges();
        self.release_held_upstreams();
        self.report_missing_evidence();
        self.run_actions();
    }

    /// Whether a log line about a request may be written.
    pub(crate) fn may_log(&mut self, kind: LogLineKind) -> bool {
        self.log_line_quota.try_acquire(kind as usize, self.now)
    }

    /// Closes and returns a connection. It is reset if an attempt is in progress, since unsent bytes of the attempt may still
    /// be sent otherwise, or if a response breaks off whose end is the close of the connection.
    pub(crate) fn remove(&mut self, token: usize) -> Option<Connection> {
        let connection = self.connections.remove(token)?;
        self.buffers.remove(token);
        let result = match &connection {
            Connection::Upstream(upstream) => match upstream.state {
                UpstreamConnectionState::Busy { .. } => sockets::reset_on_close(&upstream.stream),
                _ => Ok(()),
            },
            Connection::Caller(caller) if caller.ends_with_close => {
                sockets::reset_on_close(&caller.stream)
            }
            _ => Ok(()),
        };
        if let Err(error) = result {
            tracing::debug!(
                %error,
                "failed to set SO_LINGER, so the connection is closed without a reset"
            );
        }
        // Dropping the socket also removes it from the poll.
        Some(connection)
    }

    /// Whether the gateway is ready to serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        let has_upstreams = self
            .upstreams
            .as_ref()
            .is_some_and(|table| !table.is_empty());
        let has_fleet = self.config.is_some() && has_upstreams && self.has_crash_evidence();
        has_fleet && self.drain.is_none()
    }

    /// Whether this gateway knows what the others know about requests that crash upstreams. Otherwise, a request that they
    /// refuse would be sent on. The log alone may lack what was found while it was away.
    fn has_crash_evidence(&self) -> bool {
        let is_patient = self.now.since(self.started) < PEER_PATIENCE;
        let awaits_peers = self.peer_sender.is_some() && !self.were_peers_asked && is_patient;
        self.has_crash_reports && !awaits_peers
    }

    /// Whether a termination signal was received.
    pub(crate) fn is_stop_requested(&self) -> bool {
        self.signals.stop.load(Ordering::Acquire)
    }
}

/// When, relative to other gateways, this one checks for evidence that the log lacks.
fn report_offset(vm: &str) -> SpanMillis {
    SpanMillis::new(StableHash::hash_bytes(vm.as_bytes()))
}
