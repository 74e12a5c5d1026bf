//! Frames between routers and side processes.
//!
//! A connection starts with [`RouterFrame::Hello`] and [`SideFrame::Welcome`]. It then carries one exchange at a time:
//! the router sends a request frame, the side process answers with one or more frames that name the same request and
//! attempt. Times are relative, because clocks differ between VMs.

use std::fmt;
use std::net::SocketAddr;

use fescuetide_base::AttemptId;
use fescuetide_base::ClassName;
use fescuetide_base::IdempotencyKey;
use fescuetide_base::LoadCount;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::RequestId;
use fescuetide_base::SpanMillis;
use fescuetide_base::StableHash;
use fescuetide_base::TargetShare;
use fescuetide_base::VmName;
use fescuetide_base::WorkspaceName;
use fescuetide_flow::DeclineReason;
use fescuetide_limits::AdmitRule;
use serde::Deserialize;
use serde::Serialize;

/// The largest frame in bytes, payload included.
pub const FRAME_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// The version of the framed protocol.
pub const PROTOCOL_VERSION: u16 = 1;

/// Names one attempt at a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptTag {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
}

impl fmt::Display for AttemptTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.request, self.attempt)
    }
}

/// An idempotency key within its workspace.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkKey {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The key.
    pub key: IdempotencyKey,
}

/// A frame from a router.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RouterFrame {
    /// Opens a connection.
    Hello {
        /// [`PROTOCOL_VERSION`].
        version: u16,
        /// The router's VM.
        router: VmName,
        /// The router's incarnation.
        incarnation: ProcessIncarnation,
    },
    /// Asks to run an attempt.
    Dispatch(Box<DispatchFrame>),
    /// Asks for the response of an attempt from a byte offset.
    Resume {
        /// The attempt.
        tag: AttemptTag,
        /// The first byte of the response body that is wanted.
        offset: u64,
    },
    /// Asks whether an attempt or key was seen, and bars it from ever starting when it was not.
    Seal {
        /// The attempt.
        tag: AttemptTag,
        /// The key, for requests that are not repeatable.
        key: Option<WorkKey>,
        /// How long to wait for a dispatch with the key before it is barred.
        wait: SpanMillis,
    },
    /// Asks for the cached prefix of a prompt, from one side process to another.
    ExportPrefix {
        /// The attempt that it is for.
        tag: AttemptTag,
        /// The JSON request body.
        body: Vec<u8>,
        /// Longest time that the export may take.
        limit: SpanMillis,
    },
    /// Cancels an attempt whose caller has left.
    Cancel {
        /// The attempt.
        tag: AttemptTag,
    },
    /// Confirms that the whole response of an attempt arrived. Has no answer. A side process that stops needs it to tell
    /// a response that arrived from one that was written into a connection that had gone silent.
    Received {
        /// The attempt.
        tag: AttemptTag,
    },
}

/// An attempt to run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DispatchFrame {
    /// The attempt.
    pub tag: AttemptTag,
    /// The incarnation of the side process that the attempt is meant for.
    pub target: ProcessIncarnation,
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The class.
    pub class: ClassName,
    /// Whether the attempt may run although an earlier one may have run.
    pub repeatable: bool,
    /// The key, for requests that are not repeatable.
    pub key: Option<WorkKey>,
    /// Time left until the first part of the response is late, by the class's target.
    pub slack: SpanMillis,
    /// Time left until the caller gives up.
    pub deadline: SpanMillis,
    /// The chat that the request belongs to, if any.
    pub chat: Option<ChatTurn>,
    /// What else the side process checks before it admits the attempt.
    pub condition: AdmitCondition,
    /// Another engine that holds the chat's prefix, if one is known.
    pub prefix_source: Option<PrefixSource>,
    /// The class's target for loss: work of a higher share is shed first.
    pub loss_share: TargetShare,
    /// Whether an upstream crashed while it ran an earlier attempt. A suspect runs only where no other suspect runs.
    pub suspect: bool,
    /// The highest load at which the attempt may be admitted.
    pub admission: AdmissionRule,
    /// The work itself.
    pub work: WorkBody,
}

/// A side process whose engine holds a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixSource {
    /// Its VM.
    pub vm: VmName,
    /// Its address for requests.
    pub data: SocketAddr,
}

/// A condition of admission besides the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmitCondition {
    /// The engine ran the chat's turn before.
    Held,
    /// The load before admission is below the mean. This keeps the room between mean and cap free for chats that the
    /// engine holds.
    BelowMean,
    /// None.
    Always,
}

/// A chat and how far it has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatTurn {
    /// Hash of workspace, model and chat.
    pub chat: u64,
    /// Messages of the prompt.
    pub messages: u32,
}

/// When an attempt may be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmissionRule {
    /// While the load stays within the side process's own cap.
    OwnCap,
    /// While the load before admission is at most this. Used when all candidates refused because of a stale mean.
    AtMost(LoadCount),
}

impl From<AdmitRule> for AdmissionRule {
    fn from(rule: AdmitRule) -> Self {
        match rule {
            AdmitRule::OwnCap => Self::OwnCap,
            AdmitRule::AtMost(limit) => Self::AtMost(limit),
        }
    }
}

impl From<AdmissionRule> for AdmitRule {
    fn from(rule: AdmissionRule) -> Self {
        match rule {
            AdmissionRule::OwnCap => Self::OwnCap,
            AdmissionRule::AtMost(limit) => Self::AtMost(limit),
        }
    }
}

/// The work of an attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum WorkBody {
    /// A chat completion on an engine.
    Chat {
        /// The JSON request body.
        body: Vec<u8>,
        /// Text that an earlier attempt already delivered; generation goes on behind it.
        delivered: String,
    },
    /// A call of a plain service.
    Call {
        /// The HTTP method.
        method: String,
        /// Path and query.
        path: String,
        /// The content type of the body.
        content_type: Option<String>,
        /// The body.
        body: Vec<u8>,
    },
}

/// A frame from a side process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum SideFrame {
    /// Answers [`RouterFrame::Hello`].
    Welcome {
        /// The side process's VM.
        vm: VmName,
        /// Its incarnation.
        incarnation: ProcessIncarnation,
        /// Whether it refuses new work because it leaves.
        leaving: bool,
    },
    /// The attempt was admitted.
    Accepted {
        /// The attempt.
        tag: AttemptTag,
    },
    /// The attempt was refused and will never run here.
    Refused {
        /// The attempt.
        tag: AttemptTag,
        /// Why.
        reason: RefusalReason,
        /// The load at this moment.
        load: LoadCount,
        /// When to come back.
        retry_after: SpanMillis,
    },
    /// Status and content type of the response, before its first chunk.
    Head {
        /// The attempt.
        tag: AttemptTag,
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: String,
    },
    /// A part of the response body.
    Chunk {
        /// The attempt.
        tag: AttemptTag,
        /// The offset of the first byte.
        offset: u64,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// The end of the response.
    End {
        /// The attempt.
        tag: AttemptTag,
        /// Length and hash of the body.
        seal: BodySeal,
        /// How the attempt ended.
        ending: AttemptEnding,
    },
    /// Heartbeat while the attempt waits or runs.
    Alive {
        /// The attempt.
        tag: AttemptTag,
    },
    /// Answers [`RouterFrame::Seal`] and [`RouterFrame::Resume`] of an attempt that is not here.
    Sealed {
        /// The attempt asked about.
        tag: AttemptTag,
        /// What is known.
        state: SealState,
    },
    /// Answers [`RouterFrame::ExportPrefix`].
    Prefix {
        /// The attempt asked for.
        tag: AttemptTag,
        /// The engine's export, empty when it has none.
        blob: Vec<u8>,
    },
    /// Answers [`RouterFrame::Cancel`].
    Cancelled {
        /// The attempt.
        tag: AttemptTag,
    },
}

/// Length and hash of a complete response body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BodySeal {
    /// Length in bytes.
    pub length: u64,
    /// XXH3 hash of all bytes.
    pub hash: u64,
}

impl BodySeal {
    /// Computes the seal of a body.
    pub fn of(body: &[u8]) -> Self {
        Self {
            length: body.len() as u64,
            hash: StableHash::of_bytes(body),
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnding {
    /// The response is complete.
    Completed {
        /// Tokens of the prompt, 0 for plain services.
        prompt_tokens: u64,
        /// Tokens served from the prefix cache.
        cached_tokens: u64,
        /// Tokens generated.
        completion_tokens: u64,
    },
    /// It was admitted but never given to the upstream.
    NotRun(String),
    /// It was taken out of the queue for other work and never given to the upstream; when to come back.
    Shed(SpanMillis),
    /// It ran, and the response is not complete.
    Failed(String),
    /// It ran, and the upstream crashed.
    Crashed(String),
    /// It was cancelled.
    Cancelled,
}

/// Why a side process refused an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The load bound would be exceeded.
    OverBound,
    /// The engine did not run the chat's turn before.
    NotHeld,
    /// The load is not below the mean.
    AboveMean,
    /// The queue is too long for the class's lateness target.
    TooLate,
    /// The VM is leaving.
    Leaving,
    /// The attempt or key was sealed.
    Sealed,
    /// The dispatch names another incarnation.
    OtherIncarnation,
    /// The key was seen before; its response is asked for with a seal.
    KeySeen,
    /// The request is suspected of crashing upstreams.
    Suspect,
    /// The upstream does not answer.
    UpstreamDown,
    /// The key is too old for this side process to tell whether it ran.
    KeyExpired,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        DeclineReason::from(*self).fmt(f)
    }
}

/// What a side process knows of a sealed attempt or key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SealState {
    /// It was never seen here and will never run here.
    Sealed,
    /// It is here under this tag; its response can be resumed.
    Present(AttemptTag),
    /// It was here, but its response is no longer kept, or the key is too old to tell.
    Expired,
}
