//! Router metrics.

use std::net::UdpSocket;

use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;
use fescuetide_base::SpanMillis;

use crate::RouterSettings;

/// Sends counters, gauges and timers to a StatsD server.
pub(crate) struct RouterMetrics {
    client: StatsdClient,
}

impl RouterMetrics {
    pub(crate) fn new(settings: &RouterSettings) -> anyhow::Result<Self> {
        let client = match settings.statsd {
            None => StatsdClient::from_sink("fescuetide.router", NopMetricSink),
            Some(address) => {
                let socket = UdpSocket::bind(("0.0.0.0", 0))?;
                let sink = UdpMetricSink::from(address, socket)?;
                StatsdClient::builder("fescuetide.router", sink)
                    .with_tag("vm", settings.vm.as_str())
                    .build()
            }
        };
        Ok(Self { client })
    }

    pub(crate) fn count(&self, name: &str) {
        // Failing to send a metric must not affect traffic.
        let _ = self.client.count(name, 1_u64);
    }

    pub(crate) fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    pub(crate) fn time(&self, name: &str, span: SpanMillis) {
        let _ = self.client.time(name, span.as_millis());
    }
}
