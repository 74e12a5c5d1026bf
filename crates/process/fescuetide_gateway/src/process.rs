//! The gateway process.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;

use anyhow::Context;
use crossbeam::channel;
use fescuetide_base::ClockMillis;
use fescuetide_base::StableHash;
use fescuetide_fleet::PeerTable;
use fescuetide_flow::GatewayList;
use fescuetide_flow::RequestScheduler;
use mio::Poll;
use mio::Waker;

use crate::GatewayCounters;
use crate::GatewaySettings;
use crate::codec::HttpCodec;
use crate::codec::RecordCodec;
use crate::crash_reports;
use crate::datagrams::DatagramExchange;
use crate::follower;
use crate::follower::FleetPublisher;
use crate::follower::FollowIntervals;
use crate::follower::RefreshRequests;
use crate::load_exchange::SharedConfigView;
use crate::load_exchange::SharedListing;
use crate::log_client::OutageCounter;
use crate::origin_log;
use crate::peer_state::PeerState;
use crate::peers;
use crate::registry::GatewayRegistry;
use crate::report_appender::ReportAppender;
use crate::sockets;
use crate::traffic::DATAGRAMS_TOKEN;
use crate::traffic::LoopListeners;
use crate::traffic::LoopSignals;
use crate::traffic::TrafficLoop;
use crate::traffic::WAKER_TOKEN;

/// A gateway process whose listeners and control threads are running.
pub struct GatewayProcess<C> {
    traffic: TrafficLoop<C>,
}

impl<C: HttpCodec> GatewayProcess<C> {
    /// Opens the listeners and starts the control threads.
    ///
    /// # Errors
    ///
    /// Fails if a setting is invalid, a listener cannot be opened or a thread cannot be started.
    pub fn start<R: RecordCodec>(
        settings: &GatewaySettings,
        codec: C,
        records: &R,
    ) -> anyhow::Result<Self> {
        let poll = Poll::new().context("cannot create the event loop")?;
        let waker = Waker::new(poll.registry(), WAKER_TOKEN).context("cannot create the waker")?;
        let listeners = open_listeners(settings)?;
        let (sender, messages) = channel::unbounded();
        let counters = Arc::<GatewayCounters>::default();
        let zone = settings.zone.parse().context("invalid zone")?;
        let seed = StableHash::hash_bytes(settings.vm.as_bytes());
        let scheduler = RequestScheduler::new(settings.flow_settings(), zone).with_seed(seed);
        let mut traffic = TrafficLoop::new(poll, listeners, scheduler, messages, codec, settings)
            .context("cannot register the listeners")?;
        traffic.counters = Arc::clone(&counters);
        traffic.signals = watch_signals().context("cannot install the signal handlers")?;
        let (report_sender, report_commands) = channel::unbounded();
        let mut registry = None;
        let mut publisher = FleetPublisher {
            sender,
            waker: Arc::new(waker),
            counters,
            peer_state: Arc::default(),
            outages: OutageCounter::default(),
            listing: SharedListing::default(),
            config_view: SharedConfigView::default(),
            report_sender,
        };
        let log_service = parse_address("log_service", &settings.log_service)?;
        if let Some(listener) = open_peer_listener(settings)? {
            let own = listener.local_addr()?;
            let table = PeerTable::new(own, &settings.seed_addresses(), ClockMillis::now());
            publisher.peer_state = Arc::new(PeerState::new(table));
            let common_port = (settings.load_port != 0).then_some(settings.load_port);
            let poll_registry = traffic.poll.registry();
            let exchange = DatagramExchange::open(
                poll_registry,
                DATAGRAMS_TOKEN,
                own,
                common_port,
                &publisher,
            )
            .with_context(|| format!("cannot open the socket for datagrams at {own}"))?;
            let gateways = GatewayList::new(exchange.own(), exchange.peers());
            traffic.origin_exchange.set_gateways(gateways);
            traffic.datagrams = Some(exchange);
            let peer_sender =
                peers::start(listener, &publisher).context("cannot start a peer thread")?;
            traffic.peer_sender = Some(peer_sender.clone());
            if own.ip().is_unspecified() {
                tracing::warn!(%own, "other gateways cannot find this one, since it listens at no particular address");
            } else {
                registry = Some(GatewayRegistry::new(
                    log_service,
                    own,
                    records,
                    &publisher,
                    peer_sender,
                ));
            }
        }
        let intervals = FollowIntervals {
            config_wait: settings.config_wait(),
            upstream_pause: settings.upstream_pause(),
            seed,
        };
        let (refresh_sender, upstreams) = channel::unbounded();
        traffic.refresh_sender = Some(refresh_sender);
        let (refresh_sender, configs) = channel::unbounded();
        traffic.config_refresh_sender = Some(refresh_sender);
        traffic.config_view = publisher.config_view.clone();
        follower::start(
            log_service,
            records,
            &publisher,
            intervals,
            RefreshRequests { configs, upstreams },
        )
        .context("cannot start a control thread")?;
        let appender = ReportAppender::new(
            log_service,
            &settings.vm,
            records,
            &publisher,
            traffic.peer_sender.clone(),
            registry,
        );
        let report_sender = publisher.report_sender.clone();
        crash_reports::start(
            log_service,
            &publisher,
            appender,
            report_commands,
            report_sender.clone(),
        )
        .context("cannot start a control thread")?;
        traffic.report_sender = Some(report_sender);
        let origin_sender = origin_log::start(log_service, records, &publisher)
            .context("cannot start a control thread")?;
        traffic.origin_sender = Some(origin_sender);
        traffic.listing = publisher.listing.clone();
        tracing::info!(
            vm = settings.vm,
            zone = settings.zone,
            callers = settings.callers,
            "gateway started"
        );
        Ok(Self { traffic })
    }

    /// Runs the event loop until a shutdown has completed.
    ///
    /// # Errors
    ///
    /// Fails if the event loop fails.
    pub fn run(mut self) -> anyhow::Result<()> {
        self.traffic.run().context("event loop failed")
    }
}

fn parse_address(key: &str, text: &str) -> anyhow::Result<SocketAddr> {
    text.parse()
        .with_context(|| format!("{key}: {text:?} is not a socket address"))
}

fn open_listeners(settings: &GatewaySettings) -> anyhow::Result<LoopListeners> {
    let open = |key: &str, text: &str| -> anyhow::Result<mio::net::TcpListener> {
        let address = parse_address(key, text)?;
        sockets::listen(address).with_context(|| format!("{key}: cannot listen on {address}"))
    };
    let metrics = match settings.metrics.as_str() {
        "" => None,
        text => Some(open("metrics", text)?),
    };
    Ok(LoopListeners {
        callers: Some(open("callers", &settings.callers)?),
        ready: open("ready", &settings.ready)?,
        metrics,
    })
}

fn open_peer_listener(settings: &GatewaySettings) -> anyhow::Result<Option<TcpListener>> {
    if settings.peers.is_empty() {
        return Ok(None);
    }
    let address = parse_address("peers", &settings.peers)?;
    let listener = TcpListener::bind(address);
    let listener = listener.with_context(|| format!("peers: cannot listen on {address}"))?;
    Ok(Some(listener))
}

fn watch_signals() -> std::io::Result<LoopSignals> {
    let signals = LoopSignals::default();
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&signals.stop))?;
    }
    signal_hook::flag::register(signal_hook::consts::SIGHUP, Arc::clone(&signals.hangup))?;
    Ok(signals)
}
