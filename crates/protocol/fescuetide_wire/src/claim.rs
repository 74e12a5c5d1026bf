//! Claims on idempotency keys: records of the claim streams and messages of the `claim` RPC.

use fescuetide_base::ClaimId;
use fescuetide_base::ClockMillis;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_claims::ClaimEntry;
use fescuetide_claims::ClaimKey;
use fescuetide_claims::ProcessInstance;
use serde::Deserialize;
use serde::Serialize;

use crate::frame::WorkKey;

impl From<WorkKey> for ClaimKey {
    fn from(wire: WorkKey) -> Self {
        Self {
            workspace: wire.workspace,
            key: wire.key,
        }
    }
}

impl From<ClaimKey> for WorkKey {
    fn from(key: ClaimKey) -> Self {
        Self {
            workspace: key.workspace,
            key: key.key,
        }
    }
}

/// A record of a claim stream: the claims that one registrar collected.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// When the registrar wrote it.
    pub at: ClockMillis,
    /// The claims, in the order in which they count.
    pub claims: Vec<ClaimWire>,
}

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimWire {
    /// Identifies the claim.
    pub id: ClaimId,
    /// The key.
    pub key: WorkKey,
    /// The VM that may run the request.
    pub target: VmName,
    /// The incarnation of the target's side process.
    pub target_incarnation: ProcessIncarnation,
    /// The router that made the claim.
    pub router: VmName,
    /// The router's incarnation.
    pub router_incarnation: ProcessIncarnation,
    /// Hash of the request.
    pub content: u64,
    /// The claim that this one replaces.
    pub supersedes: Option<ClaimId>,
}

impl From<ClaimEntry> for ClaimWire {
    fn from(claim: ClaimEntry) -> Self {
        Self {
            id: claim.id,
            key: claim.key.into(),
            target: claim.target.vm,
            target_incarnation: claim.target.incarnation,
            router: claim.router.vm,
            router_incarnation: claim.router.incarnation,
            content: claim.content,
            supersedes: claim.supersedes,
        }
    }
}

impl From<ClaimWire> for ClaimEntry {
    fn from(wire: ClaimWire) -> Self {
        Self {
            id: wire.id,
            key: wire.key.into(),
            target: ProcessInstance {
                vm: wire.target,
                incarnation: wire.target_incarnation,
            },
            router: ProcessInstance {
                vm: wire.router,
                incarnation: wire.router_incarnation,
            },
            content: wire.content,
            supersedes: wire.supersedes,
        }
    }
}

/// A registrar's answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claim was read back as the current one.
    Claimed,
    /// Another claim holds the key.
    Held {
        /// The claim.
        claim: Box<ClaimWire>,
        /// Whether the registrar had read the log up to its end. Otherwise a later claim may have replaced this one.
        caught_up: bool,
    },
    /// No claim holds the key, and this one names a claim to replace. It is not appended.
    Free,
    /// The key is outside of the window: whether it was claimed cannot be told.
    Unknown,
    /// The log cannot be read or written in time. The claim may still appear in it.
    Unavailable {
        /// When to come back.
        retry_after: SpanMillis,
        /// Whether the preferred registrar had read all claims before the log failed and found none on the key.
        /// Otherwise an earlier request with the key may have run.
        is_free: bool,
    },
}
