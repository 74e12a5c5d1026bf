//! Tests of the gateway's state machine with single requests and load patterns.

mod crash;
mod crash_fleet;
mod harness;
mod life;
mod placement;
