//! Wire types of the framed protocol, of log records, of control RPC, of messages between gateways, and of the HTTP
//! APIs of the log service and the VM list, which the hosting platform provides.
//!
//! Callers send requests to routers. A side process runs next to each upstream, on the same VM: it admits and queues
//! the attempts that routers dispatch to it, and forwards them to the upstream. Routers have two more roles: a
//! collector aggregates load reports (see [`rpc`]), and a registrar appends claims on idempotency keys to the log (see
//! [`claim`]). A gateway replaces both routers and side processes on platforms that have their own log and upstreams
//! (see [`peer`]).
//!
//! The types of the crates that hold state, such as claims, VM entries and request records, are not serialized across a
//! process boundary directly. They have wire types in this crate that convert with `From` or `TryFrom`, so a change to
//! a state type cannot silently change a protocol. Exceptions are types that wire types contain unchanged: ids and
//! other types of `fescuetide_base`, `ClassSnapshot`, `ClassTargets`, `RecordOutcome` and `AttemptResult`.

pub mod api;
pub mod claim;
pub mod codec;
mod conversion;
pub mod crash;
pub mod datagram;
pub mod frame;
pub mod gateway;
pub mod limit;
pub mod load;
pub mod log;
pub mod origin;
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
