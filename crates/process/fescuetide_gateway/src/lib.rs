//! The gateway: a reverse proxy that connects to upstreams directly.
//!
//! One traffic thread serves all callers and upstreams on one event loop and carries out the decisions of the request
//! scheduler, [`fescuetide_flow::RequestScheduler`]. Control threads follow the platform's log and publish changes to
//! the event loop. An [`HttpCodec`] and a [`RecordCodec`] define the platform's log calls, records and header fields,
//! so the gateway itself contains no platform-specific names.
//!
//! # Terms
//!
//! * The *platform's log*, or log service, is an ordered store of records with an HTTP API. Operators publish
//!   configurations in it, and upstreams register in it. Log lines are something else: what the gateway writes for
//!   operators.
//! * The *fleet* is the current configuration and the list of upstreams, as read from the platform's log.
//! * A *caller* is a client of the gateway.
//! * A *flow* is a request as the request scheduler sees it, from its arrival to its end. A `FlowKey` identifies it.
//!   The gateway's own state of the same request is its `Exchange`.
//! * An *attempt* is one sending of a request to one upstream.
//! * A *route* matches requests by host and path and sets their time limit, priority and pools. A *pool* is a group of
//!   upstreams that can serve the same requests.
//! * A *registration* is the record in the platform's log with which an upstream announces its address and state.
//! * A *follower* reads one log stream, that is, the configurations or the registrations. It runs on a *control
//!   thread*, as do the queries to peers.
//! * An *event stream* is a response that consists of server-sent events. An *event* is one of these.
//! * A *peer* is another gateway.
//! * *Crash evidence* says how many upstreams crashed under a request, which its *fingerprint* identifies. The scheduler
//!   refuses repeated requests after three crashes. Gateways share their evidence through the platform's log as *crash
//!   reports*, and with their peers.
//!
//! A request that is not answered with the response of an upstream has one of these outcomes:
//!
//! * *denied*: it is invalid, its route or API key is unknown, or no configuration is known yet. The scheduler never
//!   receives it.
//! * *refused*: the scheduler does not run it, for example for lack of capacity. It has certainly not run: either it
//!   was never sent, or each upstream that received it stated that it did not run it.
//! * *failed*: it may have run, and is not retried. The log line contains the cause as its outcome: `timed_out`, or why
//!   the last attempt broke.
//! * *caller disconnected* (`caller_left` in the log): the caller closed its connection before the response was
//!   complete.
//!
//! An attempt that does not complete is *cancelled* by the gateway, *declined* if the upstream did not run the request,
//! or *broken* if the connection failed or the response is unusable.

mod admission;
mod attempts;
mod buffer;
mod buffer_account;
mod callers;
mod codec;
mod connection;
mod counters;
mod crash_evidence;
mod crash_reports;
mod datagrams;
mod exchange;
mod flow_notices;
mod follower;
mod idle;
mod limit_exchange;
mod load_exchange;
mod log_client;
mod log_era;
mod log_line_limit;
mod log_listing;
mod messages;
mod monitoring;
mod origin_exchange;
mod origin_log;
mod peer_state;
mod peers;
mod process;
mod reading;
mod registry;
mod relay;
mod report_appender;
mod respond;
mod settings;
mod shutdown;
mod sockets;
mod stream_follower;
mod suspension;
mod token_table;
mod traffic;
mod upstream_responses;
mod validation;

pub use codec::AttemptFields;
pub use codec::FleetStream;
pub use codec::HttpCodec;
pub use codec::ListingPage;
pub use codec::LogPage;
pub use codec::LogRecord;
pub use codec::RecordCodec;
pub use codec::RecordError;
pub use codec::RequestFields;
pub use codec::ResponseFields;
pub use counters::GatewayCounters;
pub use process::GatewayProcess;
pub use settings::GatewaySettings;
pub use token_table::TokenTable;
