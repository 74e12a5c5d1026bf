//! Wire types of the framed protocol, of log records, of control RPC and of the platform's HTTP interfaces.
//!
//! State types never cross a process boundary themselves: each has a wire type here that converts with `From` or
//! `TryFrom`, so that a change of state types cannot silently change a protocol.

pub mod api;
pub mod claim;
pub mod codec;
mod decision;
pub mod frame;
pub mod log;
pub mod peer;
pub mod records;
pub mod rpc;
pub mod vms;

/// The types most users need.
pub mod prelude {
    pub use crate::api::CallOutcome;
    pub use crate::claim::ClaimRecord;
    pub use crate::claim::ClaimReply;
    pub use crate::claim::ClaimWire;
    pub use crate::codec::decode;
    pub use crate::codec::encode;
    pub use crate::frame::*;
    pub use crate::log::*;
    pub use crate::vms::VmListWire;
    pub use crate::vms::VmWire;
}
