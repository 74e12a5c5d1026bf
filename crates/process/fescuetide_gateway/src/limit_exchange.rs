//! Rate limits that gateways share, and the rates at which requests arrive.

use fescuetide_wire::limit::LimitDatagram;

use crate::codec::HttpCodec;
use crate::counters::count;
use crate::traffic::TrafficLoop;

impl<C: HttpCodec> TrafficLoop<C> {
    /// Sends a digest of rate limits to a peer, if one is due.
    pub(crate) fn send_limits(&mut self) {
        let Some(exchange) = &mut self.datagrams else {
            return;
        };
        let Some(digest) = self.scheduler.take_limit_digest(self.now) else {
            return;
        };
        let Some(peer) = exchange.draw_peer() else {
            return;
        };
        let bytes: Vec<u8> = (&LimitDatagram(digest)).into();
        if self.send_datagram(peer, &bytes) {
            count(&self.counters.limit_digests_sent);
        }
    }

    /// Uses a digest of rate limits of another gateway.
    pub(crate) fn use_limits(&mut self, datagram: &[u8]) -> anyhow::Result<()> {
        let LimitDatagram(digest) = LimitDatagram::try_from(datagram)?;
        count(&self.counters.limit_digests_received);
        let exchange = self.datagrams.as_ref();
        if exchange.is_some_and(|exchange| exchange.trusts_times(self.now)) {
            self.scheduler.merge_limit_digest(&digest, self.now);
        }
        Ok(())
    }
}
