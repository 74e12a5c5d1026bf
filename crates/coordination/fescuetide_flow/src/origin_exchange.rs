//! Exchange with other gateways and with the log about where event streams began.
//!
//! While upstreams of several versions serve a pool, each gateway tells a few others where its streams begin; one of them writes
//! it to the log. A gateway that does not know the stream that a caller takes up asks them, and reads the log.

use std::net::SocketAddr;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use indexmap::IndexMap;

use crate::GatewayList;
use crate::OriginCommand;
use crate::OriginEntry;
use crate::OriginLogEvent;
use crate::OriginMessage;
use crate::OriginOutput;
use crate::OriginSource;
use crate::RequestScheduler;
use crate::StreamKey;
use crate::StreamOrigin;
use crate::VersionReading;
use crate::origin_recorder::OriginRecorder;
use crate::origin_search::OriginSearch;

/// How much later than the gateway before it in their order a gateway records a version that no other one has recorded.
const RECORD_STAGGER: SpanMillis = SpanMillis::new(150);

/// How much later than the gateway before it in their order a gateway removes the record of a version. They do not notice at the same
/// time that a version has left.
const REMOVAL_STAGGER: SpanMillis = SpanMillis::new(1_000);

/// How far the removal of a record is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RemovalState {
    /// This gateway removes it then.
    DueAt(ClockMillis),
    /// The log was called.
    InProgress,
}

/// What a gateway tells, writes and asks about the origins of streams.
///
/// It carries out the actions of a [`RequestScheduler`] that concern origins and versions, and passes on to it what becomes
/// known. The resulting [`OriginOutput`]s are returned by [`take_outputs`](Self::take_outputs).
#[derive(Clone, Debug, Default)]
pub struct OriginExchange {
    gateways: GatewayList,
    untold: Vec<OriginEntry>,
    recorder: OriginRecorder,
    search: OriginSearch,
    /// Versions to record, and when this gateway does so.
    unrecorded: IndexMap<StreamOrigin, ClockMillis>,
    /// Versions whose records are to be removed.
    obsolete: IndexMap<StreamOrigin, RemovalState>,
    outputs: Vec<OriginOutput>,
    /// Streams that were sought and not found, since the last call.
    failed_count: u64,
}

impl OriginExchange {
    /// Replaces the gateways.
    pub fn set_gateways(&mut self, gateways: GatewayList) {
        self.gateways = gateways;
    }

    /// Whether something must be done within milliseconds.
    pub fn is_busy(&self) -> bool {
        !self.untold.is_empty() || self.recorder.has_work() || !self.search.is_empty()
    }

    /// Removes and returns what the process is to do.
    pub fn take_outputs(&mut self) -> Vec<OriginOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the number of streams that were sought and not found since the last call.
    pub fn take_failed_count(&mut self) -> u64 {
        std::mem::take(&mut self.failed_count)
    }

    /// Carries out [`FlowAction::TellOrigin`](crate::FlowAction::TellOrigin).
    pub fn tell_origin(&mut self, entry: OriginEntry) {
        self.untold.push(entry);
    }

    /// Carries out [`FlowAction::RecordVersion`](crate::FlowAction::RecordVersion).
    pub fn record_version(&mut self, origin: StreamOrigin, now: ClockMillis) {
        let at = self.turn(origin, RECORD_STAGGER, now);
        self.unrecorded.entry(origin).or_insert(at);
    }

    /// When it is this gateway's turn to write about a version.
    fn turn(&self, origin: StreamOrigin, stagger: SpanMillis, now: ClockMillis) -> ClockMillis {
        let rank = self.gateways.version_rank(origin) as u64;
        now + SpanMillis::new(rank * stagger.as_millis())
    }

    /// Carries out [`FlowAction::ForgetVersion`](crate::FlowAction::ForgetVersion).
    pub fn forget_version(&mut self, origin: StreamOrigin, now: ClockMillis) {
        let due = RemovalState::DueAt(self.turn(origin, REMOVAL_STAGGER, now));
        self.obsolete.entry(origin).or_insert(due);
    }

    /// Whether [`step`](Self::step) needs to know how recent the list of upstreams is.
    pub fn has_obsolete(&self) -> bool {
        !self.obsolete.is_empty()
    }

    /// Carries out [`FlowAction::SeekOrigin`](crate::FlowAction::SeekOrigin).
    pub fn seek_origin(&mut self, stream: StreamKey, now: ClockMillis) {
        let own = self.gateways.own();
        let holders = self.gateways.stream_holders(stream).iter();
        let others = holders.filter(|holder| Some(**holder) != own);
        self.search.start(stream, others.copied().collect(), now);
    }

    /// Tells, writes and asks what is due, and ends searches that have failed. `is_log_unavailable` is whether there is no use in
    /// waiting for the log. Must be called often while [`is_busy`](Self::is_busy) is true.
    pub fn step(
        &mut self,
        scheduler: &mut RequestScheduler,
        is_log_unavailable: bool,
        now: ClockMillis,
    ) {
        self.untold.extend(self.recorder.take_unconfirmed(now));
        self.tell_untold(now);
        if let Some(batch) = self.recorder.take_batch(now) {
            self.call(OriginCommand::AppendOrigins(batch));
        }
        self.record_due_versions(scheduler, now);
        self.remove_due_records(scheduler, is_log_unavailable, now);
        if self.search.take_read(now) {
            self.call(OriginCommand::Read);
        }
        for (holder, streams) in self.search.take_questions(now) {
            self.send(holder, OriginMessage::Sought(streams));
        }
        for failed in self.search.take_failed(is_log_unavailable, now) {
            self.failed_count += 1;
            scheduler.give_up_origin(&failed, now);
        }
    }

    fn tell_untold(&mut self, now: ClockMillis) {
        let mut told: IndexMap<SocketAddr, Vec<OriginEntry>> = IndexMap::new();
        let mut to_write = told.clone();
        let own = self.gateways.own();
        for entry in std::mem::take(&mut self.untold) {
            let holders = self.gateways.stream_holders(entry.stream);
            let writer = self.recorder.choose_writer(holders, now);
            let writer = writer.filter(|writer| Some(*writer) != own);
            if let Some(writer) = writer {
                to_write.entry(writer).or_default().push(entry);
            }
            self.recorder.add_own(entry, writer, now);
            for holder in holders {
                if Some(*holder) == own || Some(*holder) == writer {
                    continue;
                }
                told.entry(*holder).or_default().push(entry);
            }
        }
        for (writer, entries) in to_write {
            self.send(writer, OriginMessage::ToWrite(entries));
        }
        for (holder, entries) in told {
            self.send(holder, OriginMessage::Told(entries));
        }
    }

    fn record_due_versions(&mut self, scheduler: &RequestScheduler, now: ClockMillis) {
        let mut due = Vec::new();
        self.unrecorded.retain(|origin, at| {
            let is_recorded = scheduler.is_recorded(*origin);
            let is_due = now >= *at && !is_recorded;
            if is_due {
                due.push(*origin);
            }
            !is_due && !is_recorded
        });
        for origin in due {
            self.call(OriginCommand::RecordVersion(origin));
        }
    }

    /// Removes records whose turn has come. What cannot be removed now is requested again by the scheduler.
    fn remove_due_records(
        &mut self,
        scheduler: &RequestScheduler,
        is_log_unavailable: bool,
        now: ClockMillis,
    ) {
        let mut due = Vec::new();
        self.obsolete.retain(|origin, state| {
            let RemovalState::DueAt(at) = *state else {
                return true;
            };
            if is_log_unavailable || !scheduler.is_obsolete(*origin, now) {
                return false;
            }
            if now >= at {
                due.push(*origin);
                *state = RemovalState::InProgress;
            }
            true
        });
        for origin in due {
            self.call(OriginCommand::ForgetVersion(origin));
        }
    }

    fn finish_removal(
        &mut self,
        origin: StreamOrigin,
        is_removed: bool,
        scheduler: &mut RequestScheduler,
        now: ClockMillis,
    ) {
        self.obsolete.swap_remove(&origin);
        if is_removed {
            scheduler.note_record_removed(origin, now);
            self.send_to_all(&OriginMessage::Forgotten(vec![origin]));
        }
    }

    /// Handles what became of calls to the log.
    pub fn note_log(
        &mut self,
        event: OriginLogEvent,
        scheduler: &mut RequestScheduler,
        now: ClockMillis,
    ) {
        match event {
            OriginLogEvent::Appended(is_written) => self.finish_append(is_written, now),
            OriginLogEvent::VersionRecorded(origin) => {
                scheduler.note_recorded(origin, now);
                self.send_to_all(&OriginMessage::Versions(vec![origin]));
            }
            OriginLogEvent::VersionForgotten { origin, is_removed } => {
                self.finish_removal(origin, is_removed, scheduler, now);
            }
            OriginLogEvent::Started(versions) => scheduler.note_version_reading(&versions, now),
            OriginLogEvent::Read { versions, origins } => {
                self.use_reading(&versions, origins, scheduler, now);
            }
            OriginLogEvent::ReadFailed => self.search.note_failed_read(),
        }
    }

    fn use_reading(
        &mut self,
        versions: &VersionReading,
        origins: Vec<OriginEntry>,
        scheduler: &mut RequestScheduler,
        now: ClockMillis,
    ) {
        self.note_found(&origins, OriginSource::Log, scheduler, now);
        scheduler.note_version_reading(versions, now);
        for stream in self.search.note_read() {
            if scheduler.settle_origin(stream, now) {
                self.search.note_found(stream);
            }
        }
    }

    fn finish_append(&mut self, is_written: bool, now: ClockMillis) {
        for (asker, streams) in self.recorder.note_appended(is_written, now) {
            self.send(asker, OriginMessage::Written(streams));
        }
    }

    /// Handles a message of another gateway.
    pub fn receive(
        &mut self,
        peer: SocketAddr,
        message: OriginMessage,
        scheduler: &mut RequestScheduler,
        now: ClockMillis,
    ) {
        match message {
            OriginMessage::Told(entries) => {
                self.note_found(&entries, OriginSource::OtherGateway, scheduler, now);
            }
            OriginMessage::ToWrite(entries) => {
                self.note_found(&entries, OriginSource::OtherGateway, scheduler, now);
                for entry in entries {
                    self.recorder.add_for(peer, entry);
                }
            }
            OriginMessage::Written(streams) => {
                for stream in streams {
                    self.recorder.note_confirmed(stream);
                }
            }
            OriginMessage::Sought(streams) => self.answer(peer, &streams, scheduler, now),
            OriginMessage::Versions(origins) => {
                for origin in origins {
                    scheduler.note_recorded(origin, now);
                }
            }
            OriginMessage::Forgotten(origins) => {
                for origin in origins {
                    scheduler.note_record_removed(origin, now);
                }
            }
            OriginMessage::Unknown {
                streams,
                has_one_version,
            } => {
                for stream in streams {
                    self.search.note_unknown(stream, peer, has_one_version);
                }
            }
        }
    }

    fn note_found(
        &mut self,
        entries: &[OriginEntry],
        source: OriginSource,
        scheduler: &mut RequestScheduler,
        now: ClockMillis,
    ) {
        for entry in entries {
            self.search.note_found(entry.stream);
        }
        scheduler.note_origins(entries, source, now);
    }

    fn answer(
        &mut self,
        peer: SocketAddr,
        streams: &[StreamKey],
        scheduler: &RequestScheduler,
        now: ClockMillis,
    ) {
        let mut told = Vec::new();
        let mut unknown = Vec::new();
        for stream in streams {
            match scheduler.origin(*stream, now) {
                Some(entry) => told.push(entry),
                None => unknown.push(*stream),
            }
        }
        if !told.is_empty() {
            self.send(peer, OriginMessage::Told(told));
        }
        if !unknown.is_empty() {
            let message = OriginMessage::Unknown {
                streams: unknown,
                has_one_version: scheduler.has_one_version(now),
            };
            self.send(peer, message);
        }
    }

    fn send_to_all(&mut self, message: &OriginMessage) {
        for peer in self.gateways.peers().to_vec() {
            self.send(peer, message.clone());
        }
    }

    fn send(&mut self, gateway: SocketAddr, message: OriginMessage) {
        self.outputs.push(OriginOutput::Send(gateway, message));
    }

    fn call(&mut self, command: OriginCommand) {
        self.outputs.push(OriginOutput::Call(command));
    }
}
