//! Replays of requests through the decisions of a router whose upstreams have side processes.

mod harness;
mod keyed;
mod keyed_fuzz;
mod life;
mod patterns;
mod world;
