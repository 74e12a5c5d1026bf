//! The platform thread: polls the VM list and sends events to the control thread.
//!
//! The platform is the environment that runs the VMs. It provides the VM list and the log service.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Sender;
use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_members::VmTable;
use fescuetide_net::PlatformError;
use fescuetide_net::VmListClient;
use fescuetide_net::VmListReply;

use crate::RouterShared;

/// Timeout of a read of the VM list.
const CALL_TIMEOUT_MS: u64 = 3_000;

/// Interval at which the thread checks whether a read is due.
const POLL_INTERVAL_MS: u64 = 50;

/// An event from the platform.
#[derive(Debug)]
pub(crate) enum PlatformEvent {
    /// A read of the VM list succeeded.
    VmList(VmListReply),
}

/// Reads the VM list at its interval until the control thread ends.
pub(crate) fn run(shared: &Arc<RouterShared>, events: &Sender<PlatformEvent>) {
    let settings = &shared.settings;
    let vms = VmListClient::new(
        settings.vm_list_url.clone(),
        settings.vm.clone(),
        SpanMillis::new(CALL_TIMEOUT_MS),
        shared.meter.clone(),
    );
    let mut vms_due = ClockMillis::default();
    let mut known = 0;
    loop {
        let now = ClockMillis::now();
        if now >= vms_due {
            vms_due = now + SpanMillis::new(settings.vm_list_interval_ms);
            let Some(reply) = count_failure(shared, "vm_list.failed", vms.read(known)) else {
                continue;
            };
            if let VmListReply::Changed { version, .. } = reply {
                known = version;
            }
            if events.send(PlatformEvent::VmList(reply)).is_err() {
                return;
            }
        }
        thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
}

fn count_failure<T>(
    shared: &RouterShared,
    counter: &str,
    result: Result<T, PlatformError>,
) -> Option<T> {
    match result {
        Ok(value) => Some(value),
        Err(error) => {
            shared.metrics.count(counter);
            tracing::debug!(%error, "reading the VM list failed");
            None
        }
    }
}

/// Replaces the table if the VM list has changed, else confirms it as current. Returns whether it was replaced.
pub(crate) fn apply_list(table: &mut VmTable, reply: VmListReply, now: ClockMillis) -> bool {
    match reply {
        VmListReply::Unchanged => {
            table.confirm(now);
            false
        }
        VmListReply::Changed { version, list } => {
            *table = VmTable::new(version, list, now);
            true
        }
    }
}
