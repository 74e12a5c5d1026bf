//! Termination signals. Long-running work polls for them and returns early, so that all child processes are terminated.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

static STOP: OnceLock<Arc<AtomicBool>> = OnceLock::new();

/// Installs handlers that record SIGINT and SIGTERM instead of terminating the process.
///
/// # Errors
///
/// Fails when a handler cannot be installed.
pub fn install_signal_handlers() -> anyhow::Result<()> {
    let stop = STOP.get_or_init(Arc::default);
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(stop))?;
    }
    Ok(())
}

/// Whether a termination signal was received.
pub fn stop_requested() -> bool {
    STOP.get().is_some_and(|stop| stop.load(Ordering::Acquire))
}

/// Returns an error if a termination signal was received.
///
/// # Errors
///
/// Fails when a termination signal was received.
pub fn ensure_not_stopped() -> anyhow::Result<()> {
    anyhow::ensure!(!stop_requested(), "interrupted by a signal");
    Ok(())
}
