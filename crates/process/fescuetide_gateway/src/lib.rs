//! The gateway: a router that talks to upstreams directly.
//!
//! One traffic thread serves all callers and upstreams on one event loop and drives the decisions of
//! [`fescuetide_flow`]. Control threads follow the platform's log and publish what changed. What calls, records and
//! header fields look like is told by an [`EdgeDialect`] and a [`RecordDialect`]; the gateway itself knows no
//! platform's names.

mod admission;
mod answers;
mod attempts;
mod buffer;
mod callers;
mod connection;
mod counters;
mod dialect;
mod exchange;
mod follower;
mod idle;
mod line_budget;
mod news;
mod peer_shelf;
mod peers;
mod probes;
mod process;
mod relay;
mod respond;
mod settings;
mod shutdown;
mod sockets;
mod soundness;
mod store_client;
mod traffic;

pub use counters::GatewayCounters;
pub use dialect::AnswerFields;
pub use dialect::AttemptFields;
pub use dialect::EdgeDialect;
pub use dialect::FleetStream;
pub use dialect::ListingPage;
pub use dialect::LogPage;
pub use dialect::LogRecord;
pub use dialect::RecordDialect;
pub use dialect::RecordError;
pub use dialect::RequestFields;
pub use process::GatewayProcess;
pub use settings::GatewaySettings;
