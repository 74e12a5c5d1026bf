//! Finding out from the log and from other gateways where event streams began.

use std::net::SocketAddr;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use indexmap::IndexMap;

use crate::StreamKey;

/// Time after which gateways that have not answered are asked again, since datagrams may be lost.
const REPEAT_INTERVAL: SpanMillis = SpanMillis::new(60);

/// Time after which a search is given up. A caller waits for it.
const ANSWER_TIMEOUT: SpanMillis = SpanMillis::new(400);

/// Time in which other gateways may answer before the log is read.
const READ_DELAY: SpanMillis = SpanMillis::new(40);

/// Shortest time between the starts of two reads of the log.
const READ_INTERVAL: SpanMillis = SpanMillis::new(50);

/// What the gateways that answered know of the versions of upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionVotes {
    /// Gateways that know of one version only, and would know of others.
    pub for_one: usize,
    /// Other gateways that answered.
    pub against: usize,
}

impl VersionVotes {
    fn add(&mut self, has_one_version: bool) {
        match has_one_version {
            true => self.for_one += 1,
            false => self.against += 1,
        }
    }
}

/// A search that has ended without an origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedSearch {
    /// The stream.
    pub stream: StreamKey,
    /// Whether the log was read, and does not have the stream.
    pub is_log_read: bool,
    /// What they answered.
    pub votes: VersionVotes,
}

/// A stream whose origin is sought.
#[derive(Clone, Debug)]
struct SoughtStream {
    /// The gateways that have not answered.
    unanswered: Vec<SocketAddr>,
    votes: VersionVotes,
    started_at: ClockMillis,
    next_at: ClockMillis,
    /// Whether a read of the log that began after the search has ended.
    is_log_read: bool,
}

impl SoughtStream {
    /// Whether the other gateways have answered, or have not done so in time, and the log was not read yet.
    fn needs_log(&self, now: ClockMillis) -> bool {
        let are_late = now.since(self.started_at) >= READ_DELAY;
        !self.is_log_read && (are_late || self.unanswered.is_empty())
    }
}

/// The streams whose origins are sought.
#[derive(Clone, Debug, Default)]
pub(crate) struct OriginSearch {
    sought: IndexMap<StreamKey, SoughtStream>,
    /// When the read of the log in progress began.
    reading_since: Option<ClockMillis>,
    next_read_at: ClockMillis,
}

impl OriginSearch {
    /// Starts to look for the origin of a stream, in the log and at the gateways that were told.
    pub(crate) fn start(&mut self, stream: StreamKey, holders: Vec<SocketAddr>, now: ClockMillis) {
        let sought = SoughtStream {
            unanswered: holders,
            votes: VersionVotes::default(),
            started_at: now,
            next_at: now,
            is_log_read: false,
        };
        self.sought.insert(stream, sought);
    }

    /// Whether there is anything to look for.
    pub(crate) fn is_empty(&self) -> bool {
        self.sought.is_empty()
    }

    /// Returns the gateways to ask now, with the streams to ask them for.
    pub(crate) fn take_questions(
        &mut self,
        now: ClockMillis,
    ) -> IndexMap<SocketAddr, Vec<StreamKey>> {
        let mut questions: IndexMap<SocketAddr, Vec<StreamKey>> = IndexMap::new();
        for (stream, sought) in &mut self.sought {
            if now < sought.next_at {
                continue;
            }
            sought.next_at = now + REPEAT_INTERVAL;
            for holder in &sought.unanswered {
                questions.entry(*holder).or_default().push(*stream);
            }
        }
        questions
    }

    /// Whether the log is to be read now. [`note_read`](Self::note_read) must follow.
    pub(crate) fn take_read(&mut self, now: ClockMillis) -> bool {
        let is_wanted = self.sought.values().any(|sought| sought.needs_log(now));
        if !is_wanted || self.reading_since.is_some() || now < self.next_read_at {
            return false;
        }
        self.reading_since = Some(now);
        self.next_read_at = now + READ_INTERVAL;
        true
    }

    /// Ends a read of the log that succeeded. Returns the streams that were sought when it began.
    pub(crate) fn note_read(&mut self) -> Vec<StreamKey> {
        let Some(since) = self.reading_since.take() else {
            return Vec::new();
        };
        let mut read = Vec::new();
        for (stream, sought) in &mut self.sought {
            if sought.started_at <= since && !sought.is_log_read {
                sought.is_log_read = true;
                read.push(*stream);
            }
        }
        read
    }

    /// Ends a read of the log that failed. It is repeated while streams are sought.
    pub(crate) fn note_failed_read(&mut self) {
        self.reading_since = None;
    }

    /// Ends the search for a stream, whose origin is known now.
    pub(crate) fn note_found(&mut self, stream: StreamKey) {
        self.sought.swap_remove(&stream);
    }

    /// Records that a gateway does not know a stream, and whether it knows of one version only.
    pub(crate) fn note_unknown(
        &mut self,
        stream: StreamKey,
        peer: SocketAddr,
        has_one_version: bool,
    ) {
        let Some(sought) = self.sought.get_mut(&stream) else {
            return;
        };
        let before = sought.unanswered.len();
        sought.unanswered.retain(|unanswered| *unanswered != peer);
        if sought.unanswered.len() < before {
            sought.votes.add(has_one_version);
        }
    }

    /// Removes and returns the searches that have failed: neither the log nor a gateway knows the stream, or there was no answer in
    /// time. `is_log_unavailable` is whether there is no use in waiting for the log.
    pub(crate) fn take_failed(
        &mut self,
        is_log_unavailable: bool,
        now: ClockMillis,
    ) -> Vec<FailedSearch> {
        let mut failed = Vec::new();
        self.sought.retain(|stream, sought| {
            let has_all =
                sought.unanswered.is_empty() && (sought.is_log_read || is_log_unavailable);
            let is_over = has_all || now.since(sought.started_at) >= ANSWER_TIMEOUT;
            if is_over {
                failed.push(FailedSearch {
                    stream: *stream,
                    is_log_read: sought.is_log_read,
                    votes: sought.votes,
                });
            }
            !is_over
        });
        failed
    }
}
