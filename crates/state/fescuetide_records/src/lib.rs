//! Request records and error budget burn reports.
//!
//! A router keeps recent requests with all their attempts in a [`RequestLog`], so that operators can trace them, and
//! counts late, lost and duplicated requests per class in a [`BurnLedger`]. The [`BurnReport`] relates these counts to
//! the targets of the classes.
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

/// Re-exports of the commonly used types.
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
