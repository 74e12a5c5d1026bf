//! The class-log thread: reads the class stream and appends snapshots.
//!
//! It is separate from the platform thread: while the log is down, every call blocks until its timeout, and this must
//! not delay reads of the VM list.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use fescuetide_base::ClockMillis;
use fescuetide_base::LogOffset;
use fescuetide_base::SpanMillis;
use fescuetide_classes::ClassSnapshot;
use fescuetide_classes::StreamPage;
use fescuetide_net::LogClient;
use fescuetide_wire::log::CLASS_STREAM;
use fescuetide_wire::log::ClassRecord;

use crate::RouterShared;

/// Timeout of a call to the log service.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// Maximum wait after a failed read, so that changes take effect soon after an outage.
const RETRY_INTERVAL_MS: u64 = 1_000;

/// Maximum number of records per read.
const READ_LIMIT_RECORDS: u32 = 1_000;

/// A command from the control thread.
#[derive(Debug)]
pub(crate) enum ClassLogCommand {
    /// Read from this offset at the next interval.
    ReadAtInterval(LogOffset),
    /// Read from this offset immediately.
    ReadNow(LogOffset),
    /// Append a snapshot, then read the log immediately.
    Append(ClassSnapshot),
}

/// A result of reading the class log.
#[derive(Debug)]
pub(crate) enum ClassLogEvent {
    /// Records were read.
    Page(StreamPage),
    /// A read of the class log failed.
    ReadFailed,
}

/// Reads the class stream at its interval and on command until the control thread ends.
pub(crate) fn run(
    shared: &Arc<RouterShared>,
    events: &Sender<ClassLogEvent>,
    commands: &Receiver<ClassLogCommand>,
) {
    let settings = &shared.settings;
    let log = LogClient::new(
        settings.log_url.clone(),
        SpanMillis::new(CALL_TIMEOUT_MS),
        shared.meter.clone(),
    );
    let mut offset = LogOffset::default();
    let mut due = ClockMillis::default();
    loop {
        let wait = Duration::from(due.since(ClockMillis::now()));
        match commands.recv_timeout(wait) {
            Ok(ClassLogCommand::ReadAtInterval(next)) => {
                offset = next;
                continue;
            }
            Ok(ClassLogCommand::ReadNow(next)) => {
                offset = next;
                due = ClockMillis::default();
                continue;
            }
            Ok(ClassLogCommand::Append(snapshot)) => {
                append_snapshot(shared, &log, snapshot);
                due = ClockMillis::default();
                continue;
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let mut interval = settings.log_interval_ms;
        let event = match log.read(CLASS_STREAM, offset, READ_LIMIT_RECORDS) {
            Ok(reply) => ClassLogEvent::Page(reply.to_page(offset)),
            Err(error) => {
                shared.metrics.count("class_log.failed");
                tracing::debug!(%error, "reading the class log failed");
                interval = interval.min(RETRY_INTERVAL_MS);
                ClassLogEvent::ReadFailed
            }
        };
        due = ClockMillis::now() + SpanMillis::new(interval);
        if events.send(event).is_err() {
            return;
        }
    }
}

fn append_snapshot(shared: &RouterShared, log: &LogClient, snapshot: ClassSnapshot) {
    let covered = snapshot.next_offset;
    match log.append(CLASS_STREAM, &ClassRecord::Snapshot(snapshot)) {
        Ok(offset) => {
            shared.metrics.count("class_snapshot.written");
            tracing::info!(%covered, %offset, "class snapshot is written");
        }
        Err(error) => {
            shared.metrics.count("class_snapshot.failed");
            tracing::debug!(%error, "appending the class snapshot failed or its result is unknown");
        }
    }
}
