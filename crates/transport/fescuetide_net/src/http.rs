//! An HTTP client that counts the bytes of its connections.

use fescuetide_base::SpanMillis;
use ureq::Agent;
use ureq::Error;
use ureq::config::Config;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::Buffers;
use ureq::unversioned::transport::ConnectionDetails;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::NextTimeout;
use ureq::unversioned::transport::TcpConnector;
use ureq::unversioned::transport::Transport;

use crate::ControlMeter;

/// Builds an HTTP agent that counts all sent and received bytes in `meter` and returns error statuses as responses.
pub(crate) fn metered_agent(meter: ControlMeter, timeout: SpanMillis) -> Agent {
    let config = Config::builder()
        .timeout_global(Some(timeout.into()))
        .http_status_as_error(false)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .build();
    let connector = MeteredConnector {
        tcp: TcpConnector::default(),
        meter,
    };
    Agent::with_parts(config, connector, DefaultResolver::default())
}

#[derive(Debug)]
struct MeteredConnector {
    tcp: TcpConnector,
    meter: ControlMeter,
}

impl Connector<()> for MeteredConnector {
    type Out = MeteredTransport;

    fn connect(
        &self,
        details: &ConnectionDetails,
        chained: Option<()>,
    ) -> Result<Option<MeteredTransport>, Error> {
        let inner = self.tcp.connect(details, chained)?;
        Ok(inner.map(|inner| MeteredTransport {
            inner,
            meter: self.meter.clone(),
        }))
    }
}

#[derive(Debug)]
struct MeteredTransport {
    inner: <TcpConnector as Connector<()>>::Out,
    meter: ControlMeter,
}

impl Transport for MeteredTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.meter.add(amount);
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let before = self.inner.buffers().input().len();
        let progress = self.inner.await_input(timeout)?;
        let after = self.inner.buffers().input().len();
        self.meter.add(after.saturating_sub(before));
        Ok(progress)
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}
