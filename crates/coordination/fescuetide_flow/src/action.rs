//! What the process tells the decisions, and what they tell the process.

use std::fmt;

use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;

use crate::FlowRefusal;
use crate::LoadReport;

/// Identifies a request within a [`FlowCore`](crate::FlowCore). Keys are not used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey(pub(crate) u64);

impl fmt::Display for FlowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// An order to send a request to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendOrder {
    /// The request.
    pub key: FlowKey,
    /// The upstream.
    pub upstream: VmName,
    /// The time that the upstream may take.
    pub time_left: SpanMillis,
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// The number of this attempt, from 1.
    pub attempt: u32,
    /// Whether the stream goes on after the events that were passed on.
    pub is_resumption: bool,
    /// The load that the upstream is expected to have.
    pub load: u32,
    /// Another upstream that keeps the shared part of the prompt, which this one lacks.
    pub copy_from: Option<VmName>,
}

/// What the process has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FlowAction {
    /// Send the request.
    Send(SendOrder),
    /// Stop the request's attempt by closing its connection. Another action about the request follows.
    Cancel(FlowKey),
    /// Pass the response in hand on, or begin to pass the stream on.
    Relay(FlowKey),
    /// Refuse the request, which has not run. It is forgotten.
    Refuse(FlowKey, FlowRefusal),
    /// Tell the caller that the request failed and may have run. It is forgotten.
    Fail(FlowKey, FlowFailure),
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowFailure {
    /// Its time was over.
    TimedOut,
    /// Its upstream broke off, and it may not be sent again.
    UpstreamBroke(BreakCause),
}

/// What happened to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// A first byte of the request went out, so that the upstream may run it.
    Sent,
    /// The sound head of a successful stream came.
    StreamStarted(Option<LoadReport>),
    /// Events of the stream came.
    StreamProgress,
    /// The whole response came; for a stream, its end.
    Completed {
        /// The status of the response.
        status: u16,
        /// The load that it tells.
        load: Option<LoadReport>,
    },
    /// The upstream states that it did not run the request.
    Declined(DeclineCause, Option<LoadReport>),
    /// The attempt ended without a whole response.
    Broken(BreakCause),
}

/// Why an upstream did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeclineCause {
    /// It is full, or the request's time was over while it waited there.
    Full,
    /// Another upstream listens at the address.
    Misdirected,
}

/// Why an attempt ended without a whole response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakCause {
    /// No connection could be opened.
    NotConnected,
    /// The connection was closed or reset.
    Closed,
    /// The response was not sound.
    Garbled,
}

impl BreakCause {
    /// The cause as a word for logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotConnected => "not_connected",
            Self::Closed => "closed",
            Self::Garbled => "garbled",
        }
    }
}
