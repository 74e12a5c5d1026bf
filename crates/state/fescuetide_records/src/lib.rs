//! Records of requests, and the report on service-level burn.
//!
//! A router keeps the last requests in a [`RequestLog`] with every attempt, so that an operator can trace each one, and
//! counts per class in a [`BurnLedger`] how many were late, lost or duplicated. The [`BurnReport`] relates these counts
//! to the class's targets.
//!
//! ```
//! use fescuetide_base::prelude::*;
//! use fescuetide_records::prelude::*;
//!
//! let mut ledger = BurnLedger::default();
//! let class: ClassName = "chat".parse().unwrap();
//! let now = ClockMillis::new(3_600_000);
//! ledger.note(&class, BurnCount { total: 1, late: 1, ..BurnCount::default() }, now);
//! let windows = ledger.windows(&class, now);
//! assert_eq!(windows[0].late, 1);
//! ```

mod burn;
mod log;
mod record;
mod report;

pub use burn::BurnCount;
pub use burn::BurnLedger;
pub use burn::BurnWindow;
pub use log::RecordSettings;
pub use log::RequestLog;
pub use record::AttemptRecord;
pub use record::AttemptResult;
pub use record::RecordOutcome;
pub use record::RequestRecord;
pub use report::BurnLine;
pub use report::BurnRate;
pub use report::BurnReport;

/// The types most users need.
pub mod prelude {
    pub use crate::AttemptRecord;
    pub use crate::AttemptResult;
    pub use crate::BurnCount;
    pub use crate::BurnLedger;
    pub use crate::BurnReport;
    pub use crate::BurnWindow;
    pub use crate::RecordOutcome;
    pub use crate::RecordSettings;
    pub use crate::RequestLog;
    pub use crate::RequestRecord;
}
