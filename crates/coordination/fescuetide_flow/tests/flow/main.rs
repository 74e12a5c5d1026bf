//! Replays of requests and load patterns through the decisions.

mod crash;
mod harness;
mod life;
mod placement;
