//! Requests in progress.

use std::sync::Arc;

use fescuetide_base::ClockMillis;
use fescuetide_base::WorkspaceName;
use fescuetide_fleet::ConfigVersion;
use fescuetide_http1::EventSplitter;
use fescuetide_http1::RequestHead;
use fescuetide_limits::CrashFingerprint;

use crate::codec::RequestFields;
use crate::connection::BufferedResponse;

/// A request in progress and the state of its response.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// Token of the caller's connection.
    pub(crate) caller: usize,
    /// Token of the connection of the current attempt.
    pub(crate) upstream: Option<usize>,
    pub(crate) head: RequestHead,
    pub(crate) fields: RequestFields,
    pub(crate) has_body: bool,
    pub(crate) body: Arc<[u8]>,
    pub(crate) workspace: Option<WorkspaceName>,
    pub(crate) route: Arc<str>,
    /// Identifies the request among those that crash upstreams.
    pub(crate) fingerprint: CrashFingerprint,
    pub(crate) config: ConfigVersion,
    pub(crate) arrived: ClockMillis,
    pub(crate) keeps_alive: bool,
    /// The complete response, until it is relayed.
    pub(crate) response: Option<BufferedResponse>,
    /// The validated head of an event stream, until it is relayed.
    pub(crate) event_stream_head: Option<fescuetide_http1::ResponseHead>,
    pub(crate) event_splitter: EventSplitter,
    pub(crate) relay: RelayState,
    pub(crate) attempts: u32,
}

/// How much of the response has been sent to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayState {
    /// The head has not been written.
    NotStarted,
    /// The head and part of an event stream.
    Streaming {
        /// Whether the stream uses chunked encoding. Otherwise closing the connection ends it.
        is_chunked: bool,
    },
}

impl Exchange {
    /// Id of the last complete event that was relayed to the caller. Until there is one, the id that the caller sent
    /// with its request, if it resumes an event stream.
    pub(crate) fn last_event(&self) -> Option<u64> {
        self.event_splitter.last_id().or(self.fields.last_event)
    }

    /// The request id for logs, empty if the caller sent none.
    pub(crate) fn request_id(&self) -> &str {
        self.fields.request_id.as_deref().unwrap_or("")
    }
}
