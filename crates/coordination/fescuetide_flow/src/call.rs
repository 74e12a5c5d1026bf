//! The life of a request that side processes run, as a state machine without I/O.
//!
//! A router only guesses where a request should go; the side process beside each upstream admits or refuses it. A
//! [`CallFlow`] walks over the candidates, claims the key of a request that may run once, and decides what follows from
//! each answer. The process carries out each [`CallStep`] and notes its result.

mod claims;
mod ending;
mod facts;
mod history;
mod keyed;
mod life;
mod news;
mod offering;
mod plan;
mod policy;
mod probes;
mod retries;
mod step;
mod tables;

pub use ending::CallEnd;
pub use ending::CallVerdict;
pub use facts::CallFacts;
pub use facts::CallKind;
pub use facts::KeyFacts;
pub use keyed::ClaimAnswer;
pub use keyed::KeyFate;
pub use life::CallFlow;
pub use news::AttemptNews;
pub use news::NewsStep;
pub use plan::DeclineNote;
pub use plan::DeclineReason;
pub use policy::RoutingPolicy;
pub use probes::OfferCondition;
pub use step::AskOrder;
pub use step::CallOffer;
pub use step::CallStep;
pub use step::ClaimOrder;
pub use tables::CallSettings;
pub use tables::CallTables;
pub use tables::CallView;
