//! The transport layer: framed connections and their pool, an HTTP server, clients of the log service and the VM list,
//! which the hosting platform provides, and control RPC connections.
//!
//! A [`ControlMeter`] counts the control traffic: all bytes that are not part of serving requests.

mod framed;
mod http;
mod http_drain;
mod http_message;
mod http_server;
mod meter;
mod platform;
mod pool;
mod rpc;

pub use framed::AsyncFramedStream;
pub use framed::FrameError;
pub use framed::FramedStream;
pub use http_drain::HttpDrain;
pub use http_message::BodyError;
pub use http_message::BodySource;
pub use http_message::HeaderMap;
pub use http_message::HttpBody;
pub use http_message::HttpRequest;
pub use http_message::HttpResponse;
pub use http_message::Method;
pub use http_message::Uri;
pub use http_server::HttpServerSettings;
pub use http_server::serve_async;
pub use http_server::serve_blocking;
pub use meter::ControlMeter;
pub use platform::LogClient;
pub use platform::PlatformError;
pub use platform::VmListClient;
pub use platform::VmListReply;
pub use pool::ConnectionPool;
pub use pool::ConnectionPoolSettings;
pub use pool::SideConnection;
pub use rpc::ControlTransport;
pub use rpc::MeteredStream;
pub use rpc::PostcardCodec;
pub use rpc::connect_control;
pub use rpc::rpc_context;
pub use rpc::serve_control;

/// The most commonly used types of this crate.
pub mod prelude {
    pub use crate::AsyncFramedStream;
    pub use crate::ConnectionPool;
    pub use crate::ConnectionPoolSettings;
    pub use crate::ControlMeter;
    pub use crate::FrameError;
    pub use crate::FramedStream;
    pub use crate::LogClient;
    pub use crate::PlatformError;
    pub use crate::SideConnection;
    pub use crate::VmListClient;
    pub use crate::VmListReply;
}
