//! A validated request and the events it produces.
//!
//! A call is a request of a caller, either a chat completion or a request to a plain service.

use fescuetide_base::ChatName;
use fescuetide_base::ClassName;
use fescuetide_base::ClockMillis;
use fescuetide_base::IdempotencyKey;
use fescuetide_base::ModelName;
use fescuetide_base::PoolName;
use fescuetide_base::RequestId;
use fescuetide_base::SpanMillis;
use fescuetide_base::StableHash;
use fescuetide_base::WorkspaceName;
use fescuetide_classes::ClassTargets;
use fescuetide_flow::CallKind;
use fescuetide_flow::CallMetadata;
use fescuetide_flow::KeyMetadata;
use fescuetide_limits::CrashFingerprint;
use fescuetide_wire::api::CallOutcome;
use fescuetide_wire::api::TokenUsage;
use fescuetide_wire::frame::ChatTurn;
use fescuetide_wire::frame::WorkBody;
use fescuetide_wire::frame::WorkKey;

/// The work that a request asks for.
#[derive(Clone, Debug)]
pub(crate) enum CallWork {
    /// A chat completion.
    Chat {
        /// The JSON body as the caller sent it.
        body: Vec<u8>,
        /// Whether the caller wants server-sent events.
        stream: bool,
        /// The requested model.
        model: ModelName,
        /// Number of messages in the prompt.
        messages: u32,
    },
    /// A call to a plain service.
    Service {
        method: String,
        path: String,
        content_type: Option<String>,
        body: Vec<u8>,
    },
}

/// A request that passed validation.
#[derive(Clone, Debug)]
pub(crate) struct CallSpec {
    pub(crate) request: RequestId,
    pub(crate) workspace: WorkspaceName,
    pub(crate) chat: Option<ChatName>,
    pub(crate) class: ClassName,
    /// The service objectives of the class.
    pub(crate) class_targets: ClassTargets,
    pub(crate) pool: PoolName,
    pub(crate) key: Option<IdempotencyKey>,
    pub(crate) received: ClockMillis,
    pub(crate) deadline: ClockMillis,
    pub(crate) work: CallWork,
}

impl CallSpec {
    fn model(&self) -> Option<&ModelName> {
        match &self.work {
            CallWork::Chat { model, .. } => Some(model),
            CallWork::Service { .. } => None,
        }
    }

    /// Returns the chat turn of the request, `None` for service calls and requests without a chat header.
    pub(crate) fn chat_turn(&self) -> Option<ChatTurn> {
        let CallWork::Chat {
            model, messages, ..
        } = &self.work
        else {
            return None;
        };
        let chat = StableHash::new()
            .field(self.workspace.as_str().as_bytes())
            .field(model.as_str().as_bytes())
            .field(self.chat.as_ref()?.as_str().as_bytes())
            .finish();
        Some(ChatTurn {
            chat,
            messages: *messages,
        })
    }

    /// Returns the properties of the request that the call flow decides on.
    pub(crate) fn metadata(&self) -> CallMetadata {
        let key = self.work_key().map(|key| KeyMetadata {
            key: key.into(),
            content: self.content_hash(),
        });
        CallMetadata {
            request: self.request,
            workspace: self.workspace.clone(),
            class: self.class.clone(),
            pool: self.pool.clone(),
            model: self.model().cloned(),
            chat: self.chat.clone(),
            turn_messages: self.chat_turn().map(|turn| turn.messages),
            kind: match &self.work {
                CallWork::Chat { .. } => CallKind::Engine,
                CallWork::Service { .. } => CallKind::Service,
            },
            is_repeatable: self.class_targets.repeatable,
            key,
            fingerprint: self.fingerprint(),
            received: self.received,
            latency_target: self.class_targets.lateness.within,
            deadline: self.deadline,
        }
    }

    pub(crate) fn work_key(&self) -> Option<WorkKey> {
        let key = self.key?;
        Some(WorkKey {
            workspace: self.workspace.clone(),
            key,
        })
    }

    /// Returns the fingerprint by which requests that crash upstreams are recognised.
    fn fingerprint(&self) -> CrashFingerprint {
        match &self.work {
            CallWork::Chat { body, .. } => CrashFingerprint::of(&self.workspace, body),
            CallWork::Service {
                method, path, body, ..
            } => {
                // Method and path are part of the fingerprint, since calls without a body differ only by them.
                let mut content = format!("{method} {path}\n").into_bytes();
                content.extend_from_slice(body);
                CrashFingerprint::of(&self.workspace, &content)
            }
        }
    }

    /// Returns a hash of the work, which distinguishes a resend from a different request with the same idempotency key.
    pub(crate) fn content_hash(&self) -> u64 {
        let hash = StableHash::new().field(self.pool.as_str().as_bytes());
        match &self.work {
            CallWork::Chat { body, .. } => hash.field(body).finish(),
            CallWork::Service {
                method, path, body, ..
            } => hash
                .field(method.as_bytes())
                .field(path.as_bytes())
                .field(body)
                .finish(),
        }
    }

    pub(crate) fn work_body(&self, delivered: &[u8]) -> WorkBody {
        match &self.work {
            CallWork::Chat { body, .. } => WorkBody::Chat {
                body: body.clone(),
                delivered: String::from_utf8_lossy(delivered).into_owned(),
            },
            // In the framed protocol, `Call` means a request to a plain service only.
            CallWork::Service {
                method,
                path,
                content_type,
                body,
            } => WorkBody::Call {
                method: method.clone(),
                path: path.clone(),
                content_type: content_type.clone(),
                body: body.clone(),
            },
        }
    }
}

/// The final result of a request, as reported to the caller.
#[derive(Clone, Debug)]
pub(crate) struct CallResult {
    pub(crate) outcome: CallOutcome,
    pub(crate) reason: String,
    pub(crate) retry_after: Option<SpanMillis>,
    pub(crate) usage: TokenUsage,
    pub(crate) attempts: u32,
}

/// An event of a request in progress.
#[derive(Debug)]
pub(crate) enum CallEvent {
    /// Status and content type of the response.
    Head(u16, String),
    /// The next bytes of the response body.
    Chunk(Vec<u8>),
    /// A heartbeat: the request is still running without new output.
    Alive,
    /// The request has ended. No events follow.
    End(CallResult),
}
