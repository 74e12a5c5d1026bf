//! A request that is served, with what the caller gets.

use std::sync::Arc;

use fescuetide_base::ClockMillis;
use fescuetide_base::WorkspaceName;
use fescuetide_fleet::ConfigVersion;
use fescuetide_http1::EventSplitter;
use fescuetide_http1::RequestHead;

use crate::codec::RequestFields;
use crate::connection::BufferedResponse;

/// A request that is served.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// The caller's connection.
    pub(crate) caller: usize,
    /// The connection of the attempt that is under way.
    pub(crate) upstream: Option<usize>,
    pub(crate) head: RequestHead,
    pub(crate) fields: RequestFields,
    pub(crate) has_body: bool,
    pub(crate) body: Arc<[u8]>,
    pub(crate) workspace: Option<WorkspaceName>,
    pub(crate) route: Arc<str>,
    pub(crate) config: ConfigVersion,
    pub(crate) arrived: ClockMillis,
    pub(crate) keeps_alive: bool,
    /// The response in hand.
    pub(crate) response: Option<BufferedResponse>,
    /// The sound head of a stream that was not passed on yet.
    pub(crate) stream_head: Option<fescuetide_http1::ResponseHead>,
    pub(crate) splitter: EventSplitter,
    pub(crate) relay: RelayState,
    pub(crate) attempts: u32,
}

/// What the caller has of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayState {
    /// Nothing.
    Nothing,
    /// The head and part of a stream.
    Streaming {
        /// Whether the stream is sent in chunks; else the connection's end ends it.
        is_chunked: bool,
    },
}

impl Exchange {
    /// The last event that the caller has.
    pub(crate) fn last_event(&self) -> Option<u64> {
        self.splitter.last_id().or(self.fields.last_event)
    }

    /// The id for logs.
    pub(crate) fn request_id(&self) -> &str {
        self.fields.request_id.as_deref().unwrap_or("")
    }
}
