//! What the decisions know of a request.

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

/// What answers a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A model engine. Another attempt goes on behind the text that was delivered.
    Chat,
    /// A plain service. The responses of two attempts need not match.
    Service,
}

/// The key of a request that may run once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFacts {
    /// The key.
    pub key: ClaimKey,
    /// Hash of the work, which tells a resend from another request under the same key.
    pub content: u64,
}

/// A request as the decisions see it.
#[derive(Clone, Debug, PartialEq)]
pub struct CallFacts {
    /// The request.
    pub request: RequestId,
    /// The workspace that it belongs to.
    pub workspace: WorkspaceName,
    /// Its class.
    pub class: ClassName,
    /// The pool that serves it.
    pub pool: PoolName,
    /// The model, for chats.
    pub model: Option<ModelName>,
    /// The chat that it goes on with.
    pub chat: Option<ChatName>,
    /// Messages of its prompt, for a turn of a chat.
    pub turn_messages: Option<u32>,
    /// What answers it.
    pub kind: CallKind,
    /// Whether it may run again after it may have run.
    pub is_repeatable: bool,
    /// Its key, for a request that may run once.
    pub key: Option<KeyFacts>,
    /// Identifies it among the requests that crash upstreams.
    pub print: CrashFingerprint,
    /// When it arrived.
    pub received: ClockMillis,
    /// The time to the first part of its response that its class asks for.
    pub lateness: SpanMillis,
    /// When its caller gives up.
    pub deadline: ClockMillis,
}

impl CallFacts {
    /// When the first part of the response is late.
    pub fn late_at(&self) -> ClockMillis {
        self.received + self.lateness
    }
}
