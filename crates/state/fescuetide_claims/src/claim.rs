//! Claims on idempotency keys.

use std::fmt;

use fescuetide_base::ClaimId;
use fescuetide_base::ClockMillis;
use fescuetide_base::IdempotencyKey;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::VmName;
use fescuetide_base::WorkspaceName;

/// An idempotency key within its workspace.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimKey {
    /// Workspace that the key belongs to.
    pub workspace: WorkspaceName,
    /// Idempotency key, a UUIDv7.
    pub key: IdempotencyKey,
}

impl ClaimKey {
    /// Returns when the caller created the key.
    pub fn created_at(&self) -> ClockMillis {
        self.key.created_at()
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.workspace, self.key)
    }
}

/// Instance of a process on a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessInstance {
    /// VM on which the process runs.
    pub vm: VmName,
    /// Incarnation of the process.
    pub incarnation: ProcessIncarnation,
}

/// A claim, which permits `target` to run the request under `key` when it is dispatched by `router`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimEntry {
    /// Unique id, which makes a repeated append idempotent.
    pub id: ClaimId,
    /// Claimed key.
    pub key: ClaimKey,
    /// Side process that may run the request.
    pub target: ProcessInstance,
    /// Router that created the claim.
    pub router: ProcessInstance,
    /// Hash of the request, which distinguishes a resend from a different request with the same key.
    pub request_hash: u64,
    /// Claim that this one replaces, or `None` for the first claim on a key.
    pub supersedes: Option<ClaimId>,
}
