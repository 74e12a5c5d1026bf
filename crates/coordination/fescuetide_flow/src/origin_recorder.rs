//! Writing the origins of streams to the log, in batches.
//!
//! Gateways tell the origins of their streams to a few others, of which one writes them for all, so that the number of calls
//! depends neither on the number of streams nor on that of gateways. The writer confirms what the log has. What it does not
//! confirm in time is passed to the next one, and written by the gateway itself if there is no other left.

use std::net::SocketAddr;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::OriginEntry;
use crate::StreamKey;

/// Shortest time between two appends of a writer. What began within it is not known if all gateways are lost just then.
const APPEND_INTERVAL: SpanMillis = SpanMillis::new(50);

/// Time until the next try after a failed append.
const RETRY_INTERVAL: SpanMillis = SpanMillis::new(200);

/// Time after which an origin is passed to another writer that the first one has not confirmed.
const CONFIRMATION_TIMEOUT: SpanMillis = SpanMillis::new(200);

/// Time for which a gateway gets nothing to write after it did not confirm something again and again.
const WRITER_BACKOFF: SpanMillis = SpanMillis::new(2_000);

/// Number of times in a row after which a gateway is taken to be gone that did not confirm something. Datagrams may be lost.
const WRITER_TRIES: u32 = 2;

/// What a gateway did not confirm.
#[derive(Clone, Copy, Debug)]
struct WriterFailure {
    /// Number of times in a row.
    count: u32,
    last_at: ClockMillis,
}

impl WriterFailure {
    fn excludes(&self, now: ClockMillis) -> bool {
        self.count >= WRITER_TRIES && now.since(self.last_at) < WRITER_BACKOFF
    }
}

/// Maximum number of origins that wait to be written, and of those in one batch. The older half of more is dropped.
const BATCH_LIMIT: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct UnconfirmedOrigin {
    entry: OriginEntry,
    writer: SocketAddr,
    told_at: ClockMillis,
}

/// An origin to write, and the gateways that wait for the confirmation.
#[derive(Clone, Debug)]
struct UnwrittenOrigin {
    entry: OriginEntry,
    askers: Vec<SocketAddr>,
}

/// Origins of streams that are not in the log yet, as far as this gateway has to care for them.
#[derive(Clone, Debug, Default)]
pub(crate) struct OriginRecorder {
    /// Gateways that did not confirm something lately.
    failures: IndexMap<SocketAddr, WriterFailure>,
    /// Own streams that another gateway is to write.
    unconfirmed: IndexMap<StreamKey, UnconfirmedOrigin>,
    /// What this gateway writes with the next append.
    unwritten: IndexMap<StreamKey, UnwrittenOrigin>,
    /// What the append in progress writes.
    in_progress: IndexMap<StreamKey, UnwrittenOrigin>,
    /// The earliest time of the next append.
    next_at: ClockMillis,
}

impl OriginRecorder {
    /// Returns the gateway among `holders` that is to write an origin, if one is left.
    pub(crate) fn choose_writer(
        &self,
        holders: &[SocketAddr],
        now: ClockMillis,
    ) -> Option<SocketAddr> {
        let is_excluded = |holder: &SocketAddr| {
            let failure = self.failures.get(holder);
            failure.is_some_and(|failure| failure.excludes(now))
        };
        holders.iter().find(|holder| !is_excluded(holder)).copied()
    }

    /// Adds an own stream. `writer` is the other gateway that is told to write it, `None` if this one does.
    pub(crate) fn add_own(
        &mut self,
        entry: OriginEntry,
        writer: Option<SocketAddr>,
        now: ClockMillis,
    ) {
        let Some(writer) = writer.filter(|_| self.unconfirmed.len() < BATCH_LIMIT) else {
            self.add(entry, None);
            return;
        };
        let unconfirmed = UnconfirmedOrigin {
            entry,
            writer,
            told_at: now,
        };
        self.unconfirmed.shift_remove(&entry.stream);
        self.unconfirmed.insert(entry.stream, unconfirmed);
    }

    /// Adds a stream of another gateway, which waits for the confirmation.
    pub(crate) fn add_for(&mut self, asker: SocketAddr, entry: OriginEntry) {
        self.add(entry, Some(asker));
    }

    fn add(&mut self, entry: OriginEntry, asker: Option<SocketAddr>) {
        if self.unwritten.len() >= BATCH_LIMIT {
            self.unwritten.drain(..BATCH_LIMIT / 2);
        }
        let askers = Vec::new();
        let unwritten = self.unwritten.entry(entry.stream);
        let unwritten = unwritten.or_insert(UnwrittenOrigin { entry, askers });
        if unwritten.entry.moves < entry.moves {
            unwritten.entry = entry;
        }
        unwritten.askers.extend(asker);
    }

    /// Records that another gateway has written an own stream.
    pub(crate) fn note_confirmed(&mut self, stream: StreamKey) {
        if let Some(confirmed) = self.unconfirmed.shift_remove(&stream) {
            self.failures.swap_remove(&confirmed.writer);
        }
    }

    /// Whether something is to be written or confirmed.
    pub(crate) fn has_work(&self) -> bool {
        !self.unconfirmed.is_empty() || !self.unwritten.is_empty()
    }

    /// Returns the origins to append now, if any. [`note_appended`](Self::note_appended) must follow.
    pub(crate) fn take_batch(&mut self, now: ClockMillis) -> Option<Vec<OriginEntry>> {
        let is_due = self.in_progress.is_empty() && now >= self.next_at;
        if !is_due || self.unwritten.is_empty() {
            return None;
        }
        self.next_at = now + APPEND_INTERVAL;
        self.in_progress = std::mem::take(&mut self.unwritten);
        let batch = self.in_progress.values();
        Some(batch.map(|unwritten| unwritten.entry).collect())
    }

    /// Removes and returns the own streams that were not confirmed in time.
    pub(crate) fn take_unconfirmed(&mut self, now: ClockMillis) -> Vec<OriginEntry> {
        let mut overdue = Vec::new();
        let mut writers = IndexSet::new();
        while let Some((_, unconfirmed)) = self.unconfirmed.first() {
            if now.since(unconfirmed.told_at) < CONFIRMATION_TIMEOUT {
                break;
            }
            writers.insert(unconfirmed.writer);
            overdue.push(unconfirmed.entry);
            self.unconfirmed.shift_remove_index(0);
        }
        for writer in writers {
            let count = self.failures.get(&writer).map_or(0, |known| known.count) + 1;
            let last_at = now;
            self.failures
                .insert(writer, WriterFailure { count, last_at });
        }
        overdue
    }

    /// Ends an append. Returns the gateways to which streams are to be confirmed, if it succeeded. Otherwise it is repeated later.
    pub(crate) fn note_appended(
        &mut self,
        is_written: bool,
        now: ClockMillis,
    ) -> IndexMap<SocketAddr, Vec<StreamKey>> {
        let mut confirmed: IndexMap<SocketAddr, Vec<StreamKey>> = IndexMap::new();
        let written = std::mem::take(&mut self.in_progress);
        if !is_written {
            self.next_at = now + RETRY_INTERVAL;
            let newer = std::mem::replace(&mut self.unwritten, written);
            for (stream, unwritten) in newer {
                self.add(unwritten.entry, None);
                self.unwritten[&stream].askers.extend(unwritten.askers);
            }
            return confirmed;
        }
        for (stream, UnwrittenOrigin { askers, .. }) in written {
            for asker in askers {
                confirmed.entry(asker).or_default().push(stream);
            }
        }
        confirmed
    }
}
