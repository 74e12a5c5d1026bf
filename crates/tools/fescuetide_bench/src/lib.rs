//! Fleets of real processes on loopback, load against them, and the measurements.

pub mod client;
pub mod demo;
pub mod fleet;
pub mod ports;
pub mod probe;
pub mod process;
pub mod scale;
pub mod usage;
pub mod workload;
