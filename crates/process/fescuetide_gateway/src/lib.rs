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
//! * A *peer* is another gateway.
//!
//! A request that is not answered with the response of an upstream has one of these outcomes:
//!
//! * *denied*: it is invalid, its route or API key is unknown, or no configuration is known yet. The scheduler never
//!   receives it.
//! * *refused*: the scheduler does not run it, for example for lack of capacity, and there is evidence that it has not
//!   run.
//! * *failed*: it may have run, and is not retried.
//!
//! An attempt that does not complete is *cancelled* by the gateway, *declined* if the upstream did not run the request,
//! or *broken* if the connection failed or the response is unusable.

mod admission;
mod attempts;
mod buffer;
mod callers;
mod codec;
mod connection;
mod counters;
mod exchange;
mod follower;
mod idle;
mod log_client;
mod log_line_limit;
mod messages;
mod monitoring;
mod peer_state;
mod peers;
mod process;
mod relay;
mod respond;
mod settings;
mod shutdown;
mod sockets;
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
