//! Fleets of real processes on loopback, load against them, and the measurements.

pub mod action;
pub mod caller;
pub mod check;
pub mod client;
pub mod compare;
pub mod demo;
pub mod deployment;
pub mod experiment;
pub mod faults;
pub mod fleet;
pub mod measure;
pub mod offsets;
pub mod plot;
pub mod ports;
pub mod probe;
pub mod process;
pub mod progress;
pub mod report;
pub mod reuse;
pub mod runner;
pub mod sampler;
pub mod scale;
pub mod signals;
pub mod trace;
pub mod workload;
