//! Where event streams began, in the platform's log.
//!
//! One control thread appends what the traffic thread passes to it, and reads on request: which versions of upstreams the log
//! has records of, and where streams began. What a read returns includes everything that was appended before it began.

use std::net::SocketAddr;
use std::thread;

use crossbeam::channel;
use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use fescuetide_base::LogOffset;
use fescuetide_base::SpanMillis;
use fescuetide_flow::OriginCommand;
use fescuetide_flow::OriginEntry;
use fescuetide_flow::OriginLogEvent;
use fescuetide_flow::StreamOrigin;
use fescuetide_flow::VersionReading;
use fescuetide_wire::origin::OriginRecord;
use indexmap::IndexMap;

use crate::codec::FleetStream;
use crate::codec::LogRecord;
use crate::codec::RecordCodec;
use crate::counters::count;
use crate::follower::FleetPublisher;
use crate::log_client::CallError;
use crate::log_client::PlatformLogClient;
use crate::log_era::EraWatch;
use crate::log_listing::LogListing;
use crate::messages::LoopMessage;
use crate::stream_follower::GONE_STATUS;

/// Time between two tries to read the versions after the start.
const FIRST_READ_RETRY: SpanMillis = SpanMillis::new(500);

/// Starts the thread. The returned sender takes commands.
pub(crate) fn start<C: RecordCodec>(
    address: SocketAddr,
    codec: &C,
    publisher: &FleetPublisher,
) -> std::io::Result<Sender<OriginCommand>> {
    let (sender, commands) = channel::unbounded();
    let log = OriginLog {
        client: PlatformLogClient::new(address),
        era: EraWatch::new(FleetStream::StreamOrigins),
        era_text: String::new(),
        codec: codec.clone(),
        publisher: publisher.clone(),
        versions: IndexMap::new(),
        has_listing: false,
        next: None,
    };
    thread::Builder::new()
        .name("origins".to_owned())
        .spawn(move || log.run(&commands))?;
    Ok(sender)
}

/// Appends to and reads from the stream of the log.
struct OriginLog<C> {
    client: PlatformLogClient,
    era: EraWatch,
    /// The era in the last response, empty if it had none.
    era_text: String,
    codec: C,
    publisher: FleetPublisher,
    /// The records of versions, and the eras in them.
    versions: IndexMap<StreamOrigin, String>,
    /// Whether the versions were listed.
    has_listing: bool,
    /// The offset to read next, `None` if the oldest record must be found first.
    next: Option<LogOffset>,
}

impl<C: RecordCodec> OriginLog<C> {
    /// Carries out commands until the process exits.
    fn run(mut self, commands: &Receiver<OriginCommand>) {
        loop {
            let command = if self.has_listing {
                commands.recv().map_err(|_| RecvTimeoutError::Disconnected)
            } else {
                self.list_at_start();
                commands.recv_timeout(FIRST_READ_RETRY.into())
            };
            let event = match command {
                Ok(command) => self.carry_out(command),
                Err(RecvTimeoutError::Timeout) => continue,
                // The traffic thread has ended, so the process is exiting.
                Err(RecvTimeoutError::Disconnected) => return,
            };
            if let Some(event) = event {
                self.publisher.send(LoopMessage::OriginLog(event));
            }
        }
    }

    fn list_at_start(&mut self) {
        match self.list() {
            Ok(_) => {
                self.has_listing = true;
                let event = OriginLogEvent::Started(self.reading());
                self.publisher.send(LoopMessage::OriginLog(event));
            }
            Err(error) => self.report_failure("cannot list the versions of streams", &error),
        }
    }

    fn carry_out(&mut self, command: OriginCommand) -> Option<OriginLogEvent> {
        match command {
            OriginCommand::AppendOrigins(entries) => {
                let is_written = self.append(&OriginRecord::Origins(entries));
                Some(OriginLogEvent::Appended(is_written))
            }
            OriginCommand::RecordVersion(origin) => {
                let era = self.era_text.clone();
                let is_written = self.append(&OriginRecord::Version { origin, era });
                is_written.then_some(OriginLogEvent::VersionRecorded(origin))
            }
            OriginCommand::ForgetVersion(origin) => {
                let result = self.forget(origin);
                if let Err(error) = &result {
                    self.report_failure("cannot remove the record of a version", error);
                }
                let is_removed = result.is_ok();
                Some(OriginLogEvent::VersionForgotten { origin, is_removed })
            }
            OriginCommand::Read => Some(match self.read() {
                Ok(origins) => OriginLogEvent::Read {
                    versions: self.reading(),
                    origins,
                },
                Err(error) => {
                    self.report_failure("cannot read the origins of streams", &error);
                    OriginLogEvent::ReadFailed
                }
            }),
        }
    }

    fn append(&mut self, record: &OriginRecord) -> bool {
        let result = self.append_at(record, None);
        if let Err(error) = &result {
            self.report_failure("cannot append the origins of streams", error);
        }
        result.is_ok()
    }

    fn append_at(
        &mut self,
        record: &OriginRecord,
        end: Option<LogOffset>,
    ) -> Result<(), CallError> {
        let record = LogRecord {
            key: record.key(),
            value: record.value(),
        };
        let body = self.codec.encode_records(&[record]);
        let target = self.codec.append_target(FleetStream::StreamOrigins, end);
        self.call(|client| client.post(&target, &body).map(|()| Vec::new()))
            .map(drop)
    }

    /// Removes the record of a version, if there is one. The log may execute a call seconds after it was given up. The version may
    /// serve again then, so nothing may have been appended since it was found to be obsolete.
    fn forget(&mut self, origin: StreamOrigin) -> Result<(), CallError> {
        let end = self.list()?;
        if !self.versions.contains_key(&origin) {
            return Ok(());
        }
        self.append_at(&OriginRecord::Forgotten(origin), Some(end))?;
        self.versions.swap_remove(&origin);
        tracing::info!(
            pool = origin.pool.get(),
            version = origin.version.get(),
            "removed the record of a version that has left"
        );
        Ok(())
    }

    /// The versions that the log has records of, as far as this thread has read.
    fn reading(&self) -> VersionReading {
        let mut reading = VersionReading {
            is_restored: self.era.was_restored(),
            ..VersionReading::default()
        };
        for (origin, era) in &self.versions {
            match *era == self.era_text {
                true => reading.versions.push(*origin),
                false => reading.stale.push(*origin),
            }
        }
        reading
    }

    /// Lists the versions. Returns an offset up to which all records are taken into account.
    fn list(&mut self) -> Result<LogOffset, CallError> {
        let codec = self.codec.clone();
        let listing = LogListing::read(&codec, FleetStream::StreamOrigins, |target| {
            self.get(target)
        })?;
        self.versions.clear();
        self.apply(&listing.records);
        Ok(listing.end)
    }

    /// Reads to the end of the stream. Returns the origins.
    fn read(&mut self) -> Result<Vec<OriginEntry>, CallError> {
        if !self.has_listing {
            self.list()?;
            self.has_listing = true;
        }
        let mut result = self.read_to_end();
        if let Err(CallError::Status(GONE_STATUS)) = result {
            self.next = None;
            result = self.read_to_end();
        }
        if result.is_err() {
            // Some records may be gone, or the log be another one.
            self.next = None;
            self.has_listing = false;
        }
        result
    }

    fn read_to_end(&mut self) -> Result<Vec<OriginEntry>, CallError> {
        let mut origins = Vec::new();
        let mut next = match self.next {
            Some(next) => next,
            None => self.find_oldest()?,
        };
        loop {
            let page = self.read_page(next)?;
            next = LogOffset::new(next.get() + page.records.len() as u64);
            origins.extend(self.apply(&page.records));
            if next >= page.end || page.records.is_empty() {
                self.next = Some(next);
                return Ok(origins);
            }
        }
    }

    /// The offset of the oldest record.
    fn find_oldest(&mut self) -> Result<LogOffset, CallError> {
        let target = self.codec.listing_target(FleetStream::StreamOrigins, None);
        let body = self.get(&target)?;
        let listing = self.codec.decode_listing(&body);
        let end = listing.map_err(CallError::Undecodable)?.end;
        Ok(self.read_page(end)?.first)
    }

    fn read_page(&mut self, from: LogOffset) -> Result<crate::codec::LogPage, CallError> {
        let no_wait = SpanMillis::default();
        let target = self
            .codec
            .read_target(FleetStream::StreamOrigins, from, no_wait);
        let body = self.get(&target)?;
        let page = self.codec.decode_records(&body);
        page.map_err(CallError::Undecodable)
    }

    /// Adds what records say. Returns the origins.
    fn apply(&mut self, records: &[LogRecord]) -> Vec<OriginEntry> {
        let mut origins = Vec::new();
        for record in records {
            match OriginRecord::decode(&record.key, record.value.as_deref()) {
                Ok(OriginRecord::Origins(entries)) => origins.extend(entries),
                Ok(OriginRecord::Version { origin, era }) => {
                    self.versions.insert(origin, era);
                }
                Ok(OriginRecord::Forgotten(origin)) => {
                    self.versions.swap_remove(&origin);
                }
                Err(error) => {
                    count(&self.publisher.counters.unreadable_records);
                    tracing::warn!(key = record.key, %error, "skipped a record of streams that cannot be decoded");
                }
            }
        }
        origins
    }

    fn get(&mut self, target: &str) -> Result<Vec<u8>, CallError> {
        self.call(|client| client.get(target, std::time::Duration::ZERO))
    }

    /// Calls the log, and again if the kept connection turns out to be closed. Both kinds of calls may be repeated.
    fn call(
        &mut self,
        call: impl Fn(&mut PlatformLogClient) -> Result<Vec<u8>, CallError>,
    ) -> Result<Vec<u8>, CallError> {
        count(&self.publisher.counters.log_calls);
        let was_connected = self.client.is_connected();
        let mut result = call(&mut self.client);
        if was_connected && matches!(&result, Err(error) if error.is_closed()) {
            count(&self.publisher.counters.log_calls);
            result = call(&mut self.client);
        }
        let head = self.client.take_head();
        if let Some(head) = &head {
            let era = self.codec.era_field(head).unwrap_or_default();
            era.trim().clone_into(&mut self.era_text);
        }
        if let Err(error) = self
            .era
            .check(head, &self.codec, self.next, &self.publisher)
        {
            self.next = None;
            self.has_listing = false;
            return Err(error);
        }
        result
    }

    fn report_failure(&self, text: &'static str, error: &CallError) {
        count(&self.publisher.counters.log_failures);
        tracing::debug!(%error, text);
    }
}
