//! HTTP/1.1 messages without I/O: heads, body framing and server-sent events.
//!
//! An idle connection needs no buffer of its own: messages are parsed from a shared read buffer, and only an incomplete
//! head or body has to be stored.
//!
//! ```
//! use fescuetide_http1::RequestHead;
//!
//! let (head, used) = RequestHead::parse(b"GET /a HTTP/1.1\r\nHost: b\r\n\r\n", 1024).unwrap().unwrap();
//! assert_eq!((head.method(), head.target(), used), ("GET", "/a", 28));
//! ```

mod chunk;
mod event;
mod framing;
mod head;

pub use chunk::write_chunk;
pub use chunk::write_last_chunk;
pub use event::EventError;
pub use event::EventSplitter;
pub use framing::BodyDecoder;
pub use framing::BodyFraming;
pub use framing::DecodeStep;
pub use framing::FramingError;
pub use head::HeadError;
pub use head::RequestHead;
pub use head::ResponseHead;
pub use head::is_hop_by_hop_field;
