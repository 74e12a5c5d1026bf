//! Carries out what [`OriginExchange`](fescuetide_flow::OriginExchange) tells, writes and asks about the origins of streams.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use fescuetide_flow::OriginCommand;
use fescuetide_flow::OriginLogEvent;
use fescuetide_flow::OriginMessage;
use fescuetide_flow::OriginOutput;
use fescuetide_wire::origin::OriginDatagram;

use crate::codec::HttpCodec;
use crate::counters::count;
use crate::traffic::TrafficLoop;

impl<C: HttpCodec> TrafficLoop<C> {
    /// Tells, writes and asks what is due.
    pub(crate) fn exchange_origins(&mut self) {
        if self.origin_exchange.has_obsolete() {
            self.note_listing_time();
        }
        let exchange = &mut self.origin_exchange;
        exchange.step(&mut self.scheduler, self.is_log_unavailable, self.now);
        let failed = exchange.take_failed_count();
        let counter = &self.counters.origins_unknown;
        counter.fetch_add(failed, Ordering::Relaxed);
        self.carry_out_exchange();
        self.run_actions();
    }

    /// Tells the scheduler how recent the list of upstreams is.
    pub(crate) fn note_listing_time(&mut self) {
        if let Some(listed_at) = self.listing.lock().confirmed_at() {
            self.scheduler.note_listing_time(listed_at);
        }
    }

    /// Handles what became of calls to the log.
    pub(crate) fn handle_origin_log(&mut self, event: OriginLogEvent) {
        self.origin_exchange
            .note_log(event, &mut self.scheduler, self.now);
        self.carry_out_exchange();
    }

    /// Uses a datagram of another gateway.
    pub(crate) fn use_origins(&mut self, peer: SocketAddr, datagram: &[u8]) -> anyhow::Result<()> {
        let OriginDatagram(message) = OriginDatagram::try_from(datagram)?;
        count(&self.counters.origin_datagrams_received);
        self.origin_exchange
            .receive(peer, message, &mut self.scheduler, self.now);
        self.carry_out_exchange();
        self.run_actions();
        Ok(())
    }

    fn carry_out_exchange(&mut self) {
        for output in self.origin_exchange.take_outputs() {
            match output {
                OriginOutput::Send(peer, message) => self.send_origins(peer, message),
                OriginOutput::Call(command) => self.call_origin_log(command),
            }
        }
    }

    fn send_origins(&mut self, peer: SocketAddr, message: OriginMessage) {
        for datagram in OriginDatagram::split(message) {
            let bytes: Vec<u8> = (&datagram).into();
            if self.send_datagram(peer, &bytes) {
                count(&self.counters.origin_datagrams_sent);
            }
        }
    }

    fn call_origin_log(&mut self, command: OriginCommand) {
        let sender = self.origin_sender.as_ref();
        if sender.is_some_and(|sender| sender.send(command).is_err()) {
            tracing::error!("cannot write the origins of streams: the thread has ended");
        }
    }
}
