//! The life of a request: admit, wait, place, send, resume, send elsewhere, refuse, give up, cancel.
//!
//! [`FlowCore`] is a state machine without sockets, threads or clocks. A process tells it what happened and at which
//! time, and carries out the [`FlowAction`]s that it returns. Load patterns are replayed through it in tests.

mod action;
mod core;
mod directory;
mod evidence;
mod flow;
mod health;
mod load;
mod pattern;
mod placement;
mod pool;
mod request;
mod settings;
mod share;
mod timing;
mod waiting;

pub use crate::core::FlowCore;
pub use action::AttemptEvent;
pub use action::BreakCause;
pub use action::DeclineCause;
pub use action::FlowAction;
pub use action::FlowFailure;
pub use action::FlowKey;
pub use action::SendOrder;
pub use evidence::FlowRefusal;
pub use evidence::RefusalCause;
pub use evidence::RunEvidence;
pub use load::LoadReport;
pub use pattern::PromptPart;
pub use pattern::PromptShape;
pub use request::WorkRequest;
pub use settings::FlowSettings;
