//! One claim.

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
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The key, a UUIDv7.
    pub key: IdempotencyKey,
}

impl ClaimKey {
    /// When the caller created the key.
    pub fn created_at(&self) -> ClockMillis {
        self.key.created_at()
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.workspace, self.key)
    }
}

/// One run of a process on a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimHolder {
    /// The VM.
    pub vm: VmName,
    /// The incarnation of its process.
    pub incarnation: ProcessIncarnation,
}

/// A claim: `target` may run the request under `key`, dispatched by `router`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimEntry {
    /// Identifies the claim, so that a repeated append counts once.
    pub id: ClaimId,
    /// The key.
    pub key: ClaimKey,
    /// The side process that may run the request.
    pub target: ClaimHolder,
    /// The router that made the claim.
    pub router: ClaimHolder,
    /// Hash of the request, which tells a resend from another request under the same key.
    pub content: u64,
    /// The claim that this one replaces, `None` for the first claim on a key.
    pub supersedes: Option<ClaimId>,
}
