//! A model of model engines under load, for decisions about placement, waiting and refusals.
//!
//! [`run_model`] replays a [`LoadPattern`] through the decisions of some routers
//! ([`fescuetide_flow::RequestScheduler`]) or through a baseline, without sockets. Engines read prompts in chunks
//! between steps of all running requests, keep parts of prompts and drop those used least recently. The model is a tool
//! for decisions about load; it does not simulate the fleet's processes.

mod baseline;
mod engine;
mod figures;
mod pattern;
mod random;
mod router;
mod simulation;

pub use figures::KindFigures;
pub use figures::ModelFigures;
pub use pattern::LoadPattern;
pub use pattern::RequestKind;
pub use router::PlacePolicy;
pub use simulation::ModelSettings;
pub use simulation::run_model;
