//! A model of model engines under load, for decisions about placement, waiting and refusals.
//!
//! [`run_simulation`] replays a [`LoadPattern`] through the decisions of some routers
//! ([`fescuetide_flow::RequestScheduler`]) or through a baseline, without sockets. Engines read prompts in chunks
//! between steps of all running requests, keep parts of prompts and drop those used least recently. The model is a tool
//! for decisions about load; it does not simulate the fleet's processes.

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
