//! Membership: which VMs exist, where they are, and whether they are leaving.
//!
//! The table is soft state built from the platform's VM list, which lags behind and may differ between readers. It
//! stores the time of its last update, so that users can check how stale it is.
//!
//! The roles `router` and `side` use this table, and `fescuetide_routing` ranks its live upstreams. The role `gateway`
//! uses the `UpstreamTable` of `fescuetide_fleet` instead, whose entries come from the upstreams themselves.

mod table;
mod vm;

pub use table::VmTable;
pub use vm::RoleKind;
pub use vm::VmEntry;
pub use vm::VmPhase;

/// Re-exports of the commonly used types.
pub mod prelude {
    pub use crate::RoleKind;
    pub use crate::VmEntry;
    pub use crate::VmPhase;
    pub use crate::VmTable;
}
