//! Events that the process passes to [`RequestScheduler`](crate::RequestScheduler), and actions that it returns.

use std::fmt;

use fescuetide_base::RequestRate;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;

use crate::FlowRefusal;
use crate::LoadReport;
use crate::OriginEntry;
use crate::StreamKey;
use crate::StreamOrigin;
use crate::UpstreamAnnouncement;

/// Identifies a request within a [`RequestScheduler`](crate::RequestScheduler). Keys are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey(pub(crate) u64);

impl fmt::Display for FlowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A command to send a request to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendCommand {
    /// The request.
    pub key: FlowKey,
    /// The upstream.
    pub upstream: VmName,
    /// Time left until the request's deadline.
    pub time_left: SpanMillis,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The number of this attempt, from 1.
    pub attempt: u32,
    /// Whether the attempt resumes a stream after the events that were already relayed to the caller.
    pub is_resumption: bool,
    /// Estimated number of outstanding requests at the upstream.
    pub load: u32,
    /// Age of the report that this estimate rests on, `None` if the requests of other gateways are not known.
    pub load_age: Option<SpanMillis>,
    /// The rate limit that the upstream has named, if any.
    pub rate_limit: Option<RequestRate>,
    /// Another upstream that has the shared prompt prefix cached, if this one does not.
    pub copy_from: Option<VmName>,
}

/// An action for the process to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FlowAction {
    /// Send the request.
    Send(SendCommand),
    /// Abort the request's current attempt by closing its connection. Another action for the same request follows.
    Cancel(FlowKey),
    /// Relay to the caller what was received: a complete response, the start of a stream, or the end of a stream whose
    /// start was relayed before. If a retry failed, relay the error response that was kept from the earlier attempt.
    Relay(FlowKey),
    /// Refuse the request, which has not run. Its state is dropped.
    Refuse(FlowKey, FlowRefusal),
    /// Open a connection to the upstream, to find out whether it is down.
    Probe(VmName),
    /// Find out where a stream began that a caller takes up, from the log and from other gateways.
    /// [`note_origins`](crate::RequestScheduler::note_origins),
    /// [`settle_origin`](crate::RequestScheduler::settle_origin) or
    /// [`give_up_origin`](crate::RequestScheduler::give_up_origin) must follow.
    SeekOrigin(StreamKey),
    /// Tell other gateways where a stream began, and write it to the log, since upstreams of several versions serve its pool.
    TellOrigin(OriginEntry),
    /// Write to the log that a version serves its pool, unless another gateway does.
    /// [`note_recorded`](crate::RequestScheduler::note_recorded) must follow.
    RecordVersion(StreamOrigin),
    /// Remove the record of a version from the log, unless another gateway does. No stream that began there can be taken up any more.
    /// Repeated until [`note_record_removed`](crate::RequestScheduler::note_record_removed) follows.
    ForgetVersion(StreamOrigin),
    /// Report to the caller that the request failed and may have run. Its state is dropped.
    Fail(FlowKey, FlowFailure),
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowFailure {
    /// The request's time limit passed.
    TimedOut,
    /// An attempt ended without a complete response, and the request is not retried.
    AttemptBroken(BreakCause),
}

/// An event of an attempt, reported by the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The first byte of the request was written, so the upstream may run it.
    Sent,
    /// The head of the response arrived, with what the upstream announces about itself. Another event follows.
    Announced(UpstreamAnnouncement),
    /// A valid head of a successful stream arrived.
    StreamStarted(Option<LoadReport>),
    /// Events of the stream arrived.
    StreamProgress,
    /// The complete response arrived; for a stream, its end.
    Completed {
        /// The status of the response.
        status: u16,
        /// The load that the response reports.
        load: Option<LoadReport>,
    },
    /// A response without a length ended with its connection. For the caller it is complete, but the upstream may have gone
    /// down in the middle of it.
    EndedByClose {
        /// The status of the response.
        status: u16,
        /// The load that the response reports.
        load: Option<LoadReport>,
    },
    /// The upstream reports that it did not run the request.
    Declined(DeclineCause, Option<LoadReport>),
    /// The attempt ended without a complete response.
    Broken(BreakCause),
}

impl AttemptEvent {
    /// Whether the upstream was up at some time during the attempt.
    pub(crate) fn shows_life(&self) -> bool {
        match self {
            Self::StreamStarted(_)
            | Self::StreamProgress
            | Self::Completed { .. }
            | Self::EndedByClose { .. }
            | Self::Declined(DeclineCause::Full, _) => true,
            Self::Sent
            | Self::Announced(_)
            | Self::Declined(DeclineCause::Misdirected, _)
            | Self::Broken(_) => false,
        }
    }
}

/// The result of a [`FlowAction::Probe`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The connection was established.
    Connected,
    /// The upstream refused the connection.
    Refused,
    /// The connection could not be established, for example since there was no answer in time.
    NotConnected,
}

/// Why an upstream did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeclineCause {
    /// The upstream is full, or the request expired in its queue.
    Full,
    /// A different upstream listens on the address.
    Misdirected,
}

/// Why an attempt ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakCause {
    /// The upstream refused the connection.
    Refused,
    /// The connection could not be established, for example since there was no answer in time.
    NotConnected,
    /// The connection was closed or reset.
    Closed,
    /// The response was malformed, or it was an error response instead of the rest of a stream.
    Garbled,
}

impl BreakCause {
    /// The label used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::NotConnected => "not_connected",
            Self::Closed => "closed",
            Self::Garbled => "garbled",
        }
    }
}
