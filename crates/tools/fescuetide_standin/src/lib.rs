//! Stand-ins: test doubles of upstreams and of the platform services, which are the log service, the VM list and the
//! weight store. Tests use them, and so does the demo of `fescuetide_bench`.
//!
//! Each stand-in implements the HTTP interface of the service that it replaces. The engine and the plain service
//! also record in a journal which requests they ran, so that tests can compare it with the responses to callers.

pub mod answer;
pub mod cache_events;
pub mod early;
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
