//! Sans-I/O state machine for a request that is run by side processes.
//!
//! A router has only an estimate of the load of each upstream; the side process next to the upstream admits or declines
//! a request. A [`CallFlow`] iterates over the candidates, claims the idempotency key of an at-most-once request, and
//! reacts to each reply. The process executes each [`CallStep`] and reports the result.
//!
//! An idempotency key is claimed in the claim log, which all routers share: a claim names the side process that may run
//! the request. Some routers also act as registrars: they append claims to the log for all routers and read them back
//! to learn which claim on the key is the current one. That is the first claim on the key, until another claim
//! supersedes it.

mod claims;
mod ending;
mod history;
mod keyed;
mod metadata;
mod offering;
mod plan;
mod policy;
mod probes;
mod retries;
mod state;
mod step;
mod tables;
mod update;

pub use ending::CallEnd;
pub use ending::CallVerdict;
pub use keyed::ClaimAnswer;
pub use keyed::KeyStatus;
pub use metadata::CallKind;
pub use metadata::CallMetadata;
pub use metadata::KeyMetadata;
pub use plan::DeclineReason;
pub use plan::DeclineReply;
pub use policy::RoutingPolicy;
pub use probes::OfferCondition;
pub use state::CallFlow;
pub use step::CallOffer;
pub use step::CallStep;
pub use step::ClaimCommand;
pub use step::KeyQuery;
pub use tables::CallSettings;
pub use tables::CallTables;
pub use tables::CallView;
pub use update::AttemptUpdate;
pub use update::UpdateAction;
