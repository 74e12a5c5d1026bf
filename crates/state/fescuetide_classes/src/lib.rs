//! Service classes, their targets, and the state machine that replicates them.
//!
//! Operators publish changes to a log. Every reader applies the same records with [`ClassTable::apply`] and reaches the
//! same state. Concurrency control is optimistic: a change takes effect if it is valid and based on the current version
//! of its class, otherwise it is rejected with findings. Of several concurrent changes, all readers accept the same
//! one.
//!
//! ```
//! use fescuetide_base::prelude::*;
//! use fescuetide_classes::prelude::*;
//!
//! let mut table = ClassTable::default();
//! let change = ClassChange {
//!     id: ChangeId::generate(),
//!     class: "chat".parse().unwrap(),
//!     based_on: ClassVersion::new(0),
//!     action: ChangeAction::Set(ClassTargets::default()),
//!     author: "operator".to_owned(),
//!     at: ClockMillis::new(0),
//! };
//! let verdict = table.apply(LogOffset::new(0), &change).unwrap();
//! assert_eq!(verdict, ChangeVerdict::Accepted(ClassVersion::new(1)));
//! ```

mod change;
mod follower;
mod schedule;
mod table;
mod targets;

pub use fescuetide_base::ApplyError;

pub use change::ChangeAction;
pub use change::ChangeVerdict;
pub use change::ClassChange;
pub use follower::ClassFollower;
pub use follower::FollowPosition;
pub use follower::FollowReport;
pub use follower::StreamEntry;
pub use follower::StreamPage;
pub use schedule::SnapshotSchedule;
pub use schedule::SnapshotSettings;
pub use table::ClassEntry;
pub use table::ClassSnapshot;
pub use table::ClassTable;
pub use targets::ClassTargets;
pub use targets::LatenessTarget;

/// Re-exports of the commonly used types.
pub mod prelude {
    pub use crate::ChangeAction;
    pub use crate::ChangeVerdict;
    pub use crate::ClassChange;
    pub use crate::ClassFollower;
    pub use crate::ClassSnapshot;
    pub use crate::ClassTable;
    pub use crate::ClassTargets;
    pub use crate::LatenessTarget;
}
