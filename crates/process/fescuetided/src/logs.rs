//! Set-up of structured logs.

use fescuetided::settings::LogFormat;
use fescuetided::settings::LogSettings;
use tracing_subscriber::EnvFilter;

/// Starts logging to standard error.
pub(crate) fn start(settings: &LogSettings) {
    let filter = EnvFilter::try_new(&settings.level).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    match settings.format {
        LogFormat::Text => builder.init(),
        LogFormat::Json => builder.json().init(),
    }
}
