//! Description of a request as input to [`CallFlow`](super::CallFlow).

use fescuetide_base::ChatName;
use fescuetide_base::ClassName;
use fescuetide_base::ClockMillis;
use fescuetide_base::ModelName;
use fescuetide_base::PoolName;
use fescuetide_base::RequestId;
use fescuetide_base::SpanMillis;
use fescuetide_base::WorkspaceName;
use fescuetide_claims::ClaimKey;
use fescuetide_limits::CrashFingerprint;

/// The kind of upstream that serves a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A model engine. A retry continues after the text that was already delivered.
    Engine,
    /// A plain service. The responses of two attempts may differ.
    Service,
}

/// The idempotency key of an at-most-once request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyMetadata {
    /// The idempotency key with its workspace.
    pub key: ClaimKey,
    /// Hash of the request's content, which distinguishes a resend from a different request with the same key.
    pub content: u64,
}

/// The properties of a request that determine how it is processed.
#[derive(Clone, Debug, PartialEq)]
pub struct CallMetadata {
    /// The request's id.
    pub request: RequestId,
    /// The workspace of the caller.
    pub workspace: WorkspaceName,
    /// The request class.
    pub class: ClassName,
    /// The pool that serves the request.
    pub pool: PoolName,
    /// The model, for chats.
    pub model: Option<ModelName>,
    /// The chat that the request continues.
    pub chat: Option<ChatName>,
    /// Number of messages in the prompt, for a chat turn.
    pub turn_messages: Option<u32>,
    /// The kind of upstream that serves the request.
    pub kind: CallKind,
    /// Whether the request may be retried after it may have run.
    pub is_repeatable: bool,
    /// The idempotency key of an at-most-once request.
    pub key: Option<KeyMetadata>,
    /// Fingerprint for the detection of requests that crash upstreams.
    pub fingerprint: CrashFingerprint,
    /// When the request arrived.
    pub received: ClockMillis,
    /// The class's latency target: the time to the first response data.
    pub latency_target: SpanMillis,
    /// When the caller times out.
    pub deadline: ClockMillis,
}

impl CallMetadata {
    /// When the first response data is late.
    pub fn late_at(&self) -> ClockMillis {
        self.received + self.latency_target
    }
}
