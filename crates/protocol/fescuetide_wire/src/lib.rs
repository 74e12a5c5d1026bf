//! Wire types of the framed protocol, of log records, of control RPC and of the platform's HTTP interfaces.
//!
//! State types are never serialized across a process boundary directly. Each has a wire type in this crate that
//! converts with `From` or `TryFrom`, so a change to a state type cannot silently change a protocol.

pub mod api;
pub mod claim;
pub mod codec;
mod conversion;
pub mod frame;
pub mod log;
pub mod peer;
pub mod records;
pub mod rpc;
pub mod vms;

/// The most commonly used items of this crate.
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
