//! Claims on idempotency keys, which determine the VM that may run a non-repeatable request.
//!
//! Routers append claims to a log that is partitioned by key. Every reader of a partition applies the same records with
//! [`ClaimLedger::apply`] and arrives at the same current claim for a key: the first claim in log order wins, and it is
//! replaced only by a claim that explicitly supersedes it. A router may dispatch a request only after it has read back
//! its own claim as the current one.
//!
//! If it is unknown whether an attempt under the current claim has run, a router asks the side process that the claim
//! names (see `VmKind` in `fescuetide_members`). If that process has not received the attempt, it seals the key. To
//! seal a key is to refuse from then on to run any request under it. Only then may a claim that supersedes the current
//! one be appended.
//!
//! ```
//! use fescuetide_base::prelude::*;
//! use fescuetide_claims::prelude::*;
//!
//! let now = ClockMillis::new(1_000);
//! let key = ClaimKey {
//!     workspace: "acme".parse().unwrap(),
//!     // The first 48 bits are the creation time, 1,000 ms.
//!     key: IdempotencyKey::from_u128(1_000 << 80),
//! };
//! let holder = ProcessInstance {
//!     vm: "service-1".parse().unwrap(),
//!     incarnation: ProcessIncarnation::new(7),
//! };
//! let claim = ClaimEntry {
//!     id: ClaimId::from_u128(1),
//!     key: key.clone(),
//!     target: holder.clone(),
//!     router: holder,
//!     request_hash: 0,
//!     supersedes: None,
//! };
//! let mut ledger = ClaimLedger::new(ClaimWindow::default());
//! assert_eq!(ledger.look_up(&key, now), ClaimStatus::Free);
//! let verdicts = ledger.apply(LogOffset::new(0), std::slice::from_ref(&claim)).unwrap();
//! assert_eq!(verdicts, [ClaimVerdict::Current]);
//! assert_eq!(ledger.look_up(&key, now), ClaimStatus::Held(&claim));
//! ```

mod claim;
mod evidence;
mod ledger;
mod partition;

pub use fescuetide_base::ApplyError;

pub use claim::ClaimEntry;
pub use claim::ClaimKey;
pub use claim::ProcessInstance;
pub use evidence::KeyEvidence;
pub use ledger::ClaimLedger;
pub use ledger::ClaimStatus;
pub use ledger::ClaimVerdict;
pub use ledger::ClaimWindow;
pub use partition::ClaimPartition;
pub use partition::PARTITION_COUNT;
pub use partition::rank_registrars;

/// Re-exports of the commonly used types.
pub mod prelude {
    pub use crate::ClaimEntry;
    pub use crate::ClaimKey;
    pub use crate::ClaimLedger;
    pub use crate::ClaimPartition;
    pub use crate::ClaimStatus;
    pub use crate::ClaimVerdict;
    pub use crate::ClaimWindow;
    pub use crate::ProcessInstance;
}
