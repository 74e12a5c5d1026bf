//! HTTP calls that notice whether their connection failed.
//!
//! The client takes the end of a connection for the end of a body without a length, also if the connection was reset, or if the
//! request could not be written whole. So each call watches its own connection.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use ureq::Agent;
use ureq::Body;
use ureq::Error;
use ureq::config::Config;
use ureq::http::Response;
use ureq::http::header::CONTENT_LENGTH;
use ureq::http::header::TRANSFER_ENCODING;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::Buffers;
use ureq::unversioned::transport::ConnectionDetails;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::NextTimeout;
use ureq::unversioned::transport::TcpConnector;
use ureq::unversioned::transport::Transport;

/// Whether the connection of a call has failed.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionWatch {
    has_failed: Arc<AtomicBool>,
}

impl ConnectionWatch {
    /// Builds the agent of the call that is watched. It must be used for one call only.
    pub(crate) fn agent(&self, config: &Config) -> Agent {
        let connector = WatchedConnector {
            tcp: TcpConnector::default(),
            watch: self.clone(),
        };
        Agent::with_parts(config.clone(), connector, DefaultResolver::default())
    }

    /// Checks a response whose body has ended: if it has no length, its end is the end of the connection, which must not have
    /// failed.
    ///
    /// # Errors
    ///
    /// Fails if the body may be incomplete.
    pub(crate) fn check_end(&self, has_length: bool) -> Result<(), String> {
        if !has_length && self.has_failed.load(Ordering::Acquire) {
            return Err("the connection failed before the end of the response".to_owned());
        }
        Ok(())
    }

    fn watch<T>(&self, result: Result<T, Error>) -> Result<T, Error> {
        if result.is_err() {
            self.has_failed.store(true, Ordering::Release);
        }
        result
    }
}

/// Whether the end of a response's body can be told without the end of the connection.
pub(crate) fn has_length(response: &Response<Body>) -> bool {
    let headers = response.headers();
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

#[derive(Debug)]
struct WatchedConnector {
    tcp: TcpConnector,
    watch: ConnectionWatch,
}

impl Connector<()> for WatchedConnector {
    type Out = WatchedTransport;

    fn connect(
        &self,
        details: &ConnectionDetails,
        chained: Option<()>,
    ) -> Result<Option<WatchedTransport>, Error> {
        let inner = self.tcp.connect(details, chained)?;
        Ok(inner.map(|inner| WatchedTransport {
            inner,
            watch: self.watch.clone(),
        }))
    }
}

#[derive(Debug)]
struct WatchedTransport {
    inner: <TcpConnector as Connector<()>>::Out,
    watch: ConnectionWatch,
}

impl Transport for WatchedTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        let result = self.inner.transmit_output(amount, timeout);
        self.watch.watch(result)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let result = self.inner.await_input(timeout);
        self.watch.watch(result)
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}
