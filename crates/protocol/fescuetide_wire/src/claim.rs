//! Claims on idempotency keys, as stored in the claim streams and sent by the `claim` RPC.
//!
//! A claim states which side process may run a request that is not repeatable. The log has several claim streams, and
//! the hash of a key selects one. A registrar is a router that appends claims to a claim stream on behalf of other
//! routers. Each stream has a preferred registrar, which is the first live router in the rendezvous order of the
//! stream; if it does not respond, the next router in this order takes its place.

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

/// A record of a claim stream: a batch of claims that one registrar received.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The time at which the registrar wrote the record.
    pub at: ClockMillis,
    /// The claims, in the order in which they take effect.
    pub claims: Vec<ClaimWire>,
}

/// A claim on an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimWire {
    /// The id of the claim.
    pub id: ClaimId,
    /// The claimed key.
    pub key: WorkKey,
    /// The VM that is allowed to run the request.
    pub target: VmName,
    /// The incarnation of the side process on the target VM.
    pub target_incarnation: ProcessIncarnation,
    /// The router that created the claim.
    pub router: VmName,
    /// The incarnation of that router.
    pub router_incarnation: ProcessIncarnation,
    /// A hash of the request content, used to detect that a key is reused for another request.
    pub content: u64,
    /// The id of the claim that this one replaces, if any.
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
            content: claim.request_hash,
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
            request_hash: wire.content,
            supersedes: wire.supersedes,
        }
    }
}

/// A registrar's response to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claim was appended and read back as the current claim on the key.
    Claimed,
    /// Another claim holds the key.
    Held {
        /// The claim that holds the key.
        claim: Box<ClaimWire>,
        /// Whether the registrar had read the claim stream to its end. If not, a later claim may have replaced this
        /// one.
        caught_up: bool,
    },
    /// No claim holds the key, but the submitted claim names a claim to replace. It was not appended.
    Free,
    /// The creation time contained in the key is outside of the time window for which claims are known, so it is not
    /// known whether the key was claimed.
    Unknown,
    /// The claim stream could not be read or written in time. The claim may still be appended later.
    Unavailable {
        /// The time after which to retry.
        retry_after: SpanMillis,
        /// Whether the key is known to have no claim: the preferred registrar had read its claim stream to the end
        /// before the log became unavailable, and found no claim on the key. If `false`, it is not known whether there
        /// is one, and an earlier request with the key may have run.
        is_free: bool,
    },
}
