//! The gateway: a reverse proxy that connects to upstreams directly.
//!
//! One traffic thread serves all callers and upstreams on one event loop and carries out the decisions of
//! [`fescuetide_flow`]. Control threads follow the platform's log and publish changes to the event loop. An
//! [`HttpCodec`] and a [`RecordCodec`] define the platform's log calls, records and header fields, so the gateway
//! itself contains no platform-specific names.

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
mod log_limit;
mod messages;
mod peer_state;
mod peers;
mod probes;
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
