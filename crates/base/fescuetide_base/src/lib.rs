//! Ids, sizes, times and findings shared by all fescuetide crates.
//!
//! Nothing here opens a socket or starts a thread. Only [`ClockMillis::now`] reads a clock; coordination and state
//! crates take the time as an argument instead.
//!
//! ```
//! use fescuetide_base::prelude::*;
//!
//! let start = ClockMillis::new(1_000);
//! let deadline = start + SpanMillis::new(250);
//! assert_eq!(deadline.since(start), SpanMillis::new(250));
//! ```

mod clock;
mod finding;
mod hash;
mod id;
mod size;

pub use clock::ClockMillis;
pub use clock::SpanMillis;
pub use finding::FindingList;
pub use finding::InputFinding;
pub use hash::StableHash;
pub use id::*;
pub use size::*;

/// The types most crates need.
pub mod prelude {
    pub use crate::ClockMillis;
    pub use crate::FindingList;
    pub use crate::InputFinding;
    pub use crate::SpanMillis;
    pub use crate::StableHash;
    pub use crate::id::*;
    pub use crate::size::*;
}
