//! Tests of the state machine of a router whose upstreams have side processes.

mod harness;
mod keyed;
mod keyed_fuzz;
mod life;
mod patterns;
mod simulation;
