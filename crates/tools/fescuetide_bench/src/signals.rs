//! Termination signals. Long work asks whether one came and returns early, so that every process it started is ended.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

static STOP: OnceLock<Arc<AtomicBool>> = OnceLock::new();

/// Notes SIGINT and SIGTERM from now on instead of ending at once.
///
/// # Errors
///
/// Fails when a handler cannot be set.
pub fn watch_signals() -> anyhow::Result<()> {
    let stop = STOP.get_or_init(Arc::default);
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(stop))?;
    }
    Ok(())
}

/// Whether a termination signal came.
pub fn is_stopped() -> bool {
    STOP.get().is_some_and(|stop| stop.load(Ordering::Acquire))
}

/// Fails when a termination signal came.
///
/// # Errors
///
/// Fails then.
pub fn check_signals() -> anyhow::Result<()> {
    anyhow::ensure!(!is_stopped(), "stopped by a signal");
    Ok(())
}
