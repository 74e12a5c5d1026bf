//! Replays of requests and load patterns through the decisions.

mod harness;
mod life;
mod placement;
