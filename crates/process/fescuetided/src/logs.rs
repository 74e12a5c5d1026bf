//! Set-up of the `tracing` subscriber.

use std::io;

use fescuetided::settings::LogFormat;
use fescuetided::settings::LogSettings;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

use crate::log_queue::LogQueue;

/// Where and how log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogOutput {
    /// Standard error, written synchronously by the thread that logs.
    Stderr,
    /// Standard output, written by a separate thread, so that no other thread blocks on a full pipe.
    QueuedStdout,
}

/// Installs the global subscriber. Returns the queue, if there is one, to flush before the process exits.
pub(crate) fn start(settings: &LogSettings, output: LogOutput) -> Option<LogQueue> {
    match output {
        LogOutput::Stderr => {
            install_subscriber(settings, io::stderr);
            None
        }
        LogOutput::QueuedStdout => {
            let queue = LogQueue::start(io::stdout());
            install_subscriber(settings, queue.clone());
            Some(queue)
        }
    }
}

fn install_subscriber(
    settings: &LogSettings,
    writer: impl for<'a> MakeWriter<'a> + Send + Sync + 'static,
) {
    let filter = EnvFilter::try_new(&settings.level).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer);
    match settings.format {
        LogFormat::Text => builder.with_ansi(false).init(),
        LogFormat::Json => builder.json().flatten_event(true).with_target(false).init(),
    }
}
