//! Exchange of crash evidence through the platform's log.
//!
//! One control thread appends what this gateway finds, another one follows what all gateways have found. Evidence in the
//! log outlives the gateways that found it, and reaches gateways that are cut off from their peers.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_limits::CrashEvidence;
use fescuetide_wire::codec;
use fescuetide_wire::crash::CrashRecord;

use crate::codec::FleetStream;
use crate::codec::RecordCodec;
use crate::follower::FleetPublisher;
use crate::messages::LoopMessage;
use crate::report_appender::ReportAppender;
use crate::stream_follower::FollowStep;
use crate::stream_follower::StreamFollower;

/// How long a read of reports waits for a new one (long polling). An outage that the other followers notice ends it sooner.
const REPORT_WAIT: SpanMillis = SpanMillis::new(10_000);

/// Pause after a read that returned reports. Several gateways report a crash at about the same time.
const READ_PAUSE: Duration = Duration::from_millis(500);

/// Delay after a failed call. While the log is unavailable, peers tell each other what they find.
pub(crate) const RETRY_DELAY: SpanMillis = SpanMillis::new(1_000);

/// A message to the thread that appends reports.
#[derive(Clone, Debug)]
pub(crate) enum ReportCommand {
    /// Append what this gateway has found.
    Append {
        /// What it has found.
        evidence: Vec<CrashEvidence>,
        /// Whether other gateways need it at once: there is a new crash, or a request that they would refuse completed.
        is_urgent: bool,
    },
    /// Remove the records with these keys, which have expired.
    Remove(Vec<String>),
    /// The log may have come back from an older copy, and so have lost the record of this gateway.
    NoteRestored,
}

/// Starts the threads. The appender carries out the commands, of which `expired` sends those that follow from what is read.
pub(crate) fn start<C: RecordCodec>(
    address: SocketAddr,
    publisher: &FleetPublisher,
    appender: ReportAppender<C>,
    commands: Receiver<ReportCommand>,
    expired: Sender<ReportCommand>,
) -> std::io::Result<()> {
    let codec = appender.codec.clone();
    let mut follower = StreamFollower::new(FleetStream::CrashReports, address, codec, publisher);
    follower.retry_delay = RETRY_DELAY.into();
    follower.client.outages = Some(publisher.outages.clone());
    thread::Builder::new()
        .name("crash-follow".to_owned())
        .spawn(move || follow_reports(follower, &expired))?;
    thread::Builder::new()
        .name("log-append".to_owned())
        .spawn(move || appender.run(&commands))?;
    Ok(())
}

/// Publishes the reports of all gateways to the event loop. Requests the removal of those that had expired when this
/// gateway started, since the gateway that wrote them may be gone.
fn follow_reports<C: RecordCodec>(
    mut follower: StreamFollower<C>,
    commands: &Sender<ReportCommand>,
) {
    loop {
        let (records, is_listing) = match follower.step(REPORT_WAIT) {
            FollowStep::Listing(records) => (records, true),
            FollowStep::Records(records) => (records, false),
            FollowStep::Failed => (Vec::new(), false),
        };
        if is_listing && follower.take_restored() {
            follower.publisher.send(LoopMessage::CrashReportsLost);
        }
        let now = ClockMillis::now();
        let mut evidence = Vec::new();
        let mut expired = Vec::new();
        for record in &records {
            // A removed report has expired here as well.
            let Some(value) = &record.value else {
                continue;
            };
            match decode_report(&record.key, value, now) {
                Ok(Some(report)) => evidence.push(report),
                Ok(None) => expired.push(record.key.clone()),
                Err(error) => follower.report_unreadable(record, &error),
            }
        }
        follower.publisher.send(LoopMessage::CrashReports(evidence));
        let removes = is_listing && !expired.is_empty();
        if removes && commands.send(ReportCommand::Remove(expired)).is_err() {
            // The appending thread only ends when the process is exiting.
            return;
        }
        if !records.is_empty() {
            thread::sleep(READ_PAUSE);
        }
    }
}

fn decode_report(
    key: &str,
    value: &[u8],
    now: ClockMillis,
) -> Result<Option<CrashEvidence>, String> {
    let fingerprint = CrashRecord::fingerprint(key).ok_or("the key has no fingerprint")?;
    let record: CrashRecord = codec::decode(value).map_err(|error| error.to_string())?;
    Ok(record.evidence(fingerprint, now))
}
