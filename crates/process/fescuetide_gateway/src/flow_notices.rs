//! Counters and log lines for notices of the request scheduler.

use fescuetide_flow::FlowKey;
use fescuetide_flow::FlowNotice;

use crate::codec::HttpCodec;
use crate::counters::count;
use crate::exchange::Exchange;
use crate::log_line_limit::LogLineKind;
use crate::traffic::TrafficLoop;

impl<C: HttpCodec> TrafficLoop<C> {
    /// Counts and logs the scheduler's notices.
    pub(crate) fn report_notices(&mut self) {
        for notice in self.scheduler.take_notices() {
            match &notice {
                FlowNotice::RetryDenied { .. } => count(&self.counters.retries_denied),
                FlowNotice::PauseStarted { .. } => count(&self.counters.upstream_pauses),
                FlowNotice::LeavingAnnounced { .. } => count(&self.counters.upstreams_leaving),
                FlowNotice::LoadRejected { .. } => count(&self.counters.loads_rejected),
                FlowNotice::RateLimited { .. } => count(&self.counters.rate_limits),
                FlowNotice::BurstGranted { .. }
                | FlowNotice::RateLimitEnded { .. }
                | FlowNotice::OriginFound { .. }
                | FlowNotice::OriginUnknown { .. } => {}
            }
            if self.may_log(LogLineKind::Notice) {
                self.log_notice(&notice);
            }
        }
    }

    fn request_id_of(&self, key: FlowKey) -> &str {
        let exchange = self.exchanges.get(&key);
        exchange.map_or("", Exchange::request_id)
    }

    fn log_notice(&self, notice: &FlowNotice) {
        match notice {
            FlowNotice::RetryDenied { key, pool, burst } => {
                let request = self.request_id_of(*key);
                tracing::info!(request, %pool, burst, "retry denied by the budget");
            }
            FlowNotice::BurstGranted { burst } => {
                tracing::info!(burst, "retry burst available");
            }
            FlowNotice::LeavingAnnounced { upstream } => {
                tracing::info!(%upstream, "upstream announced that it leaves");
            }
            FlowNotice::LoadRejected { load } => {
                tracing::warn!(load, "ignored a load that is not plausible");
            }
            FlowNotice::PauseStarted { upstream, pause } => {
                tracing::info!(%upstream, pause_ms = pause.as_millis(), "upstream asked for a pause");
            }
            FlowNotice::RateLimited { upstream, rate } => {
                tracing::info!(%upstream, per_second = rate.as_per_second(), "upstream named a rate limit");
            }
            FlowNotice::RateLimitEnded { upstream } => {
                tracing::info!(%upstream, "upstream names no rate limit any more");
            }
            FlowNotice::OriginFound { key, source } => {
                let request = self.request_id_of(*key);
                tracing::info!(
                    request,
                    source = source.as_str(),
                    "origin of the stream is known"
                );
            }
            FlowNotice::OriginUnknown { key, votes } => {
                let request = self.request_id_of(*key);
                tracing::info!(
                    request,
                    gateways_with_one_version = votes.for_one,
                    other_gateways = votes.against,
                    "origin of the stream is not known"
                );
            }
        }
    }
}
