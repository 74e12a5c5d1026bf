//! Starts fleets of real processes on loopback, generates load against them and measures the results.
//!
//! Terms:
//!
//! * Upstream: an engine, which answers chats, or a plain service. Upstreams of the same kind form a pool.
//! * Router: accepts requests from callers and dispatches each to an upstream.
//! * Side process: runs next to an upstream, admits requests to it and reports its load to the routers.
//! * Class: a named kind of request with targets for lateness, loss and duplication. Class changes are appended to the
//!   class log, which all routers read.
//! * Claim: a record in the log that reserves the run of an idempotency key. The registrar of a key's log partition is
//!   the router that appends its claims.
//! * Stand-in: a simple replacement for an engine, a plain service, the log service, the VM list or a network proxy, with
//!   faults that tests can set.
//! * Journal: the file in which a stand-in upstream records the start and end of each run. Its field `content` is a hash
//!   of the prompt or body, by which runs are matched to requests.

pub mod action;
pub mod at_most_once;
pub mod at_most_once_fleet;
pub mod caller;
pub mod check;
pub mod client;
pub mod compare;
pub mod config;
pub mod demo;
pub mod deployment;
pub mod endings;
pub mod engines;
pub mod experiment;
pub mod fault_client;
pub mod faults;
pub mod fleet;
pub mod fleet_faults;
pub mod load;
pub mod load_schedule;
pub mod measure;
pub mod offsets;
pub mod oracle;
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
pub mod usage;
pub mod workload;
pub mod worth;
