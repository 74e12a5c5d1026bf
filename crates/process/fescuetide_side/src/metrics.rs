//! Side process metrics.

use std::net::UdpSocket;

use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use fescuetide_base::LoadCount;

use crate::SideSettings;

/// Sends counters and gauges to a StatsD server.
pub(crate) struct SideMetrics {
    client: StatsdClient,
}

impl SideMetrics {
    pub(crate) fn new(settings: &SideSettings) -> anyhow::Result<Self> {
        let client = match settings.statsd {
            None => StatsdClient::from_sink("fescuetide.side", NopMetricSink),
            Some(address) => {
                let socket = UdpSocket::bind(("0.0.0.0", 0))?;
                let sink = UdpMetricSink::from(address, socket)?;
                StatsdClient::builder("fescuetide.side", sink)
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

    pub(crate) fn gauge_load(&self, load: LoadCount) {
        let _ = self.client.gauge("load", u64::from(load.get()));
    }
}
