//! Reading of one stream of the platform's log, in order.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use fescuetide_base::ClockMillis;
use fescuetide_base::LogOffset;
use fescuetide_base::SpanMillis;
use fescuetide_fleet::FleetUpdate;
use fescuetide_fleet::OutageDetector;
use fescuetide_fleet::OutageEnd;

use crate::codec::FleetStream;
use crate::codec::LogRecord;
use crate::codec::RecordCodec;
use crate::counters::count;
use crate::follower::FleetPublisher;
use crate::log_client::CallError;
use crate::log_client::PlatformLogClient;
use crate::log_era::EraWatch;
use crate::log_listing::LogListing;

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Status of a read at an offset whose records are no longer retained.
pub(crate) const GONE_STATUS: u16 = 410;

/// Result of reading a log stream.
pub(crate) enum FollowStep {
    /// The newest record of each key.
    Listing(Vec<LogRecord>),
    /// Newly appended records.
    Records(Vec<LogRecord>),
    /// No records: the read failed, or its offset is no longer retained, in which case the next step lists the newest
    /// records.
    Failed,
}

/// Reads one log stream in order.
pub(crate) struct StreamFollower<C> {
    stream: FleetStream,
    pub(crate) client: PlatformLogClient,
    pub(crate) codec: C,
    pub(crate) publisher: FleetPublisher,
    /// The offset to read next, `None` if the newest records must be listed first.
    next: Option<LogOffset>,
    era: EraWatch,
    /// Whether the log may have come back from an older copy since the last listing.
    is_restored: bool,
    pub(crate) outage: OutageDetector,
    /// The outage that ended with the last step.
    pub(crate) ended_outage: Option<OutageEnd>,
    /// Delay after a failed call.
    pub(crate) retry_delay: Duration,
}

impl<C: RecordCodec> StreamFollower<C> {
    pub(crate) fn new(
        stream: FleetStream,
        address: SocketAddr,
        codec: C,
        publisher: &FleetPublisher,
    ) -> Self {
        Self {
            stream,
            client: PlatformLogClient::new(address),
            codec,
            publisher: publisher.clone(),
            next: None,
            era: EraWatch::new(stream),
            is_restored: false,
            outage: OutageDetector::new(ClockMillis::now()),
            ended_outage: None,
            retry_delay: RETRY_DELAY,
        }
    }

    /// Reads new records, waiting for up to `wait` if there are none.
    pub(crate) fn step(&mut self, wait: SpanMillis) -> FollowStep {
        self.ended_outage = None;
        let wait = self.outage.read_wait(wait);
        let result = match self.next {
            None => self.list().map(FollowStep::Listing),
            Some(from) => self.read(from, wait).map(FollowStep::Records),
        };
        match result {
            Ok(step) => {
                self.note_answer();
                step
            }
            Err(CallError::Restored) => {
                self.next = None;
                self.is_restored = true;
                FollowStep::Failed
            }
            Err(CallError::Status(GONE_STATUS)) => {
                tracing::info!(stream = %self.stream, "records are gone, listing the newest");
                self.next = None;
                FollowStep::Failed
            }
            Err(error) => {
                self.note_failure(&error);
                thread::sleep(self.retry_delay);
                FollowStep::Failed
            }
        }
    }

    fn note_answer(&mut self) {
        self.ended_outage = self.outage.note_success(ClockMillis::now());
        if let Some(end) = self.ended_outage {
            tracing::info!(stream = %self.stream, away_ms = end.duration.as_millis(), "log service is back");
            self.publish_unavailable(false);
        }
    }

    fn note_failure(&mut self, error: &CallError) {
        count(&self.publisher.counters.log_failures);
        if self.outage.note_failure() {
            tracing::warn!(stream = %self.stream, %error, "log service is away");
            self.publish_unavailable(true);
        }
    }

    fn publish_unavailable(&self, is_unavailable: bool) {
        match self.stream {
            FleetStream::Configs | FleetStream::Upstreams => {
                self.publisher.outages.increment();
                let update = FleetUpdate::LogUnavailable(is_unavailable);
                self.publisher.publish(update);
            }
            // Not a part of the fleet. The other followers notice an outage at least as soon.
            FleetStream::CrashReports | FleetStream::StreamOrigins | FleetStream::Gateways => {}
        }
    }

    /// Lists the newest records. Those that change during the listing are read again: reading continues from the end offset of
    /// the first page.
    fn list(&mut self) -> Result<Vec<LogRecord>, CallError> {
        let codec = self.codec.clone();
        let listing = LogListing::read(&codec, self.stream, |target| {
            self.call(target, SpanMillis::default())
        })?;
        self.next = Some(listing.end);
        Ok(listing.records)
    }

    fn read(&mut self, from: LogOffset, wait: SpanMillis) -> Result<Vec<LogRecord>, CallError> {
        let target = self.codec.read_target(self.stream, from, wait);
        let body = self.call(&target, wait)?;
        let page = match self.codec.decode_records(&body) {
            Ok(page) => page,
            Err(error) => {
                self.next = None;
                return Err(CallError::Undecodable(error));
            }
        };
        self.next = Some(LogOffset::new(from.get() + page.records.len() as u64));
        Ok(page.records)
    }

    fn call(&mut self, target: &str, wait: SpanMillis) -> Result<Vec<u8>, CallError> {
        count(&self.publisher.counters.log_calls);
        let result = self.client.get(target, wait.into());
        let head = self.client.take_head();
        self.era
            .check(head, &self.codec, self.next, &self.publisher)?;
        result
    }

    /// Whether the listing that was just read may be that of an older copy.
    pub(crate) fn take_restored(&mut self) -> bool {
        std::mem::take(&mut self.is_restored)
    }

    pub(crate) fn report_unreadable(&self, record: &LogRecord, error: &dyn std::fmt::Display) {
        count(&self.publisher.counters.unreadable_records);
        tracing::warn!(stream = %self.stream, key = record.key, %error, "skipped a record that cannot be decoded");
    }
}
