//! Ids, sizes, times and findings shared by all fescuetide crates.
//!
//! This crate opens no sockets and starts no threads. [`ClockMillis::now`] is its only function that reads a clock.
//! The libraries in `crates/coordination` and `crates/state` do not call it, but take the current time as an argument,
//! so that tests can control it.
//!
//! ```
//! use fescuetide_base::prelude::*;
//!
//! let start = ClockMillis::new(1_000);
//! let deadline = start + SpanMillis::new(250);
//! assert_eq!(deadline.since(start), SpanMillis::new(250));
//! ```

mod apply;
mod clock;
mod draw;
mod finding;
mod hash;
mod id;
mod life;
mod rate;
mod size;

pub use apply::ApplyError;
pub use clock::ClockMillis;
pub use clock::SpanMillis;
pub use draw::DrawSequence;
pub use finding::FindingList;
pub use finding::InputFinding;
pub use hash::StableHash;
pub use id::*;
pub use life::UpstreamLife;
pub use rate::RateParseError;
pub use rate::RequestRate;
pub use size::*;

/// The most commonly used types of this crate.
pub mod prelude {
    pub use crate::ClockMillis;
    pub use crate::DrawSequence;
    pub use crate::FindingList;
    pub use crate::InputFinding;
    pub use crate::RequestRate;
    pub use crate::SpanMillis;
    pub use crate::StableHash;
    pub use crate::UpstreamLife;
    pub use crate::id::*;
    pub use crate::size::*;
}
