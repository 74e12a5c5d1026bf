//! Stand-ins for the platform and for upstreams, for tests and the demo.
//!
//! Each stand-in speaks the published interface of what it stands for, and writes down what it ran, so that a check
//! can compare this with what callers were told.

pub mod answer;
pub mod cache_events;
pub mod engine;
pub mod faults;
pub mod http;
pub mod journal;
pub mod log;
pub mod orders;
pub mod prefix;
pub mod proxy;
pub mod service;
pub mod vms;
pub mod weights;
