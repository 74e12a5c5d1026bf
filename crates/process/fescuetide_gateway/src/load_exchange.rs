//! Loads of upstreams, and how recent the list of upstreams and the configuration are, that gateways tell each other.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;

use fescuetide_base::SpanMillis;
use fescuetide_fleet::ConfigNews;
use fescuetide_fleet::ConfigVerdict;
use fescuetide_fleet::ConfigVersion;
use fescuetide_fleet::ConfigView;
use fescuetide_fleet::ListingView;
use fescuetide_wire::load::LoadDatagram;

use crate::codec::HttpCodec;
use crate::counters::count;
use crate::traffic::TrafficLoop;

/// How recent the list of upstreams is, shared by the thread that reads the log and the one that talks to peers.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedListing(Arc<Mutex<ListingView>>);

impl SharedListing {
    pub(crate) fn lock(&self) -> MutexGuard<'_, ListingView> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How recent the configuration is, shared by the thread that reads the log and the one that talks to peers.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedConfigView(Arc<Mutex<ConfigView>>);

impl SharedConfigView {
    pub(crate) fn lock(&self) -> MutexGuard<'_, ConfigView> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<C: HttpCodec> TrafficLoop<C> {
    /// Sends a digest of newly reported loads to a peer, if one is due.
    pub(crate) fn send_loads(&mut self) {
        let Some(exchange) = &mut self.datagrams else {
            return;
        };
        let Some(peer) = exchange.next_load_peer(self.now) else {
            return;
        };
        let listing = exchange.listing.lock().news(self.now);
        let config = self.config_view.lock().news(self.now);
        let loads = self.scheduler.take_load_digest(self.now);
        if listing.is_none() && config.is_none() && loads.is_empty() {
            return;
        }
        let digest = LoadDatagram {
            listing,
            config,
            loads,
        };
        let bytes: Vec<u8> = (&digest).into();
        if self.send_datagram(peer, &bytes) {
            count(&self.counters.load_digests_sent);
        }
    }

    /// Uses a load digest of another gateway.
    pub(crate) fn use_loads(&mut self, datagram: &[u8]) -> anyhow::Result<()> {
        let digest = LoadDatagram::try_from(datagram)?;
        count(&self.counters.load_digests_received);
        let Some(exchange) = &mut self.datagrams else {
            return Ok(());
        };
        let trusts_times = exchange.trusts_times(self.now);
        let listing = digest.listing.filter(|_| trusts_times);
        if let Some(news) = listing
            && exchange.listing.lock().note_peer(news, self.now)
        {
            count(&self.counters.listings_confirmed);
        }
        if let Some(news) = digest.config.filter(|_| trusts_times) {
            match self.config_view.lock().note_peer(news, self.now) {
                ConfigVerdict::Confirmed => count(&self.counters.configs_confirmed),
                ConfigVerdict::Newer => self.refresh_config(),
                ConfigVerdict::Known => {}
            }
        }
        self.scheduler.merge_load_digest(&digest.loads, self.now);
        Ok(())
    }

    /// Makes the follower of configurations read the log at once.
    pub(crate) fn refresh_config(&self) {
        let sender = self.config_refresh_sender.as_ref();
        if sender.is_some_and(|sender| sender.send(()).is_err()) {
            tracing::error!("cannot refresh the configuration: the follower thread has ended");
        }
    }

    /// Tells all peers of a newer configuration, if this gateway is the one that watches the log for it.
    pub(crate) fn tell_config(&mut self, version: ConfigVersion) {
        let Some(exchange) = &self.datagrams else {
            return;
        };
        if !self.config_view.lock().is_watcher() {
            return;
        }
        let digest = LoadDatagram {
            config: Some(ConfigNews {
                version,
                age: SpanMillis::default(),
            }),
            ..LoadDatagram::default()
        };
        let bytes: Vec<u8> = (&digest).into();
        for peer in exchange.peers().to_vec() {
            self.send_datagram(peer, &bytes);
        }
    }

    /// Updates the metrics that are not counted as events happen.
    pub(crate) fn publish_gauges(&self) {
        let counts = self.scheduler.load_counts();
        let counters = &self.counters;
        let above_cap = &counters.stream_loads_above_cap;
        counters
            .stream_loads
            .store(counts.reports, Ordering::Relaxed);
        above_cap.store(counts.above_cap, Ordering::Relaxed);
        let limits = self.scheduler.rate_limit_count() as u64;
        counters
            .rate_limited_upstreams
            .store(limits, Ordering::Relaxed);
        let buffered = self.buffers.total() as u64;
        counters.buffered_bytes.store(buffered, Ordering::Relaxed);
    }
}
