//! Frames between routers and side processes.
//!
//! A side process runs next to each upstream, on the same VM. It queues and admits the attempts that routers dispatch,
//! forwards them to the upstream, and keeps their responses, so that a router can resume one on a new connection.
//!
//! A connection starts with a handshake of [`RouterFrame::Hello`] and [`SideFrame::Welcome`]. After that, it carries
//! one exchange at a time: the router sends a request frame, and the side process responds with one or more frames that
//! have the same [`AttemptTag`]. All times are relative, because clocks differ between VMs.
//!
//! To seal an attempt or a key on a side process is to bar it from starting there. A router relies on this before it
//! runs a request that is not repeatable elsewhere, because a delayed dispatch could otherwise run it a second time.
//!
//! The load of an upstream is the number of its queued and running requests. The load cap of an upstream is the mean
//! load of its pool times a configured factor, rounded up to at least 1. Side processes receive the mean in the replies
//! to their load reports, so it is slightly out of date.

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

/// The maximum size of the payload of a frame in bytes.
pub const FRAME_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// The version of the framed protocol.
pub const PROTOCOL_VERSION: u16 = 1;

/// Identifies one attempt at a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptTag {
    /// The id of the request.
    pub request: RequestId,
    /// The id of the attempt.
    pub attempt: AttemptId,
}

impl fmt::Display for AttemptTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.request, self.attempt)
    }
}

/// An idempotency key, which is unique within its workspace.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkKey {
    /// The workspace of the caller.
    pub workspace: WorkspaceName,
    /// The key sent by the caller.
    pub key: IdempotencyKey,
}

/// A frame sent by a router, or by a side process that fetches a prompt prefix from another one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RouterFrame {
    /// Starts the handshake.
    Hello {
        /// The sender's [`PROTOCOL_VERSION`].
        version: u16,
        /// The VM of the sender.
        router: VmName,
        /// The incarnation of the sender.
        incarnation: ProcessIncarnation,
    },
    /// Requests that an attempt is run.
    Dispatch(Box<DispatchFrame>),
    /// Requests the response of an attempt, starting at a byte offset. If the side process does not have the attempt,
    /// it seals it and responds with [`SideFrame::Sealed`].
    Resume {
        /// The attempt that the frame refers to.
        tag: AttemptTag,
        /// The offset of the first requested byte of the response body.
        offset: u64,
    },
    /// Asks whether an attempt or key was seen. If not, bars both from starting here. A router sends this to the side
    /// process that holds the claim on a key, before it claims the key for another one.
    Seal {
        /// The attempt that the frame refers to.
        tag: AttemptTag,
        /// The idempotency key of a non-repeatable request.
        key: Option<WorkKey>,
        /// How long to wait for a dispatch with the key, which may be in transit, before sealing it.
        wait: SpanMillis,
    },
    /// Requests the prefix of a prompt from the engine's cache. Sent by one side process to another.
    ExportPrefix {
        /// The attempt that needs the prefix.
        tag: AttemptTag,
        /// The JSON request body.
        body: Vec<u8>,
        /// The timeout of the export.
        limit: SpanMillis,
    },
    /// Cancels an attempt whose caller has disconnected.
    Cancel {
        /// The attempt that the frame refers to.
        tag: AttemptTag,
    },
    /// Acknowledges the complete response of an attempt. The side process sends no reply. A successful write does not
    /// show that the response arrived, so a side process that shuts down waits for the acknowledgement, for a limited
    /// time, in case the router resumes the response.
    Received {
        /// The attempt that the frame refers to.
        tag: AttemptTag,
    },
}

/// An attempt and the conditions under which a side process may run it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DispatchFrame {
    /// Identifies the attempt.
    pub tag: AttemptTag,
    /// The incarnation of the side process that the attempt is addressed to.
    pub target: ProcessIncarnation,
    /// The workspace that the request belongs to.
    pub workspace: WorkspaceName,
    /// The class of the request.
    pub class: ClassName,
    /// Whether the request is safe to run more than once.
    pub repeatable: bool,
    /// The idempotency key of a non-repeatable request.
    pub key: Option<WorkKey>,
    /// The maximum time in the queue of the side process: the remaining time in which the first part of the response is
    /// on time according to the latency target of the class or, after a lost attempt, the time until the deadline.
    pub slack: SpanMillis,
    /// The remaining time until the caller's deadline.
    pub deadline: SpanMillis,
    /// The chat that the request belongs to, if any.
    pub chat: Option<ChatTurn>,
    /// The condition for admission, in addition to the load limit.
    pub condition: AdmitCondition,
    /// The side process of another engine that has the prompt prefix of the chat in its cache, if known.
    pub prefix_source: Option<PrefixSource>,
    /// The share of requests of the class that may be lost. Under overload, queued requests with a higher share are
    /// shed first.
    pub loss_share: TargetShare,
    /// Whether an upstream crashed while running an earlier attempt at the request. All requests that are running on an
    /// upstream when it crashes become suspect, and a side process runs at most one suspect request at a time.
    pub suspect: bool,
    /// The load limit for admission.
    pub admission: AdmissionRule,
    /// The request to send to the upstream.
    pub work: WorkBody,
}

/// The side process of an engine that has a prompt prefix in its cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixSource {
    /// The VM of the side process.
    pub vm: VmName,
    /// The address on which the side process accepts frames.
    pub data: SocketAddr,
}

/// A condition for admission in addition to the load limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmitCondition {
    /// The engine recently ran this turn or the previous turn of the chat, so it probably has the prefix in its cache.
    Held,
    /// The load before admission is below the mean load of the pool. This reserves the capacity between the mean and
    /// the load cap for chats whose prefix the engine has in its cache.
    BelowMean,
    /// No additional condition.
    Always,
}

/// A turn of a chat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatTurn {
    /// The hash of the workspace, model and chat names.
    pub chat: u64,
    /// The number of messages in the prompt.
    pub messages: u32,
}

/// The load limit for admitting an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmissionRule {
    /// The load after admission must not exceed the load cap that the side process computes from the mean loads that it
    /// received recently.
    OwnCap,
    /// The load before admission must not exceed this value, so the load after admission may be higher by 1. Used if
    /// the router knows a more recent mean load than the side process, for example after all upstreams that it tried
    /// refused the attempt and reported their loads. Routing policies without a load cap use `u32::MAX`.
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

/// The request that an attempt sends to the upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum WorkBody {
    /// A chat completion on an engine.
    Chat {
        /// The JSON request body.
        body: Vec<u8>,
        /// The text that an earlier attempt already delivered. Generation continues after it.
        delivered: String,
    },
    /// An HTTP request to a plain service.
    Call {
        /// The HTTP method.
        method: String,
        /// The path and query.
        path: String,
        /// The content type of the request body.
        content_type: Option<String>,
        /// The request body.
        body: Vec<u8>,
    },
}

/// A frame sent by a side process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum SideFrame {
    /// Completes the handshake in response to [`RouterFrame::Hello`].
    Welcome {
        /// The VM of the side process.
        vm: VmName,
        /// The incarnation of the side process.
        incarnation: ProcessIncarnation,
        /// Whether the side process refuses new attempts, because its VM is about to be removed or an operator has
        /// requested a drain.
        leaving: bool,
    },
    /// The attempt was admitted.
    Accepted {
        /// The attempt that the frame refers to.
        tag: AttemptTag,
    },
    /// The attempt was refused and will never run here.
    Refused {
        /// The attempt that the frame refers to.
        tag: AttemptTag,
        /// The reason for the refusal.
        reason: RefusalReason,
        /// The current load.
        load: LoadCount,
        /// The time after which to retry.
        retry_after: SpanMillis,
    },
    /// The status and content type of the response. Sent before the first chunk.
    Head {
        /// The attempt that the frame refers to.
        tag: AttemptTag,
        /// The HTTP status code.
        status: u16,
        /// The content type of the response.
        content_type: String,
    },
    /// A part of the response body.
    Chunk {
        /// The attempt that the frame refers to.
        tag: AttemptTag,
        /// The offset of the first byte in the response body.
        offset: u64,
        /// The bytes of this part.
        bytes: Vec<u8>,
    },
    /// The end of the response.
    End {
        /// The attempt that the frame refers to.
        tag: AttemptTag,
        /// The length and hash of the response body.
        seal: BodySeal,
        /// The result of the attempt.
        ending: AttemptEnding,
    },
    /// A heartbeat, sent while the attempt is queued or running.
    Alive {
        /// The attempt that the frame refers to.
        tag: AttemptTag,
    },
    /// Responds to [`RouterFrame::Seal`], and to [`RouterFrame::Resume`] for an attempt that this side process does not
    /// have. Despite its name, the frame is also sent if the attempt could not be sealed; see [`SealState`].
    Sealed {
        /// The attempt that the request frame named.
        tag: AttemptTag,
        /// The state of the attempt or key.
        state: SealState,
    },
    /// Responds to [`RouterFrame::ExportPrefix`].
    Prefix {
        /// The attempt that needs the prefix.
        tag: AttemptTag,
        /// The exported prefix, or empty if the engine has none.
        blob: Vec<u8>,
    },
    /// Responds to [`RouterFrame::Cancel`].
    Cancelled {
        /// The attempt that the frame refers to.
        tag: AttemptTag,
    },
}

/// The length and hash of a complete response body, used to verify that all of it was received. Not related to the
/// sealing of attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BodySeal {
    /// The length in bytes.
    pub length: u64,
    /// The XXH3 hash of all bytes.
    pub hash: u64,
}

impl BodySeal {
    /// Computes the length and hash of a body.
    pub fn compute(body: &[u8]) -> Self {
        Self {
            length: body.len() as u64,
            hash: StableHash::hash_bytes(body),
        }
    }
}

/// The result of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnding {
    /// The response is complete.
    Completed {
        /// The number of prompt tokens, or 0 for plain services.
        prompt_tokens: u64,
        /// The number of prompt tokens that were read from the prefix cache.
        cached_tokens: u64,
        /// The number of generated tokens.
        completion_tokens: u64,
    },
    /// The attempt was admitted but never sent to the upstream. Contains the reason.
    NotRun(String),
    /// The attempt was removed from the queue in favor of another request and never sent to the upstream. Contains the
    /// time after which to retry.
    Shed(SpanMillis),
    /// The attempt ran, but the response is incomplete. Contains the reason.
    Failed(String),
    /// The upstream crashed while running the attempt. Contains the reason.
    Crashed(String),
    /// The attempt was cancelled.
    Cancelled,
}

/// The reason why a side process refused an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// Admission would exceed the load limit given by [`DispatchFrame::admission`].
    OverBound,
    /// The engine did not recently run this turn or the previous turn of the chat.
    NotHeld,
    /// The load is not below the mean load of the pool.
    AboveMean,
    /// The queue is too long for the attempt to be on time. See [`DispatchFrame::slack`].
    TooLate,
    /// The VM is about to be removed, or an operator has requested a drain.
    Leaving,
    /// The attempt or key was sealed, or an attempt with the same id was seen before.
    Sealed,
    /// The dispatch is addressed to another incarnation of the side process.
    OtherIncarnation,
    /// The key was seen before. [`RouterFrame::Seal`] returns the attempt whose response can be resumed.
    KeySeen,
    /// The request is suspected of crashing upstreams, and another suspect is running here.
    Suspect,
    /// The upstream does not respond.
    UpstreamDown,
    /// The key is too old for this side process to know whether it ran.
    KeyExpired,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        DeclineReason::from(*self).fmt(f)
    }
}

/// The state of an attempt or key after a router asked to seal it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SealState {
    /// The side process never saw the attempt or key and will never run it.
    Sealed,
    /// The side process has the attempt with this tag. Its response can be resumed.
    Present(AttemptTag),
    /// The response is no longer retained, or the key is too old to know whether it was seen.
    Expired,
}
