//! A discrete-event simulation of routers and model engines under load, used to evaluate placement, queueing and load
//! shedding.
//!
//! [`run_simulation`] replays a [`LoadPattern`] through several instances of the production scheduler
//! ([`fescuetide_flow::RequestScheduler`]) or of a baseline policy, without sockets. The simulated engines use
//! continuous batching with chunked prefill and an LRU cache of prompt prefixes. The simulation covers decisions about
//! load only; it does not simulate the processes of a fleet.

mod baseline;
mod engine;
mod pattern;
mod random;
mod router;
mod simulation;
mod stats;

pub use pattern::LoadPattern;
pub use pattern::RequestKind;
pub use router::PlacementPolicy;
pub use simulation::SimulationSettings;
pub use simulation::run_simulation;
pub use stats::RequestKindStats;
pub use stats::SimulationStats;
