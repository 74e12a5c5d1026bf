//! The platform thread: reads the class log and the VM list, and passes news to the control thread.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use fescuetide_base::ClockMillis;
use fescuetide_base::LogOffset;
use fescuetide_base::SpanMillis;
use fescuetide_members::VmTable;
use fescuetide_net::LogClient;
use fescuetide_net::PlatformError;
use fescuetide_net::VmListClient;
use fescuetide_net::VmListReply;
use fescuetide_wire::log::CLASS_STREAM;
use fescuetide_wire::log::ReadReply;

use crate::RouterShared;

/// Longest time of a call of the platform.
const CALL_TIMEOUT_MS: u64 = 3_000;

/// Most records of one read.
const READ_LIMIT_RECORDS: u32 = 1_000;

/// How often the thread looks for due work.
const STEP_MS: u64 = 50;

/// News from the platform.
#[derive(Debug)]
pub(crate) enum PlatformNews {
    /// Records of the class log.
    ClassRecords(ReadReply),
    /// The VM list was read.
    VmList(VmListReply),
}

/// Reads at their intervals until the control thread is gone. `next_offset` gives the class-log offset to read from.
pub(crate) fn run(
    shared: &Arc<RouterShared>,
    news: &Sender<PlatformNews>,
    next_offset: &Receiver<LogOffset>,
) {
    let settings = &shared.settings;
    let timeout = SpanMillis::new(CALL_TIMEOUT_MS);
    let log = LogClient::new(settings.log_url.clone(), timeout, shared.meter.clone());
    let vms = VmListClient::new(
        settings.vm_list_url.clone(),
        settings.vm.clone(),
        timeout,
        shared.meter.clone(),
    );
    let mut offset = LogOffset::default();
    let mut log_due = ClockMillis::default();
    let mut vms_due = ClockMillis::default();
    let mut known = 0;
    loop {
        if let Some(newest) = next_offset.try_iter().last() {
            offset = newest;
        }
        let now = ClockMillis::now();
        if now >= vms_due {
            vms_due = now + SpanMillis::new(settings.vm_list_interval_ms);
            let Some(reply) = note_failure(shared, "vm_list.failed", vms.read(known)) else {
                continue;
            };
            if let VmListReply::Changed { version, .. } = reply {
                known = version;
            }
            if news.send(PlatformNews::VmList(reply)).is_err() {
                return;
            }
        }
        if now >= log_due {
            log_due = now + SpanMillis::new(settings.log_interval_ms);
            let read = log.read(CLASS_STREAM, offset, READ_LIMIT_RECORDS);
            let Some(reply) = note_failure(shared, "class_log.failed", read) else {
                continue;
            };
            if let Some(last) = reply.records.last() {
                offset = LogOffset::new(last.offset + 1);
            }
            if news.send(PlatformNews::ClassRecords(reply)).is_err() {
                return;
            }
        }
        thread::sleep(Duration::from_millis(STEP_MS));
    }
}

fn note_failure<T>(
    shared: &RouterShared,
    counter: &str,
    result: Result<T, PlatformError>,
) -> Option<T> {
    match result {
        Ok(value) => Some(value),
        Err(error) => {
            shared.metrics.count(counter);
            tracing::debug!(%error, "platform call failed");
            None
        }
    }
}

/// Converts a list reply into a table, or confirms the table that is there.
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
