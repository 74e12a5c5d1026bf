//! Loads of upstreams, and how recent the list of upstreams is, that gateways tell each other.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;

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
        let loads = self.scheduler.take_load_digest(self.now);
        if listing.is_none() && loads.is_empty() {
            return;
        }
        let digest = LoadDatagram { listing, loads };
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
        let listing = digest.listing.filter(|_| exchange.trusts_times(self.now));
        if let Some(news) = listing
            && exchange.listing.lock().note_peer(news, self.now)
        {
            count(&self.counters.listings_confirmed);
        }
        self.scheduler.merge_load_digest(&digest.loads, self.now);
        Ok(())
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
